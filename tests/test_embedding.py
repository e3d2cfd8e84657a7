"""Runs the example of docs/embedding.md."""

from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path

from testtools import TestCase

PAGE = Path(__file__).parent.parent / "docs" / "embedding.md"


def code_block(language: str) -> str:
    """Return the only code block of the page in a language."""
    _, rest = PAGE.read_text().split(f"```{language}\n")
    return rest.split("```\n")[0]


class EmbeddingPageTest(TestCase):
    """Guards against an example that does not work as documented."""

    def test_the_example_prints_the_documented_output(self):
        output, namespace = StringIO(), {}
        with redirect_stdout(output):
            exec(compile(code_block("python"), str(PAGE), "exec"), namespace)
        self.assertEqual(code_block("text"), output.getvalue())
        self.assertEqual("accepted", namespace["report"].state)
        self.assertEqual({namespace["report"].version}, namespace["versions"])
        for node in namespace["nodes"].values():
            self.assertEqual(3, len(node.members.servers("shelf")))
            self.assertEqual(
                list(node.kernel.services.values()), node.kernel.started
            )
