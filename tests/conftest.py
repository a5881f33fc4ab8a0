"""Pytest hooks and fixtures of the whole test suite."""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest
from known_red import (  # noqa: F401  pytest finds these hooks by their names
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_runtest_makereport,
    pytest_sessionfinish,
    pytest_terminal_summary,
    pytest_testnodedown,
)


class ForkedTestProcessError(AssertionError):
    """A test forked the test process."""


@pytest.fixture(scope="session", autouse=True)
def _refuse_forks() -> Iterator[None]:
    """Fail each fork of the test process: a child that inherits gRPC objects of an earlier test hangs or is killed."""

    def refuse() -> int:
        raise ForkedTestProcessError("the test process must not be forked: use the start method forkserver or spawn")

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(os, "fork", refuse)
        yield
