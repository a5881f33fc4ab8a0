"""Reads and validates the configuration file, at startup and on SIGHUP."""

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
    """The configuration is invalid."""


class IncompleteConfigError(ConfigError):
    """The file cannot be read or is not valid JSON; it may still be being written."""


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """Settings of the sockets, and limits on the fields of requests.  Times are in milliseconds."""

    zones: list[str]
    kinds: list[str]
    max_timeout_ms: dict[str, float]  # longest timeout of a request, by request class
    max_function_mb: float  # largest memory of any worker kind
    load_timeout_ms: float
    connect_ms: float  # timeout of a connect to a worker
    idle_ms: float  # idle time after which a worker closes a connection
    streams: int  # limit of open attempts, loads and probes on one connection to a worker
    may_cancel: bool  # whether CANCEL may be sent to workers
    parallel_attempts: bool  # whether two attempts of a request may be in flight at once


@dataclass(frozen=True, slots=True)
class Config:
    """A validated configuration.

    Some keys of the file have other names: `journal` is `endpoint_list`, `known` is `initial_events`, and
    `limits.sockets` is `descriptors`.
    """

    name: str
    listen: tuple[str, int]
    seed: int
    descriptors: int  # limit of the file descriptors of the process
    memory_mb: float  # memory of the process
    endpoint_list: tuple[str, int]  # address of the endpoint list's service
    initial_events: list[EndpointEvent]  # state of the endpoint list at startup
    sockets: SocketSettings
    settings: dict[str, Any]


def read_address(source: SettingsObject, name: str) -> tuple[str, int]:
    """Return the IP address and port of a setting of the form `address:port`.  Raises `MalformedError`."""
    host, _, port = (text := source.text(name)).rpartition(":")
    host = host.strip("[]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
        if not (port.isascii() and port.isdecimal()) or int(port) > MAX_PORT:
            raise ValueError
    except (OSError, ValueError):
        raise MalformedError(f"{source.path}.{name}: {text!r} is not an IP address with a port") from None
    return host, int(port)


def read(path: str, current: Config | None = None) -> Config:
    """Return the configuration in the file at `path`, as `parse` does.  Raises `ConfigError`."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read(), current)
    except (OSError, UnicodeDecodeError, IncompleteConfigError) as cause:
        raise IncompleteConfigError(f"{path}: {cause}") from None
    except ValueError as cause:
        raise ConfigError(f"{path}: {cause}") from None


def parse(text: str, current: Config | None = None) -> Config:
    """Parse and validate the configuration in `text`.  Raises `ConfigError`.

    With `current`, return a copy of it with the new address of the endpoint list: a running dispatcher can change
    nothing else.  The new `settings` are validated but not used.
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
        if current is not None:
            return replace(current, endpoint_list=endpoint_list)
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
    memory_by_kind = SettingsObject(
        {str(n): mb for n, mb in enumerate(specifics.items("machine_mb"))}, f"{specifics.path}.machine_mb"
    )
    max_function_mb = max(memory_by_kind.number(str(n), 1) for n in range(len(kinds)))
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
        raise MalformedError(f"{source.path}.seed: {text!r} is not a hexadecimal number") from None
