"""Hooks of the whole suite."""

from known_red import (  # noqa: F401  pytest finds its hooks by their names
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_runtest_makereport,
    pytest_sessionfinish,
    pytest_terminal_summary,
    pytest_testnodedown,
)
