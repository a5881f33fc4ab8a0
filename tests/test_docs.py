"""The pages under docs/ name modules and tests that exist."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *ROOT.glob("docs/*.md"), *ROOT.glob("docs/*/*.md")]
INCIDENT_REPORTS = ROOT / "docs" / "incidents"  # reports are not updated when a name changes
CODE_SPAN = re.compile(r"`([^`]+)`")
MODULE = re.compile(r"[\w/]+\.py")
TEST = re.compile(r"test_\w+")


def code_spans() -> list[tuple[str, str]]:
    """Return each text that a page marks as code, with the path of the page."""
    return [
        (str(page.relative_to(ROOT)), word)
        for page in PAGES
        if page.parent != INCIDENT_REPORTS
        for word in CODE_SPAN.findall(page.read_text())
    ]


def test_modules_named_in_the_pages_exist() -> None:
    files = [
        str(file.relative_to(ROOT))
        for folder in ("kelptrail", "tests", "bench")
        for file in (ROOT / folder).rglob("*.py")
    ]
    named = [(page, word) for page, word in code_spans() if MODULE.fullmatch(word)]
    assert len(named) > 100
    assert not [(page, word) for page, word in named if not any(f"/{file}".endswith(f"/{word}") for file in files)]


def test_tests_named_in_the_pages_exist() -> None:
    text = "\n".join(file.read_text() for file in (ROOT / "tests").glob("*.py"))
    names = set(re.findall(r"def (test_\w+)", text)) | {file.stem for file in (ROOT / "tests").glob("*.py")}
    named = [(page, word) for page, word in code_spans() if TEST.fullmatch(word)]
    assert len(named) > 10
    assert not [(page, word) for page, word in named if word not in names]
