"""Checks of the `vrrp` section: addresses, duplicate names, routers and their members, keys, tracked objects."""

from __future__ import annotations

import contextlib
from ipaddress import ip_address

from .forms import Setting, child_forms, form_name, setting
from .reader import Form, SourcePosition
from .shape import Checker
from .vrrp import TRACKED

OWNER_PRIORITY = "255.0"  # text of the number as `setting` returns it


def check_vrrp(checker: Checker, form: Form) -> None:
    """Collect the faults of a `vrrp` section."""
    instances = {form_name(instance): instance for instance in child_forms(form, "instance")}
    ip_versions = _check_instances(checker, form, instances)
    seen: dict[str, SourcePosition] = {}
    for part in child_forms(form):
        if part.head in ("router", "key", "instance", "track"):
            _check_unique(checker, part, seen)
        if part.head == "router":
            _check_router(checker, part, instances, ip_versions)
        if part.head == "key":
            _check_key(checker, part)
        if part.head == "track" and form_name(part) not in TRACKED:
            checker.fault(part.position, form_name(part), "one of " + ", ".join(TRACKED))


def _check_instances(checker: Checker, form: Form, instances: dict[str, Form]) -> set[int]:
    """Check the addresses of the instances and return their IP versions."""
    version_by_name: dict[str, int] = {}
    for name, instance in instances.items():
        for key in ("udp", "via"):
            address = setting(instance, key)
            if address is None or not address.text:
                continue
            version = _check_address(checker, key, address)
            if version is not None:
                version_by_name[name] = version
    versions = set(version_by_name.values())
    if len(versions) > 1:
        checker.fault(form.position, "IPv4 and IPv6 instances", "one address family for all instances")
    return versions


def _check_address(checker: Checker, key: str, address: Setting) -> int | None:
    """Check ADDRESS:PORT and return its IP version, or None if it has no IP address."""
    host, _, port = address.text.rpartition(":")
    version: int | None = None
    try:
        version = ip_address(host.strip("[]")).version
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        checker.fault(address.position, address.text, f"an address and a port for {key}, such as 127.0.1.1:8112")
    return version


def _check_unique(checker: Checker, part: Form, seen: dict[str, SourcePosition]) -> None:
    identity = f"{part.head} {form_name(part)}"
    first = seen.setdefault(identity, part.position)
    if first is not part.position:
        checker.fault(part.position, f"{identity} again", f"it once; line {first.line} has it already")


def _check_router(checker: Checker, router: Form, instances: dict[str, Form], ip_versions: set[int]) -> None:
    vrid = form_name(router)
    if not vrid.isdigit() or not 1 <= int(vrid) <= 255:
        checker.fault(router.position, vrid, "a virtual router identifier from 1 to 255")
    if (address := setting(router, "address")) is not None:
        version: int | None = None
        with contextlib.suppress(ValueError):
            version = ip_address(address.text).version
        if version not in ip_versions:
            checker.fault(address.position, address.text, "an IP address of the instances' family")
    members = list(child_forms(router, "member"))
    owners = [m for m in members if (priority := setting(m, "priority")) and priority.text == OWNER_PRIORITY]
    if len(owners) > 1:
        checker.fault(owners[1].position, "a second priority 255", "one owner of the address at most")
    for member in members:
        if form_name(member) not in instances:
            expected = "an instance of this section: " + ", ".join(sorted(instances))
            checker.fault(member.position, form_name(member), expected)


def _check_key(checker: Checker, key: Form) -> None:
    number = form_name(key)
    if not number.isdigit() or not 0 <= int(number) <= 255:
        checker.fault(key.position, number, "a key number from 0 to 255")
