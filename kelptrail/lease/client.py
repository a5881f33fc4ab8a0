"""Lease client: acquires and renews leases from a majority of acceptors.  Performs no I/O and reads no clock.

Safety: on this client's clock, a lease is valid for the granted length shortened by the bound on clock rates
(`LeaseSettings.safe_hold_ms`), counted from a time before its request was sent.  So the client stops relying on the
lease before any acceptor of the granting majority may grant the task to another client.  Because any two majorities
intersect, no two clients rely on the lease at the same time.  A grant counts only for the ballot (one request id) that
it answers.  A lost lease is acquired again under a larger token, never under the old one.

Liveness: a lease is renewed after a third of its safe length.  A client that requests a task first sends its request to
a single acceptor, which is the same for all clients of that task.  If the task is held, this acceptor assigns retry
times to the waiting clients.  The other acceptors receive a request only after the first one has granted the lease, has
refused it although the task is neither held nor reserved, or has not answered in time.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple
from zlib import crc32

from .backoff import Backoff
from .events import LeaseAcquired, LeaseEvent, LeaseLost, LossReason, NoteStored
from .lease_request import LeaseRequest, RequestState
from .messages import (
    AcquireRequest,
    FencingToken,
    Grant,
    LeaseNote,
    LeaseSettings,
    Message,
    NoteWritten,
    Refusal,
    RefusalReason,
    Release,
    Transferred,
    WriteNote,
    majority,
)

RENEWALS_PER_LEASE = 3  # the renewal interval is the safe length of a lease divided by this


class LeaseLengthError(ValueError):
    """The requested length is not positive, or exceeds the longest lease that acceptors grant."""


class KnownHolder(NamedTuple):
    """Last reported holder of a task: the token and the approximate expiry of its lease.

    `expires_at` is in ms on this client's clock.
    """

    token: FencingToken
    expires_at: float


class LeaseClient:
    """The leases of one process.  `client_id` consists of its name and run; no two runs share an id."""

    def __init__(self, name: str, client_id: str, settings: LeaseSettings) -> None:
        self.name, self.client_id, self.settings = name, client_id, settings
        self.acceptors, self.config_number = settings.acceptors, settings.config_number
        self.requests: dict[str, LeaseRequest] = {}
        self.highest_rounds: dict[str, int] = {}  # highest round received or used, by task
        self.known_holders: dict[str, KnownHolder] = {}  # last reported holder of each task
        self.outbox: deque[tuple[str, Message]] = deque()
        self.events: deque[LeaseEvent] = deque()
        self.backoff = Backoff(client_id, settings.retry_pause_ms)
        self._last_request_id = 0

    # Inputs.

    def acquire(self, now: float, task: str, length_ms: float) -> None:
        """Acquire the lease of a task, retrying until it is granted, and renew it until `release`.

        Raises `LeaseLengthError` for a length that acceptors would refuse.
        """
        if not 0 < length_ms <= self.settings.max_lease_ms:
            raise LeaseLengthError(
                f"lease length is {length_ms:g} ms; it must be positive and at most {self.settings.max_lease_ms:g}"
            )
        if task not in self.requests:
            self.requests[task] = LeaseRequest(task, length_ms, RequestState.WAITING, now)

    def release(self, now: float, task: str, successor: str = "") -> None:
        """Release a task, or stop acquiring it.  `successor` is the name of the client that should acquire it next."""
        request = self.requests.pop(task, None)
        if request is None or request.state is RequestState.WAITING:
            return
        recipients = self.acceptors if request.is_held else tuple(sorted(request.contacted_acceptors))
        self._send_release(request, recipients, successor)
        if request.is_held:
            self.events.append(LeaseLost(task, request.token, LossReason.RELEASED))

    def write_note(self, task: str, text: bytes) -> int | None:
        """Replace the note of a held task; the event `NoteStored` follows once a majority has stored it.

        Return the sequence number of the note, or None if the task is not held.
        """
        request = self.requests.get(task)
        if request is None or not request.is_held:
            return None
        self._last_request_id += 1
        request.pending_note, request.note_acceptors = LeaseNote(request.token, self._last_request_id, text), set()
        self._send_pending_note(request)
        return self._last_request_id

    def _send_pending_note(self, request: LeaseRequest) -> None:
        if request.pending_note is not None:
            for acceptor in self.acceptors:
                if acceptor not in request.note_acceptors:
                    self.outbox.append((acceptor, WriteNote(request.task, request.pending_note, self.config_number)))

    def _on_note_written(self, sender: str, request: LeaseRequest, answer: NoteWritten) -> None:
        note = request.pending_note
        if note is None or not request.acknowledges_pending_note(answer) or sender not in self.acceptors:
            return
        request.note_acceptors.add(sender)
        if len(request.note_acceptors) >= majority(self.acceptors):
            request.pending_note = None
            self.events.append(NoteStored(request.task, note.token, note.sequence))

    def held_token(self, now: float, task: str) -> FencingToken | None:
        """Return the token of the lease that is valid now, or None if the task is not held."""
        request = self.requests.get(task)
        if request is None or not request.is_held or now >= request.expires_at:
            return None
        return request.token

    def remaining_ms(self, now: float, task: str) -> float:
        """Return how long the lease remains valid, in ms, or 0 if the task is not held."""
        request = self.requests.get(task)
        return max(0.0, request.expires_at - now) if request is not None and request.is_held else 0.0

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """Handle the answer of an acceptor or a transfer, and ignore every other message."""
        if not isinstance(message, Grant | Refusal | Transferred | NoteWritten):
            return
        request = self.requests.get(message.task)
        if request is None:
            return
        if isinstance(message, Grant):
            self._on_grant(now, sender, request, message)
        elif isinstance(message, Refusal):
            self._on_refusal(now, sender, request, message)
        elif isinstance(message, NoteWritten):
            self._on_note_written(sender, request, message)
        elif request.state is RequestState.WAITING:
            # The message is a `Transferred`: the task is free, and may be reserved for this client.
            request.next_step_at, request.reserved_until = now, now + self.settings.transfer_reservation_ms

    def tick(self, now: float) -> None:
        """Take all steps that are due."""
        for request in list(self.requests.values()):
            while request.next_step_at <= now:
                previous_step_at = request.next_step_at
                self._advance(now, request)
                if request.next_step_at <= previous_step_at:
                    break

    def next_tick_at(self) -> float | None:
        """Return when `tick` must be called next, or None if not before another input."""
        return min((request.next_step_at for request in self.requests.values()), default=None)

    # Steps.

    def _advance(self, now: float, request: LeaseRequest) -> None:
        if request.is_held:
            if now >= request.expires_at:
                self._expire(now, request)
            else:
                self._renew(now, request)
        elif request.state is RequestState.WAITING:
            self._start_attempt(now, request)
        elif request.only_first_contacted:  # the first acceptor has not answered
            self._contact_remaining(now, request)
        else:
            self._abandon_attempt(now, request)

    def _start_attempt(self, now: float, request: LeaseRequest) -> None:
        round_ = max(self.highest_rounds.get(request.task, 0), self.settings.round_floor) + 1
        self.highest_rounds[request.task] = round_
        request.start_attempt(FencingToken(round_, self.client_id))
        self._last_request_id += 1
        request.open_ballot(self._last_request_id, now)
        request.next_step_at = now + self.settings.request_timeout_ms
        self._send_acquire_request(request, self._acceptor_order(request.task)[0])

    def _contact_remaining(self, now: float, request: LeaseRequest) -> None:
        request.only_first_contacted = False
        request.next_step_at = now + 2 * self.settings.request_timeout_ms
        for acceptor in self._acceptor_order(request.task):
            if acceptor not in request.contacted_acceptors:
                self._send_acquire_request(request, acceptor)

    def _renew(self, now: float, request: LeaseRequest) -> None:
        self._last_request_id += 1
        request.open_ballot(self._last_request_id, now)
        for acceptor in self.acceptors:
            self._send_acquire_request(request, acceptor)
        self._send_pending_note(request)  # resent to acceptors that have not acknowledged it
        request.next_step_at = min(request.expires_at, now + self._renewal_interval_ms(request))

    def _send_acquire_request(self, request: LeaseRequest, acceptor: str) -> None:
        request.contacted_acceptors.add(acceptor)
        message = AcquireRequest(
            request.task, request.token, request.length_ms, self._last_request_id, self.config_number
        )
        self.outbox.append((acceptor, message))

    def _renewal_interval_ms(self, request: LeaseRequest) -> float:
        return self.settings.safe_hold_ms(request.length_ms) / RENEWALS_PER_LEASE

    def _on_grant(self, now: float, sender: str, request: LeaseRequest, answer: Grant) -> None:
        ballot = request.ballots.get(answer.request_id)
        if (
            request.state is RequestState.WAITING
            or ballot is None
            or answer.token != request.token
            or sender not in self.acceptors
        ):
            return
        ballot.granted_by.add(sender)
        request.inherited_note = max(request.inherited_note, answer.note)
        expires_at = ballot.sent_at + self.settings.safe_hold_ms(request.length_ms)
        if len(ballot.granted_by) >= majority(self.acceptors) and now < expires_at:
            self._on_quorum(now, request, expires_at)
        elif request.state is RequestState.ACQUIRING and request.only_first_contacted:
            self._contact_remaining(now, request)

    def _on_quorum(self, now: float, request: LeaseRequest, expires_at: float) -> None:
        if request.is_held:
            if expires_at > request.expires_at:
                request.expires_at = expires_at
            return
        request.state, request.expires_at, request.failed_attempts = RequestState.HOLDING, expires_at, 0
        request.next_step_at = min(expires_at, now + self._renewal_interval_ms(request))
        self.events.append(LeaseAcquired(request.task, request.token, expires_at, request.inherited_note))

    def _on_refusal(self, now: float, sender: str, request: LeaseRequest, answer: Refusal) -> None:
        self.highest_rounds[request.task] = max(self.highest_rounds.get(request.task, 0), answer.highest_token.round)
        if answer.reason is RefusalReason.HELD:
            self.known_holders[request.task] = KnownHolder(answer.highest_token, now + answer.retry_after_ms)
        if answer.config_number > self.config_number and answer.acceptors:
            self._adopt_config(now, answer.config_number, answer.acceptors)
        if (
            request.state is not RequestState.ACQUIRING
            or answer.token != request.token
            or answer.request_id not in request.ballots
        ):
            return
        request.refusals[sender] = now + answer.retry_after_ms
        refusal_count = sum(acceptor in request.refusals for acceptor in self.acceptors)
        if request.only_first_contacted and answer.reason in (RefusalReason.HELD, RefusalReason.RESERVED):
            self._abandon_attempt(now, request)
        elif request.only_first_contacted:
            self._contact_remaining(now, request)
        elif refusal_count > len(self.acceptors) - majority(self.acceptors):
            self._abandon_attempt(now, request)

    def _adopt_config(self, now: float, config_number: int, acceptors: tuple[str, ...]) -> None:
        """Switch to a later acceptor set.

        Grants of earlier requests and earlier note acknowledgements no longer count.  A held lease stays valid until it
        expires.
        """
        for request in self.requests.values():
            if request.state is RequestState.ACQUIRING:
                self._abandon_attempt(now, request)
            request.ballots, request.note_acceptors = {}, set()
        self.acceptors, self.config_number = acceptors, config_number

    def _abandon_attempt(self, now: float, request: LeaseRequest) -> None:
        """Abandon an attempt, release its grants and schedule the next attempt.

        The next attempt starts one pause after the latest retry time in the refusals, or one pause from now if that
        time has passed or the task is reserved for this client.  With neither a later retry time nor a reservation, the
        pause grows with each failed attempt.  Jitter spreads the attempts of different clients.
        """
        self._send_release(request, tuple(sorted(request.contacted_acceptors)), "")
        is_reserved = now < request.reserved_until
        free_at = max(request.refusals.values(), default=now) if not is_reserved else now
        request.failed_attempts = request.failed_attempts + 1 if free_at <= now and not is_reserved else 0
        request.state = RequestState.WAITING
        request.next_step_at = max(now, free_at) + self.backoff.pause_ms(request.failed_attempts)
        request.ballots, request.only_first_contacted = {}, False

    def _expire(self, now: float, request: LeaseRequest) -> None:
        self.events.append(LeaseLost(request.task, request.token, LossReason.EXPIRED))
        request.state, request.expires_at, request.ballots = RequestState.WAITING, float("-inf"), {}
        request.next_step_at = now + self.backoff.pause_ms()

    def _send_release(self, request: LeaseRequest, acceptors: tuple[str, ...], successor: str) -> None:
        for acceptor in acceptors:
            if acceptor not in request.refusals:
                self.outbox.append((acceptor, Release(request.task, request.token, successor)))

    def _acceptor_order(self, task: str) -> list[str]:
        """Return the acceptors, rotated so that all clients of one task contact the same acceptor first."""
        shift = crc32(task.encode()) % len(self.acceptors)
        return [*self.acceptors[shift:], *self.acceptors[:shift]]

    # For the model checker.

    def clone(self) -> LeaseClient:
        """Return an independent copy."""
        clone = LeaseClient.__new__(type(self))
        clone.__dict__.update(self.__dict__)
        clone.requests = {task: request.clone() for task, request in self.requests.items()}
        clone.backoff = self.backoff.clone()
        clone.highest_rounds, clone.known_holders = dict(self.highest_rounds), dict(self.known_holders)
        clone.outbox, clone.events = self.outbox.copy(), self.events.copy()
        return clone
