"""What the platform tells a dispatcher at its start, and anew on SIGHUP."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass, replace
from typing import Any

from kelptrail.codec.feed import EndpointEvent, FeedError, read_initial_events
from kelptrail.engine.settings import MalformedError, SettingsObject
from kelptrail.engine.settings import read_settings as read_settings

PORTS = 65_535


class ConfigError(ValueError):
    """A configuration that cannot be used."""


class IncompleteConfigError(ConfigError):
    """A file that cannot be read, or is no JSON: it may be whole a little later."""


@dataclass(frozen=True, slots=True)
class Sockets:
    """What the settings say of sockets and of what may be asked for."""

    zones: list[str]
    kinds: list[str]
    longest_ms: dict[str, float]  # that a client of each namespace type may wait
    most_mb: float  # that a function may take
    order_ms: float  # that an order may be out
    connect_ms: float
    idle_ms: float
    streams: int  # that one connection to a worker carries
    cancels: bool  # whether a send may be called off
    parallel: bool  # whether two sends of an activation may be out at once


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration file, read."""

    name: str
    listen: tuple[str, int]
    seed: int
    descriptors: int  # that the process may hold
    memory_mb: float
    journal: tuple[str, int]
    known: list[EndpointEvent]
    sockets: Sockets
    settings: dict[str, Any]


def address(told: SettingsObject, name: str) -> tuple[str, int]:
    """Host and port of `host:port`.  Raises `MalformedError`."""
    host, _, port = (text := told.text(name)).rpartition(":")
    host = host.strip("[]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
        if not (port.isascii() and port.isdecimal()) or int(port) > PORTS:
            raise ValueError
    except (OSError, ValueError):
        raise MalformedError(f"{told.at}.{name}: {text!r} is no address") from None
    return host, int(port)


def read(path: str, before: Config | None = None) -> Config:
    """The configuration at `path`.  Raises `ConfigError`."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read(), before)
    except (OSError, UnicodeDecodeError, IncompleteConfigError) as cause:
        raise IncompleteConfigError(f"{path}: {cause}") from None
    except ValueError as cause:
        raise ConfigError(f"{path}: {cause}") from None


def parse(text: str, before: Config | None = None) -> Config:
    """A configuration, checked whole; of one that replaces another only what a running dispatcher can take up is
    used, the address of the worker list.  Raises `ConfigError`."""
    try:
        found = json.loads(text)
    except (ValueError, RecursionError) as cause:
        raise IncompleteConfigError(f"no JSON: {cause}") from None
    try:
        told = SettingsObject(found, "configuration")
        journal = address(told, "journal")
        settings, limits = told.find("settings"), told.object("limits")
        read_settings(settings)
        sockets = _sockets(SettingsObject(settings, "settings"))
        if before is not None:
            return replace(before, journal=journal)
        return Config(
            told.text("name"),
            address(told, "listen"),
            _seed(told),
            limits.integer("sockets", 16),
            limits.number("memory_mb", 1),
            journal,
            read_initial_events(told.find("known"), sockets.zones, sockets.kinds),
            sockets,
            settings,
        )
    except (MalformedError, FeedError) as cause:
        raise ConfigError(str(cause)) from None


def _sockets(told: SettingsObject) -> Sockets:
    bounds, extras = told.object("bounds"), told.object("specifics")
    zones, kinds = told.texts("failure_domains", 1), told.texts("models", 1)
    told.integer("my_zone", 0, len(zones) - 1)
    memories = SettingsObject(
        {str(n): mb for n, mb in enumerate(extras.items("machine_mb"))}, f"{extras.at}.machine_mb"
    )
    most_mb = max(memories.number(str(n), 1) for n in range(len(kinds)))
    return Sockets(
        zones,
        kinds,
        {each.text("name"): each.ms("give_up_us", 1000) for each in told.objects("classes")},
        most_mb,
        extras.ms("answer_within_us", 1),
        bounds.ms("connect_timeout_us", 1),
        bounds.ms("idle_close_us", 1),
        bounds.integer("multiplex", 1),
        bounds.flag("may_cancel"),
        bounds.flag("parallel_tries"),
    )


def _seed(told: SettingsObject) -> int:
    try:
        return int(text := told.text("seed"), 16)
    except ValueError:
        raise MalformedError(f"{told.at}.seed: {text!r} is no number in hex") from None
