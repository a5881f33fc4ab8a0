"""The list of known failures: a listed failure is printed and does not fail the run; an error in the list does."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import MAX_LINE_LENGTH, UNEXPECTED_PASS, KnownRedError, read_entries

TESTS = "import pytest\ndef test_red(): assert 1 == 2\ndef test_green(): pass\n"


def run_suite(folder: Path, known_red: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a small test suite with this list of known failures."""
    (folder / "test_it.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-p", "known_red", "-p", "no:cacheprovider", *arguments]
    environment = os.environ | {"PYTHONPATH": str(Path(__file__).parent), "PYTEST_ADDOPTS": ""}
    return subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize("arguments", [(), ("-n", "2")])
def test_a_listed_failure_is_printed_and_does_not_fail_the_run(tmp_path: Path, arguments: tuple[str, ...]) -> None:
    done = run_suite(tmp_path, "test_it.py::test_red | pytest, seed 5 | one is not two | issue 1\n", *arguments)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "known red: test_it.py::test_red: one is not two (issue 1; pytest, seed 5)" in done.stdout
    assert "assert 1 == 2" in done.stdout
    assert "1 passed, 1 xfailed" in done.stdout


def test_a_listed_test_that_passes_fails_the_run(tmp_path: Path) -> None:
    listed = "".join(f"test_it.py::test_{name} | pytest, no seed | failed | issue 1\n" for name in ("red", "green"))
    done = run_suite(tmp_path, listed)
    assert done.returncode == 1
    assert f"test_it.py::test_green {UNEXPECTED_PASS}" in done.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    assert run_suite(tmp_path, "").returncode == 1


@pytest.mark.parametrize("arguments", [(), ("-n", "2"), ("-k", "green")])
@pytest.mark.parametrize("test", ["test_it.py::test_gone", "test_gone.py::test_red", "test_it.py::test_red[no]"])
def test_a_name_that_matches_no_test_fails_the_run(tmp_path: Path, test: str, arguments: tuple[str, ...]) -> None:
    done = run_suite(tmp_path, f"{test} | pytest, no seed | failed | issue 1\n", *arguments)
    assert done.returncode not in (0, 1)
    assert "names no test" in done.stdout + done.stderr


@pytest.mark.parametrize(
    "line",
    [
        "test_it.py::test_red",
        "a | b, no seed | c",
        "a | b, no seed | | issue 1",
        "| b, no seed | c | issue 1",
        "a | | c | issue 1",
        "a | b, no seed | c |",
        "a | b, no seed | c | issue 1 | e",
        "a | b | c | issue 1",
        "a | b, seed | c | issue 1",
        "a | b, no seed | c | 1",
        "a | b, no seed | c | issue",
        "a | b, no seed | c | issues 1 and 2",
        f"a | b, no seed | {'c' * MAX_LINE_LENGTH} | issue 1",
    ],
)
def test_a_line_without_test_command_with_seed_observation_and_issue_is_an_error(line: str) -> None:
    with pytest.raises(KnownRedError, match=":2:"):
        read_entries(f"first | a command, seed 1 | failed | issue 1\n{line}\n")


def test_a_test_listed_twice_is_an_error_and_an_invalid_list_ends_the_run(tmp_path: Path) -> None:
    with pytest.raises(KnownRedError, match="twice"):
        read_entries("t | c, no seed | failed | issue 1\nt | c, no seed | failed | issue 2\n")
    done = run_suite(tmp_path, "no line of the list\n")
    assert done.returncode == 4 and "KNOWN-RED.txt:1" in done.stderr


def test_any_number_of_entries_is_read() -> None:
    lines = [f"test_{number}.py | pytest, seed {number} | failed | issue {number}" for number in range(9)]
    entries = read_entries("\n".join(lines))
    assert [(entry.test, entry.command, entry.seen, entry.issue) for entry in entries] == [
        (f"test_{number}.py", f"pytest, seed {number}", "failed", f"issue {number}") for number in range(9)
    ]
