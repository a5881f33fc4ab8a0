"""Reads and checks the configuration file, at the start and on SIGHUP."""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass, replace
from typing import Any

from kelptrail.codec.feed import EndpointEvent, FeedError, read_initial_events
from kelptrail.engine.settings import MalformedError, SettingsObject
from kelptrail.engine.settings import read_settings as read_settings

MAX_PORT = 65_535


class ConfigError(ValueError):
    """A configuration that cannot be used."""


class IncompleteConfigError(ConfigError):
    """A file that cannot be read or is not valid JSON: it may be complete a little later."""


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """The settings of the sockets, and the limits of what a request may ask for.  Times are milliseconds."""

    zones: list[str]
    kinds: list[str]
    max_timeout_ms: dict[str, float]  # of a request, by request class
    max_function_mb: float  # the memory of the largest worker
    load_timeout_ms: float
    connect_ms: float  # for a connection to a worker to come up
    idle_ms: float  # after which a worker closes an idle connection
    streams: int  # open attempts and loads on one connection to a worker
    may_cancel: bool  # whether an attempt may be cancelled
    parallel_attempts: bool  # whether two attempts of a request may be in flight at once


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration."""

    name: str
    listen: tuple[str, int]
    seed: int
    descriptors: int  # file descriptors that the process may hold
    memory_mb: float
    endpoint_list: tuple[str, int]  # the address of its service
    initial_events: list[EndpointEvent]  # of the endpoint list
    sockets: SocketSettings
    settings: dict[str, Any]


def read_address(source: SettingsObject, name: str) -> tuple[str, int]:
    """Host and port of `host:port`.  Raises `MalformedError`."""
    host, _, port = (text := source.text(name)).rpartition(":")
    host = host.strip("[]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
        if not (port.isascii() and port.isdecimal()) or int(port) > MAX_PORT:
            raise ValueError
    except (OSError, ValueError):
        raise MalformedError(f"{source.path}.{name}: {text!r} is no address") from None
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
    """The configuration in `text`.  All of it is checked; of one that replaces `before` only the address of the
    endpoint list is used, as a running dispatcher can change nothing else.  Raises `ConfigError`.
    """
    try:
        content = json.loads(text)
    except (ValueError, RecursionError) as cause:
        raise IncompleteConfigError(f"not valid JSON: {cause}") from None
    try:
        source = SettingsObject(content, "configuration")
        endpoint_list = read_address(source, "journal")
        settings, limits = source.find("settings"), source.object("limits")
        read_settings(settings)
        sockets = _read_sockets(SettingsObject(settings, "settings"))
        if before is not None:
            return replace(before, endpoint_list=endpoint_list)
        return Config(
            source.text("name"),
            read_address(source, "listen"),
            _read_seed(source),
            limits.integer("sockets", 16),
            limits.number("memory_mb", 1),
            endpoint_list,
            read_initial_events(source.find("known"), sockets.zones, sockets.kinds),
            sockets,
            settings,
        )
    except (MalformedError, FeedError) as cause:
        raise ConfigError(str(cause)) from None


def _read_sockets(settings: SettingsObject) -> SocketSettings:
    bounds, specifics = settings.object("bounds"), settings.object("specifics")
    zones, kinds = settings.texts("failure_domains", 1), settings.texts("models", 1)
    settings.integer("my_zone", 0, len(zones) - 1)
    memories = SettingsObject(
        {str(n): mb for n, mb in enumerate(specifics.items("machine_mb"))}, f"{specifics.path}.machine_mb"
    )
    max_function_mb = max(memories.number(str(n), 1) for n in range(len(kinds)))
    return SocketSettings(
        zones,
        kinds,
        {each.text("name"): each.ms("give_up_us", 1000) for each in settings.objects("classes")},
        max_function_mb,
        specifics.ms("answer_within_us", 1),
        bounds.ms("connect_timeout_us", 1),
        bounds.ms("idle_close_us", 1),
        bounds.integer("multiplex", 1),
        bounds.flag("may_cancel"),
        bounds.flag("parallel_tries"),
    )


def _read_seed(source: SettingsObject) -> int:
    try:
        return int(text := source.text("seed"), 16)
    except ValueError:
        raise MalformedError(f"{source.path}.seed: {text!r} is no number in hex") from None
