"""All virtual routers of one instance, free of I/O: datagrams in, datagrams and address changes out, all counted.

Combines packets, authentication, virtual routers and tracking.  The driver passes in datagrams with their sender and
observations of tracked items, calls `tick` at `next_due()`, and carries out `outputs`.
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
    """Bytes for one peer."""

    data: bytes
    to: Address


class Instance:
    """One instance; `peers` are the primary addresses of the others."""

    def __init__(
        self,
        primary: Address,
        peers: tuple[Address, ...],
        routers: list[RouterSettings],
        tracking: Tracking | None = None,
        signer: Signer | None = None,
        verifier: Verifier | None = None,
        pseudo: bool = True,
    ) -> None:
        self.primary, self.peers = primary, peers
        self.routers = {s.vrid: VirtualRouter(s, primary) for s in routers}
        self.tracking = tracking or Tracking([])
        self._signer, self._verifier, self._pseudo = signer, verifier, pseudo
        self.outputs: deque[Datagram | AcquireAddress | ReleaseAddress | StateChange] = deque()
        self.counters: Counter[str] = Counter()
        self.history: deque[StateChange] = deque(maxlen=50)
        self._running = False

    def startup(self, now: float) -> None:
        """Start all routers."""
        self._running = True
        for router in self.routers.values():
            self._apply_tracking(now, router)
        self._collect()

    def shutdown(self, now: float) -> None:
        """Stop all routers; masters release their addresses (priority 0)."""
        self._running = False
        for router in self.routers.values():
            router.shutdown(now)
        self._collect()

    def on_datagram(self, now: float, data: bytes, sender: Address, hops: int | None = 255) -> None:
        """A datagram arrived.  An invalid one is counted by the name of its error and dropped (section 7.1)."""
        self.counters["received"] += 1
        if sender == self.primary:
            self.counters["own"] += 1
            return
        if sender not in self.peers:
            self.counters["not-a-peer"] += 1
            return
        try:
            message = self._verifier.verify(data, sender) if self._verifier is not None else data
            advert = decode(message, sender, self.primary, hops, self._pseudo)
        except PacketError as cause:
            self.counters[type(cause).__name__] += 1
            return
        router = self.routers.get(advert.vrid)
        if router is None:  # 7.1: a virtual router that is not configured here
            self.counters["foreign-vrid"] += 1
            return
        if advert.addresses and advert.addresses[0].version != self.primary.version:
            self.counters["other-family"] += 1
            return
        strangers = router.foreign_address_lists
        router.on_advertisement(now, advert, sender)
        self.counters["wrong-addresses"] += router.foreign_address_lists - strangers
        if advert.interval_cs != router.settings.interval_cs:
            self.counters["other-interval"] += 1
        self._collect()

    def on_health(self, now: float, name: str, healthy: bool) -> None:
        """An observation of a tracked item."""
        if self.tracking.on_health(now, name, healthy):
            self._apply_tracking_to_all(now)

    def tick(self, now: float) -> None:
        """Time has passed: fire timers of virtual routers, apply the hysteresis of tracking."""
        changed = self.tracking.on_tick(now)
        for router in self.routers.values():
            router.tick(now)
        if changed:
            self._apply_tracking_to_all(now)
        self._collect()

    def next_due(self) -> float | None:
        """When the next timer of a router is due."""
        return min((due for router in self.routers.values() if (due := router.next_due()) is not None), default=None)

    @property
    def shortest_interval_ms(self) -> float:
        """The shortest advertisement interval."""
        return min(router.interval_ms for router in self.routers.values())

    def _apply_tracking_to_all(self, now: float) -> None:
        for router in self.routers.values():
            self._apply_tracking(now, router)
        self._collect()

    def _apply_tracking(self, now: float, router: VirtualRouter) -> None:
        """Set a virtual router's priority by what is tracked, or shut it down."""
        if not self._running:
            return
        if self.tracking.released:
            router.shutdown(now, "released: " + ", ".join(self.tracking.failing))
            return
        router.set_priority(now, self.tracking.priority(router.settings.priority))
        if router.state is State.INITIALIZE:
            router.startup(now)

    def _collect(self) -> None:
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
            message = encode(output.advert, self.primary, peer, self._pseudo)
            self.outputs.append(Datagram(self._signer.sign(message) if self._signer else message, peer))
