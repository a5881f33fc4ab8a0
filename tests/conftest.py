"""Pytest hooks of the whole test suite."""

from known_red import (  # noqa: F401  pytest finds these hooks by their names
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_runtest_makereport,
    pytest_sessionfinish,
    pytest_terminal_summary,
    pytest_testnodedown,
)
