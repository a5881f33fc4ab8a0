"""Arrivals of simulated clients' calls: an arrival process for open loads, pauses for closed loops."""

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

ARRIVAL_BATCH_S = 1.0  # time span of an open load's arrivals that are drawn together
# Arguments: the action, the load, and a callback for the end of the call.
CallStarter = Callable[[ActionSettings, Load, Callable[[], None] | None], None]


class CallArrivals:
    """Schedules the calls of loads; `begin_call` starts each call, `random` is the clients' random generator."""

    def __init__(self, cluster: SimulatedCluster, random: np.random.Generator, begin_call: CallStarter) -> None:
        self._cluster, self._random, self._begin_call = cluster, random, begin_call

    def schedule(self, load: Load) -> None:
        """Schedule the calls of a load.

        Arrivals of an open load are drawn one second at a time.  The clients of a closed loop begin with a pause, which
        spreads their first calls.
        """
        if load.shape == "closed":
            ClosedLoop(self._cluster, load, self._random, self._begin_call).schedule()
        else:
            OpenLoad(self._cluster, load, self._begin_call).schedule()


def _load_end_s(cluster: SimulatedCluster, load: Load) -> float:
    """Return when a load ends, in seconds from the cluster's `load_start`."""
    return min(cluster.scenario.seconds, load.at + load.duration)


class OpenLoad:
    """Calls that arrive independently of earlier answers."""

    def __init__(self, cluster: SimulatedCluster, load: Load, begin_call: CallStarter) -> None:
        self._cluster, self._load, self._begin_call = cluster, load, begin_call
        # A separate random stream gives all variants of an experiment the same arrivals, whatever their clients do.
        self._random = np.random.default_rng(
            [cluster.seed, 13, cluster.scenario.load.index(load), cluster.shard_part[0]]
        )
        self._arrivals = Arrivals(load, self._random, cluster.shard_part)
        actions = list(cluster.deployment.actions.values())
        self._by_path = {action.path: action for action in actions}
        self._actions = ActionChoice(actions, load)

    def schedule(self) -> None:
        """Schedule the first batch of arrivals."""
        self._schedule_draw(self._load.at)

    def _schedule_draw(self, at_s: float) -> None:
        cluster = self._cluster
        cluster.event_queue.at(cluster.load_start + at_s * 1000, self._draw, at_s)

    def _draw(self, at_s: float) -> None:
        """Draw and schedule the arrivals of the next second, and schedule the next batch."""
        cluster = self._cluster
        span_s = min(ARRIVAL_BATCH_S, _load_end_s(cluster, self._load) - at_s)
        if span_s <= 0:
            return
        arrivals = self._arrivals.draw(at_s, span_s)
        actions = self._actions.draw(self._random, len(arrivals))
        for (arrival_s, path), drawn_action in zip(arrivals, actions, strict=True):
            # Only a trace names actions; one that the deployment does not have is replaced by the drawn one.
            action = self._by_path.get(path) or drawn_action
            cluster.event_queue.at(cluster.load_start + arrival_s * 1000, self._begin_call, action, self._load, None)
        self._schedule_draw(at_s + span_s)


class ClosedLoop:
    """Clients that each wait for an answer, pause and call again."""

    def __init__(
        self, cluster: SimulatedCluster, load: Load, random: np.random.Generator, begin_call: CallStarter
    ) -> None:
        self._cluster, self._load, self._random, self._begin_call = cluster, load, random, begin_call
        self._actions = ActionChoice(list(cluster.deployment.actions.values()), load)

    def schedule(self) -> None:
        """Schedule the first pause of each client of this shard."""
        cluster, (number, shard_count) = self._cluster, self._cluster.shard_part
        for _ in range(number, self._load.clients, shard_count):
            cluster.event_queue.at(cluster.load_start + self._load.at * 1000, self._pause)

    def _pause(self) -> None:
        pause_ms = float(self._random.exponential(self._load.think)) * 1000
        self._cluster.event_queue.after(pause_ms, self._call)

    def _call(self) -> None:
        cluster = self._cluster
        if cluster.event_queue.now < cluster.load_start + _load_end_s(cluster, self._load) * 1000:
            action = self._actions.draw_one(self._random)
            self._begin_call(action, self._load, self._pause)
