"""When simulated clients come, and for which action: open loads by their arrivals, closed loops by their pauses."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import numpy as np

from kelptrail.load.arrivals import Arrivals
from kelptrail.load.choices import ActionChoice
from kelptrail.load.plan import Load
from kelptrail.settings.deployment import ActionSettings

if TYPE_CHECKING:
    from .cluster import SimulatedCluster

DRAWN_AHEAD_S = 1.0  # of an open load's arrivals
CallStarter = Callable[[ActionSettings, Load, Callable[[], None] | None], None]


class CallArrivals:
    """Schedules the arrivals of loads; `begin_call` starts each call, `random` is the clients' random generator."""

    def __init__(self, cluster: SimulatedCluster, random: np.random.Generator, begin_call: CallStarter) -> None:
        self._cluster, self._random, self._begin_call = cluster, random, begin_call

    def schedule(self, load: Load) -> None:
        """A load's arrivals, drawn a second at a time; of a closed loop its clients, spread over their first pause."""
        if load.shape == "closed":
            ClosedLoop(self._cluster, load, self._random, self._begin_call).schedule()
        else:
            OpenLoad(self._cluster, load, self._begin_call).schedule()


def _load_end(cluster: SimulatedCluster, load: Load) -> float:
    """When a load ends, in seconds from the start of the run."""
    return min(cluster.scenario.seconds, load.at + load.duration)


class OpenLoad:
    """Arrivals that do not wait for answers."""

    def __init__(self, cluster: SimulatedCluster, load: Load, begin_call: CallStarter) -> None:
        self._cluster, self._load, self._begin_call = cluster, load, begin_call
        # A stream of its own: variants of an experiment meet the same arrivals, whatever their clients do.
        self._random = np.random.default_rng(
            [cluster.seed, 13, cluster.scenario.load.index(load), cluster.shard_part[0]]
        )
        self._arrivals = Arrivals(load, self._random, cluster.shard_part)
        actions = list(cluster.deployment.actions.values())
        self._by_path = {action.path: action for action in actions}
        self._actions = ActionChoice(actions, load)

    def schedule(self) -> None:
        """Schedule the first draw."""
        self._schedule_draw(self._load.at)

    def _schedule_draw(self, at: float) -> None:
        cluster = self._cluster
        cluster.event_queue.at(cluster.start + at * 1000, self._draw, at)

    def _draw(self, at: float) -> None:
        """Draw and schedule the arrivals of the next second, and the next draw."""
        cluster = self._cluster
        span_s = min(DRAWN_AHEAD_S, _load_end(cluster, self._load) - at)
        if span_s <= 0:
            return
        arrivals = self._arrivals.draw(at, span_s)
        actions = self._actions.draw(self._random, len(arrivals))
        for (when, named), drawn in zip(arrivals, actions, strict=True):
            action = self._by_path.get(named) or drawn
            cluster.event_queue.at(cluster.start + when * 1000, self._begin_call, action, self._load, None)
        self._schedule_draw(at + span_s)


class ClosedLoop:
    """Clients that each pause after an answer and then call again."""

    def __init__(
        self, cluster: SimulatedCluster, load: Load, random: np.random.Generator, begin_call: CallStarter
    ) -> None:
        self._cluster, self._load, self._random, self._begin_call = cluster, load, random, begin_call
        self._actions = ActionChoice(list(cluster.deployment.actions.values()), load)

    def schedule(self) -> None:
        """Schedule the first pause of each of this shard's clients."""
        cluster, (number, shard_count) = self._cluster, self._cluster.shard_part
        for _ in range(number, self._load.clients, shard_count):
            cluster.event_queue.at(cluster.start + self._load.at * 1000, self._pause)

    def _pause(self) -> None:
        pause_ms = float(self._random.exponential(self._load.think)) * 1000
        self._cluster.event_queue.after(pause_ms, self._call)

    def _call(self) -> None:
        cluster = self._cluster
        if cluster.event_queue.now < cluster.start + _load_end(cluster, self._load) * 1000:
            action = self._actions.draw_one(self._random)
            self._begin_call(action, self._load, self._pause)
