"""Rooms stand on floors: an import goes down, never up, so there is no circle between rooms."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "kelptrail"
FLOORS = (
    "dispatch",
    "clock",
    "settings",
    "codec",
    "certificates",
    "background",
    "history_checker",
    "model_checking",
    "net",
    "store",
    "engine",
    "simulator_adapter",
    "platform",
    "membership",
    "gateway",
    "peers",
    "lease",
    "replication",
    "planner",
    "vrrp",
    "front",
    "service",
    "load",
    "emulator",
    "fault_scenario",
    "simulation",
    "cli",
)


def arrows() -> set[tuple[str, str, str]]:
    """Imports between rooms: from, to, and the file."""
    found = set()
    for file in ROOT.rglob("*.py"):
        here = file.relative_to(ROOT)
        for node in ast.walk(ast.parse(file.read_text())):
            names = (
                [node.module or ""]
                if isinstance(node, ast.ImportFrom) and not node.level
                else [a.name for a in node.names]
                if isinstance(node, ast.Import)
                else []
            )
            for name in names:
                parts = name.split(".")
                if parts[0] == "kelptrail" and len(parts) > 1 and len(here.parts) > 1:
                    found.add((here.parts[0], parts[1], str(here)))
    return found


def test_every_import_goes_down() -> None:
    level = {room: n for n, room in enumerate(FLOORS)}
    seen = arrows()
    assert len(seen) > 100
    assert not [(here, to, file) for here, to, file in seen if here != to and level[to] >= level[here]]
    assert {here for here, _, _ in seen} <= set(FLOORS)
