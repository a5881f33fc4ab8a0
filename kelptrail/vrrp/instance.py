"""All virtual routers of one instance, free of I/O.

Combines packets, authentication, virtual routers and tracking.  The driver passes in datagrams with their sender and
the health of tracked objects, calls `tick` at `next_due()`, and performs `outputs`: datagrams to send, addresses to
acquire or release, state changes to log.  `counters` has the datagrams received, those dropped by reason, the
advertisements sent, and those that were processed although their addresses or interval differ from the configured ones;
the driver adds its socket errors and unsent datagrams.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass

from .authentication import Signer, Verifier
from .packet import Address, PacketError, decode, encode
from .state_machine import (
    AcquireAddress,
    Output,
    ReleaseAddress,
    RouterSettings,
    SendAdvertisement,
    State,
    StateChange,
    VirtualRouter,
)
from .tracking import Tracking


@dataclass(frozen=True, slots=True)
class Datagram:
    """Output: bytes to send to one peer."""

    data: bytes
    to: Address


class Instance:
    """One instance with its virtual routers; `peers` are the primary addresses of the other instances."""

    def __init__(
        self,
        primary: Address,
        peers: tuple[Address, ...],
        routers: list[RouterSettings],
        tracking: Tracking | None = None,
        signer: Signer | None = None,
        verifier: Verifier | None = None,
        with_pseudo_header: bool = True,
    ) -> None:
        self.primary, self.peers = primary, peers
        self.routers = {s.vrid: VirtualRouter(s, primary) for s in routers}
        self.tracking = tracking or Tracking([])
        self._signer, self._verifier, self._with_pseudo_header = signer, verifier, with_pseudo_header
        self.outputs: deque[Datagram | AcquireAddress | ReleaseAddress | StateChange] = deque()
        self.counters: Counter[str] = Counter()
        self.history: deque[StateChange] = deque(maxlen=50)
        self._running = False

    def startup(self, now: float) -> None:
        """Start all virtual routers, except while a failed tracked object requires the release of the addresses."""
        self._running = True
        for router in self.routers.values():
            self._apply_tracking(now, router)
        self._collect_outputs()

    def shutdown(self, now: float) -> None:
        """Stop all virtual routers; a Master advertises priority 0 and releases its addresses."""
        self._running = False
        for router in self.routers.values():
            router.shutdown(now)
        self._collect_outputs()

    def on_datagram(self, now: float, data: bytes, sender: Address, hops: int | None = 255) -> None:
        """Handle a received datagram; drop an invalid one (section 7.1), counted by its reason or error class."""
        self.counters["received"] += 1
        if sender == self.primary:
            self.counters["own"] += 1
            return
        if sender not in self.peers:
            self.counters["not-a-peer"] += 1
            return
        try:
            message = self._verifier.verify(data, sender) if self._verifier is not None else data
            advert = decode(message, sender, self.primary, hops, self._with_pseudo_header)
        except PacketError as cause:
            self.counters[type(cause).__name__] += 1
            return
        router = self.routers.get(advert.vrid)
        if router is None:  # section 7.1: the virtual router must be configured on this instance
            self.counters["foreign-vrid"] += 1
            return
        if advert.addresses and advert.addresses[0].version != self.primary.version:
            self.counters["other-family"] += 1
            return
        mismatches_before = router.mismatched_address_lists
        router.on_advertisement(now, advert, sender)
        self.counters["wrong-addresses"] += router.mismatched_address_lists - mismatches_before
        if advert.interval_cs != router.settings.interval_cs:
            self.counters["other-interval"] += 1
        self._collect_outputs()

    def on_health(self, now: float, name: str, healthy: bool) -> None:
        """Handle the health of a tracked object, as observed at `now`."""
        if self.tracking.on_health(now, name, healthy):
            self._apply_tracking_to_all(now)

    def tick(self, now: float) -> None:
        """Fire the due timers of virtual routers and apply the hysteresis of tracked objects."""
        changed = self.tracking.on_tick(now)
        for router in self.routers.values():
            router.tick(now)
        if changed:
            self._apply_tracking_to_all(now)
        self._collect_outputs()

    def next_due(self) -> float | None:
        """Return when the next timer of a virtual router is due, or None if no timer runs."""
        return min((due for router in self.routers.values() if (due := router.next_due()) is not None), default=None)

    @property
    def shortest_interval_ms(self) -> float:
        """The shortest advertisement interval of the virtual routers, in milliseconds."""
        return min(router.interval_ms for router in self.routers.values())

    def _apply_tracking_to_all(self, now: float) -> None:
        for router in self.routers.values():
            self._apply_tracking(now, router)
        self._collect_outputs()

    def _apply_tracking(self, now: float, router: VirtualRouter) -> None:
        """Set a virtual router's priority according to the tracked objects, or shut it down if they require it."""
        if not self._running:
            return
        if self.tracking.released:
            router.shutdown(now, "released: " + ", ".join(self.tracking.failing))
            return
        router.set_priority(now, self.tracking.priority(router.settings.priority))
        if router.state is State.INITIALIZE:
            router.startup(now)

    def _collect_outputs(self) -> None:
        for router in self.routers.values():
            while router.outputs:
                self._emit(router.outputs.popleft())

    def _emit(self, output: Output) -> None:
        if not isinstance(output, SendAdvertisement):
            if isinstance(output, StateChange):
                self.history.append(output)
            self.outputs.append(output)
            return
        self.counters["sent"] += 1
        for peer in self.peers:
            message = encode(output.advert, self.primary, peer, self._with_pseudo_header)
            self.outputs.append(Datagram(self._signer.sign(message) if self._signer else message, peer))
