"""Packages are layered: an import goes to a lower layer only, so there is no cycle between packages."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "kelptrail"
LAYERS = (  # from the lowest to the highest
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


def package_imports() -> set[tuple[str, str, str]]:
    """Return the imports between packages: the importing package, the imported package and the importing file."""
    imports = set()
    for file in ROOT.rglob("*.py"):
        path = file.relative_to(ROOT)
        for node in ast.walk(ast.parse(file.read_text())):
            names = (
                [node.module or ""]
                if isinstance(node, ast.ImportFrom) and not node.level
                else [alias.name for alias in node.names]
                if isinstance(node, ast.Import)
                else []
            )
            for name in names:
                parts = name.split(".")
                if parts[0] == "kelptrail" and len(parts) > 1 and len(path.parts) > 1:
                    imports.add((path.parts[0], parts[1], str(path)))
    return imports


def test_every_import_goes_to_a_lower_layer() -> None:
    level = {package: n for n, package in enumerate(LAYERS)}
    imports = package_imports()
    assert len(imports) > 100
    assert not [
        (source, target, file)
        for source, target, file in imports
        if source != target and level[target] >= level[source]
    ]
    assert {source for source, _, _ in imports} <= set(LAYERS)
