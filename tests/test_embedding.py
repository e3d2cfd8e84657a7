"""Runs the example on the page on embedding."""

from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path

from testtools import TestCase

PAGE = Path(__file__).parent.parent / "docs" / "embedding.md"


def block(language: str) -> str:
    """Return the page's only code block in a language."""
    _, found = PAGE.read_text().split(f"```{language}\n")
    return found.split("```\n")[0]


class EmbeddingPageTest(TestCase):
    """Guards against an example that does not work as the page says."""

    def test_the_example_prints_what_the_page_says(self):
        output, names = StringIO(), {}
        with redirect_stdout(output):
            exec(compile(block("python"), str(PAGE), "exec"), names)
        self.assertEqual(block("text"), output.getvalue())
        self.assertEqual("accepted", names["report"].state)
        self.assertEqual({names["report"].version}, names["versions"])
        for node in names["nodes"].values():
            self.assertEqual(3, len(node.members.servers("shelf")))
            self.assertEqual(
                list(node.kernel.services.values()), node.kernel.started
            )
