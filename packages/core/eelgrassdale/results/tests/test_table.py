"""Tests that `docs/results.md` matches the result codes."""

from pathlib import Path

from eelgrassdale.results.table import results_page

REPOSITORY = Path(__file__).parents[5]


def test_page_matches_the_code():
    page = REPOSITORY / "docs" / "results.md"
    assert page.read_text() == results_page()
