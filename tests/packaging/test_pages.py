"""Generated pages are current, and links in pages are valid."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from tests.fakes.processes import ROOT
from tools.generate_docs import REFERENCE, pages

LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])


class TestGeneratedPages:
    """Guards against pages that list outdated error ids or keys.

    If a key is renamed and the page keeps the old one, an operator who follows the page
    gets the error "There is no such key."
    """

    @pytest.mark.parametrize("name", sorted(pages()))
    def test_are_current(self, name: str) -> None:
        text = (REFERENCE / name).read_text()
        assert text == pages()[name], "run `make docs` and commit the pages"


class TestLinks:
    @pytest.mark.parametrize(
        "page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix()
    )
    def test_targets_exist(self, page: Path) -> None:
        targets = LINK.findall(page.read_text())
        local = [target for target in targets if "://" not in target]
        missing = [target for target in local if not (page.parent / target).exists()]
        assert not missing
