"""Random choice of a call's action, weighted by popularity, and of its namespace, weighted by quota."""

from __future__ import annotations

from collections.abc import Mapping

import numpy as np

from kelptrail.settings.deployment import ActionSettings, NamespaceSettings

from .arrivals import popularity
from .plan import Load


class ActionChoice:
    """Draws actions, weighted by their popularity in a load."""

    def __init__(self, actions: list[ActionSettings], load: Load) -> None:
        self._actions = actions
        self._cumulative_popularity = np.cumsum(popularity([action.path for action in actions], load))

    def draw(self, random: np.random.Generator, count: int) -> list[ActionSettings]:
        """Draw `count` actions."""
        indices = np.searchsorted(self._cumulative_popularity, random.random(count))
        return [self._actions[int(index)] for index in indices]

    def draw_one(self, random: np.random.Generator) -> ActionSettings:
        """Draw one action."""
        return self._actions[int(np.searchsorted(self._cumulative_popularity, random.random()))]


class NamespaceChoice:
    """Chooses the namespace of a call: the load's own, or one drawn with the quotas as weights."""

    def __init__(self, namespaces: Mapping[str, NamespaceSettings]) -> None:
        self._by_name, self._namespaces = namespaces, list(namespaces.values())
        quotas = np.array([namespace.quota_per_s for namespace in self._namespaces])
        self._cumulative_shares = np.cumsum(quotas / quotas.sum())

    def draw(self, random: np.random.Generator, load: Load) -> NamespaceSettings:
        """Return the namespace that the load names, or draw one if it names none."""
        named = self._by_name.get(load.namespace)
        if named is not None:
            return named
        return self._namespaces[int(np.searchsorted(self._cumulative_shares, random.random()))]
