"""Checks across fields and sections: duplicate names, references to undefined names, contradictions.

The checks collect their faults in the checker and never raise.  In the file a zone is a `hall`, replicas are `copies`,
`most-kb` is the buffer of a channel, and `copies-kb` the size of the largest replicated body.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

from .cooperation import PEERS
from .dispatching import DISPATCHER
from .forms import child_forms, form_name, setting
from .fronts import SIDES
from .lease_checks import check_leases
from .reader import Form, SourcePosition
from .shape import Checker, default_of
from .vrrp_checks import check_vrrp

_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_@ .\-]{0,254}")
_DIGEST = re.compile(r"sha256:[0-9a-fA-F]{64}")
_UUID = re.compile(r"[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}")
_MAX_KEY_HASHES = 2  # the old and the new key during a rotation
_MIN_BODIES_PER_BUFFER = 4  # a replicated body takes at most a fourth of the channel's buffer
DEFAULT_ZONE = "hall"  # name of the only zone, if the file has no `(halls ...)`


@dataclass(slots=True)
class _Context:
    """State shared by the checks of one file: the deployment's form, and the names and UUIDs found so far."""

    checker: Checker
    deployment: Form
    names: dict[tuple[str, str], SourcePosition] = field(default_factory=dict)
    uuids: dict[str, SourcePosition] = field(default_factory=dict)

    def has(self, head: str) -> bool:
        """Return whether the deployment has a section with this head."""
        return any(True for _ in child_forms(self.deployment, head))


def check_across_sections(checker: Checker, deployment: Form) -> None:
    """Check the sections of a deployment against each other, in the order of the file."""
    context = _Context(checker, deployment)
    for form in child_forms(deployment):
        if form.head in ("type", "namespace", "action"):
            _check_name(context, form)
        if check := _CHECKS.get(str(form.head)):
            check(context, form)


def _check_name(context: _Context, form: Form) -> None:
    name, head = form_name(form), str(form.head)
    if not name:
        return
    package = setting(form, "package") if head == "action" else None
    full_name = f"{package.text}/{name}" if package else name
    if not _NAME.fullmatch(name):
        context.checker.fault(
            form.position, name, "a name of at most 255 letters, digits, _ @ . -, the first a letter, a digit or _"
        )
    if (head, full_name) in context.names:
        line = context.names[head, full_name].line
        context.checker.fault(form.position, f"{head} {full_name} again", f"another name; line {line} has it already")
    context.names[head, full_name] = form.position


def _check_type(context: _Context, form: Form) -> None:
    _check_effect(context.checker, form)
    _check_times(context, form)


def _check_effect(checker: Checker, form: Form) -> None:
    effect, window = setting(form, "effect"), setting(form, "remembered-ms")
    if effect and effect.text == "deduplicated" and not (window and window.number > 0):
        checker.fault(
            form.position,
            f"type {form_name(form)} without (remembered-ms ...)",
            "the time for which a deduplicated type drops repeats, above 0",
        )
    hedge = setting(form, "hedge")
    if effect and effect.text == "once-only" and hedge and hedge.text == "yes":
        checker.fault(hedge.position, "hedge yes", "no: a once-only type is never hedged")


def _check_times(context: _Context, form: Form) -> None:
    """Check that `timeout-ms` leaves time for an attempt and lies between `target-ms` and `stream-ms`.

    The time for an attempt is what the answer margin leaves, and must exceed the margin itself.  A `target-ms` or
    `stream-ms` that the file does not set is not compared.
    """
    checker = context.checker
    target, timeout, stream = (setting(form, key) for key in ("target-ms", "timeout-ms", "stream-ms"))
    if timeout is None:
        return
    margin_ms = _answer_margin_ms(context)
    # 0 stands for a text that is not a number, which the check of the shape reports.
    if 0 < timeout.number <= 2 * margin_ms:
        checker.fault(timeout.position, timeout.text, f"over twice the answer-margin-ms, {margin_ms:g}")
    if stream and stream.number < timeout.number:
        checker.fault(stream.position, stream.text, f"a stream's time of at least the timeout, {timeout.text}")
    if target and timeout.number < target.number:
        checker.fault(timeout.position, timeout.text, f"a timeout of at least the target, {target.text}")


def _answer_margin_ms(context: _Context) -> float:
    for form in child_forms(context.deployment, "dispatcher"):
        if margin := setting(form, "answer-margin-ms"):
            return margin.number
    return default_of(DISPATCHER, "answer-margin-ms")


def _check_action(context: _Context, form: Form) -> None:
    types = {form_name(other) for other in child_forms(context.deployment, "type")}
    type_ = setting(form, "type")
    if type_ and type_.text not in types:
        context.checker.fault(type_.position, type_.text, "a type of this file: " + ", ".join(sorted(types)))


def _check_dispatcher(context: _Context, form: Form) -> None:
    listed = {str(name) for zones in child_forms(context.deployment, "halls") for name in zones.items[1:]}
    zones = listed or {DEFAULT_ZONE}
    zone = setting(form, "hall")
    if zone and zone.text not in zones:
        context.checker.fault(zone.position, zone.text, "a hall of this file: " + ", ".join(sorted(zones)))


def _check_tls(context: _Context, form: Form) -> None:
    """Check that the side is known and unique, and that the files it needs are given."""
    checker, side = context.checker, form_name(form)
    if side not in SIDES:
        checker.fault(form.position, side, "one of " + ", ".join(SIDES))
    if ("tls", side) in context.names:
        line = context.names["tls", side].line
        checker.fault(form.position, f"tls {side} again", f"one; line {line} has it already")
    context.names["tls", side] = form.position
    if side in ("front", "runners") and not setting(form, "certificate"):
        checker.fault(form.position, f"tls {side} without a certificate", "(certificate FILE)")
    authority, peers = setting(form, "authority"), setting(form, "peers")
    if side == "to-workers" and not authority:
        checker.fault(
            form.position,
            "tls to-workers without an authority",
            "(authority FILE), which verifies the workers' certificates",
        )
    if peers and peers.text in ("asked", "required") and not authority:
        checker.fault(
            peers.position,
            f"peers {peers.text}",
            "(authority FILE) beside it, which verifies the clients' certificates",
        )


def _check_planner(context: _Context, form: Form) -> None:
    within = setting(form, "within")
    if within and within.text == "yes" and not context.has("leases"):
        context.checker.fault(within.position, "within yes", "(leases ...) beside it: a planner holds a lease")


def _check_peers(context: _Context, form: Form) -> None:
    """Check the requirements of replication: leases, a journal, and bodies that fit the channel's buffer."""
    checker, replicas = context.checker, setting(form, "copies")
    if not replicas or not replicas.number:
        return
    found = f"copies {replicas.text}"
    if not context.has("leases"):
        checker.fault(replicas.position, found, "(leases ...) beside it: the primary of a journal holds a lease")
    body, channel = setting(form, "copies-kb"), setting(form, "most-kb")
    body_kb = body.number if body else default_of(PEERS, "copies-kb")
    channel_kb = channel.number if channel else default_of(PEERS, "most-kb")
    if body_kb > channel_kb / _MIN_BODIES_PER_BUFFER:
        position = (body or channel or replicas).position
        checker.fault(position, f"copies-kb {body.text if body else f'{body_kb:g}'}", "a fourth of most-kb at most")
    journal_settings = [setting(journal, "keep") for journal in child_forms(context.deployment, "journal")]
    if any(enabled and enabled.text == "no" for enabled in journal_settings):
        checker.fault(replicas.position, found, "(journal (keep yes)): replication needs a journal")


def _check_leases(context: _Context, form: Form) -> None:
    check_leases(context.checker, form, next(child_forms(context.deployment, "peers"), None))


def _check_vrrp(context: _Context, form: Form) -> None:
    check_vrrp(context.checker, form)


def _check_namespace(context: _Context, form: Form) -> None:
    _check_credentials(context.checker, form)
    _check_uuid(context, form)


def _check_credentials(checker: Checker, form: Form) -> None:
    hashes = list(child_forms(form, "key-hash"))
    if not hashes and not setting(form, "key") and not list(child_forms(form, "certificate")):
        checker.fault(
            form.position,
            f"namespace {form_name(form)} without credentials",
            "(key ...), (key-hash ...) or (certificate ...)",
        )
    if len(hashes) > _MAX_KEY_HASHES:
        position = hashes[_MAX_KEY_HASHES].position
        checker.fault(position, "a third key-hash", "two at most: the old one and the new one")
    for key_hash in hashes:
        digest = form_name(key_hash).strip('"')
        if not _DIGEST.fullmatch(digest):
            checker.fault(key_hash.position, digest[:12] + "...", "sha256: and 64 hex digits")


def _check_uuid(context: _Context, form: Form) -> None:
    uuid = setting(form, "uuid")
    if uuid is None:
        return
    if not _UUID.fullmatch(uuid.text):
        context.checker.fault(uuid.position, uuid.text, "a UUID, as 8-4-4-4-12 hex digits")
    earlier = context.uuids.get(uuid.text.lower())
    if earlier is not None:
        context.checker.fault(uuid.position, uuid.text, f"a UUID of its own; line {earlier.line} has it already")
    context.uuids[uuid.text.lower()] = uuid.position


_CHECKS: dict[str, Callable[[_Context, Form], None]] = {
    "type": _check_type,
    "namespace": _check_namespace,
    "action": _check_action,
    "dispatcher": _check_dispatcher,
    "tls": _check_tls,
    "planner": _check_planner,
    "peers": _check_peers,
    "leases": _check_leases,
    "vrrp": _check_vrrp,
}
