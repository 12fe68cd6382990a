"""Tests that generated pages are current."""

import pytest

from bench.pages import PAGES


@pytest.mark.parametrize("path", PAGES, ids=lambda path: path.name)
def test_page_is_current(path):
    """Guards against settings and errors that the pages do not show; run make pages."""
    assert path.read_text(encoding="utf-8") == PAGES[path]()
