"""Tests that docs/operators.md matches the code."""

from dataclasses import fields
from pathlib import Path

from testtools import TestCase

from flamingosail.metrics import METRICS
from flamingosail.settings import Settings

PAGE = Path(__file__).parent.parent / "docs" / "operators.md"


class OperatorsPageTest(TestCase):
    """Guards against metrics and settings that differ from the page."""

    def setUp(self):
        super().setUp()
        self.text = PAGE.read_text()

    def rows(self, title: str) -> list[list[str]]:
        """Return the cells of the table under a heading."""
        section = self.text.split(f"## {title}\n")[1].split("\n## ")[0]
        rows = [row for row in section.splitlines() if row.startswith("|")]
        return [
            [cell.strip() for cell in row.strip("|").split("|")]
            for row in rows[2:]
        ]

    def test_lists_each_metric_with_its_description(self):
        self.assertEqual(
            [[f"`{name}`", text] for name, text in METRICS.items()],
            self.rows("Metrics"),
        )

    def test_lists_each_setting_under_its_section(self):
        listed = {}
        for section, keys, *_ in self.rows("Settings"):
            if section:
                current = listed.setdefault(section.strip("`[]"), [])
            current += [key.strip(" `") for key in keys.split(",")]
        self.assertEqual(
            {
                section.name: [key.name for key in fields(section.type)]
                for section in fields(Settings)
            },
            listed,
        )
