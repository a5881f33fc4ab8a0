"""What the platform tells a dispatcher at its start, and anew on SIGHUP."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import Any

from kelptrail.codec.feed import Event, FeedError, read_known


class ConfigError(ValueError):
    """A configuration that cannot be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration file, read."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int  # descriptors that the process may hold
    memory_mb: float
    journal: tuple[str, int]
    known: list[Event]
    settings: dict[str, Any]


def address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`.  Raises `ConfigError`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65_535:
        raise ConfigError(f"{text!r} is no address")
    return host.strip("[]"), int(port)


def read(path: str, before: Config | None = None) -> Config:
    """The configuration at `path`.  Raises `ConfigError`."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read(), before)
    except (OSError, ConfigError) as cause:
        raise ConfigError(f"{path}: {cause}") from None


def parse(text: str, before: Config | None = None) -> Config:
    """A configuration; of one that replaces another only what a running dispatcher can take up is read anew, the
    address of the worker list.  Raises `ConfigError`."""
    try:
        told = json.loads(text)
        journal = address(told["journal"])
        if before is not None:
            return replace(before, journal=journal)
        settings = told["settings"]
        return Config(told["name"], address(told["listen"]), int(told["seed"], 16), int(told["limits"]["sockets"]),
                      float(told["limits"]["memory_mb"]), journal,
                      read_known(told["known"], settings["failure_domains"], settings["models"]), settings)
    except FeedError as cause:
        raise ConfigError(str(cause)) from None
    except (KeyError, ValueError, TypeError, AttributeError) as cause:
        raise ConfigError(f"{type(cause).__name__}: {cause}") from None
