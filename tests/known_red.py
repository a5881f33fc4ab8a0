"""Pytest plugin for tests that are known to fail, listed in `KNOWN-RED.txt` in the root folder until they are fixed.

Each line reads `test | command, and seed N or no seed | what was seen | issue N` and has at most `MAX_LINE_LENGTH`
characters.  A listed test runs as usual.  If it fails, the failure is printed in the summary and does not fail the run.
If it passes, the run fails until its line is removed from the list.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_LINE_LENGTH = 400  # characters
ENTRY_FORM = "test | command, and seed N or no seed | what was seen | issue N"
UNEXPECTED_PASS = "passes, so its line must be removed from KNOWN-RED.txt"


class KnownRedError(ValueError):
    """The list of known failures is invalid."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One test that is known to fail."""

    test: str
    command: str  # reproduces the failure, with its seed
    seen: str
    issue: str


def read_entries(text: str) -> list[Entry]:
    """Return the entries of a list.

    Raises `KnownRedError` for a line that is too long or not of the form `ENTRY_FORM`, and for a test listed twice."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        if len(line) > MAX_LINE_LENGTH:
            raise KnownRedError(f"{FILE_NAME}:{number}: over {MAX_LINE_LENGTH} characters")
        entries.append(_read_entry(number, line))
    if len({entry.test for entry in entries}) < len(entries):
        raise KnownRedError(f"{FILE_NAME}: a test is listed twice")
    return entries


def _read_entry(number: int, line: str) -> Entry:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 4 or not all(parts):
        raise KnownRedError(f"{FILE_NAME}:{number}: not `{ENTRY_FORM}`")
    entry = Entry(*parts)
    if not re.search(r"\bno seed$|\bseed [0-9]+$", entry.command):
        raise KnownRedError(f"{FILE_NAME}:{number}: the command does not end with its seed, or with `no seed`")
    if not re.fullmatch(r"issue [0-9]+", entry.issue):
        raise KnownRedError(f"{FILE_NAME}:{number}: the last field is not `issue N`")
    return entry


def matches(entry: Entry, test_id: str) -> bool:
    """Return whether an entry lists a test, either by its complete id or by its function for all parameters."""
    return test_id == entry.test or test_id.partition("[")[0] == entry.test


_ENTRIES = pytest.StashKey[list[Entry]]()
_USAGE_ERROR = pytest.StashKey[str]()  # error reported by a worker of pytest-xdist


def pytest_configure(config: pytest.Config) -> None:
    path = Path(config.rootpath) / FILE_NAME
    try:
        entries = read_entries(path.read_text(encoding="utf-8") if path.exists() else "")
    except KnownRedError as cause:
        raise pytest.UsageError(str(cause)) from None
    for entry in entries:
        if not (config.rootpath / entry.test.partition("::")[0]).is_file():
            raise pytest.UsageError(f"{FILE_NAME}: {entry.test} names no test")
    config.stash[_ENTRIES] = entries


@pytest.hookimpl(tryfirst=True)  # runs before tests are deselected by mark or name
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    collected_files = {item.nodeid.partition("::")[0] for item in items}
    collects_whole_files = not any("::" in argument for argument in config.args)
    for entry in config.stash[_ENTRIES]:
        collected = entry.test.partition("::")[0] in collected_files
        if collects_whole_files and collected and not any(matches(entry, item.nodeid) for item in items):
            error = f"{FILE_NAME}: {entry.test} names no test"
            # A worker of pytest-xdist reports the error to the controller, which ends the run.
            worker_output = getattr(config, "workeroutput", None)
            if worker_output is None:
                raise pytest.UsageError(error)
            worker_output["known_red"] = error


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node: Any) -> None:
    if error := getattr(node, "workeroutput", {}).get("known_red"):
        node.config.stash[_USAGE_ERROR] = error


@pytest.hookimpl(trylast=True)
def pytest_sessionfinish(session: pytest.Session) -> None:
    if session.config.stash.get(_USAGE_ERROR, ""):
        session.exitstatus = pytest.ExitCode.USAGE_ERROR


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item, call: pytest.CallInfo[None]):  # type: ignore[no-untyped-def]
    report = yield
    entry = next((entry for entry in item.config.stash[_ENTRIES] if matches(entry, item.nodeid)), None)
    if entry is None or report.skipped:
        return report
    if report.failed:
        report.outcome = "skipped"
        report.wasxfail = f"{entry.seen} ({entry.issue}; {entry.command})"
        report.user_properties.append(("known red", report.longreprtext))
    elif report.when == "call":
        report.outcome = "failed"
        report.longrepr = f"{item.nodeid} {UNEXPECTED_PASS}"
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    terminalreporter.write(terminalreporter.config.stash.get(_USAGE_ERROR, ""))
    for report in terminalreporter.getreports("xfailed"):
        failure = dict(report.user_properties).get("known red")
        if failure is not None:
            terminalreporter.section(f"known red: {report.nodeid}: {report.wasxfail}")
            terminalreporter.write_line(str(failure))
