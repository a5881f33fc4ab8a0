"""A short run of bench/soak.py, its command parser, and the source texts that bench/soak_mutants.py replaces."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "bench"))

from fault_injection.captured_attempts import CommandReader  # noqa: E402
from soak import CROWD_EVERY  # noqa: E402
from soak_mutants import MUTANTS, Mutant  # noqa: E402


def run_short_soak(seed: int) -> None:
    command = [sys.executable, "bench/soak.py", "--seeds", "1", "--first", str(seed), "--seconds", "8"]
    result = subprocess.run([*command, "--processes", "12"], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stdout + result.stderr
    assert "0 runs with a problem" in result.stdout


@pytest.mark.scenarios
def test_the_invariants_hold_through_overlapping_faults() -> None:
    run_short_soak(1)


@pytest.mark.scenarios
@pytest.mark.parametrize("seed", [2, CROWD_EVERY])
def test_the_invariants_hold_on_further_seeds_one_with_a_crowd(seed: int) -> None:
    run_short_soak(seed)


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_commands_are_parsed_however_the_stream_is_split(size: int) -> None:
    data = b"CALL a cls=t,limit=5 12\r\nCANCEL b\r\nx!\r\nLOAD o1 item=1,units=2\r\nCALL b cls=t 0\r\n\r\nCANCEL a\r\n"
    reader, commands = CommandReader(), []
    for start in range(0, len(data), size):
        commands += reader.feed(data[start : start + size])
    assert [words[0] for words in commands] == ["CALL", "LOAD", "CALL", "CANCEL"]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_every_text_that_a_mutant_replaces_occurs_exactly_once_in_its_file(mutant: Mutant) -> None:
    """Guards against a source change that leaves a mutant without its text, so that its check no longer runs.

    All edits of a mutant are applied as bench/soak_mutants.py does; each result differs from the source and compiles.
    """
    texts: dict[str, str] = {}
    for edit in mutant.edits:
        text = texts.get(edit.file) or (ROOT / edit.file).read_text()
        assert text.count(edit.old) == 1, f"{edit.file}: {edit.old!r}"
        texts[edit.file] = text.replace(edit.old, edit.new)
    for file, text in texts.items():
        assert text != (ROOT / file).read_text()
        compile(text, file, "exec")
