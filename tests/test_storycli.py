"""Tests of the script that prints the log lines of a request."""

import json
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import mkdtemp

from testtools import TestCase

from flamingosail.storycli import main


class StoryTest(TestCase):
    """Guards against lines of other requests and lines out of order."""

    def run_script(self, request: str, *logs: list) -> tuple[int, list[str]]:
        folder = Path(mkdtemp())
        paths = []
        for number, entries in enumerate(logs):
            path = folder / f"{number}.log"
            lines = [
                entry if isinstance(entry, str) else json.dumps(entry)
                for entry in entries
            ]
            path.write_text("\n".join(lines))
            paths.append(str(path))
        output = StringIO()
        with redirect_stdout(output):
            code = main([request, *paths])
        return code, output.getvalue().splitlines()

    def entry(self, time: str, request: str, message: str) -> dict:
        return {
            "time": time,
            "node": "n",
            "request": request,
            "message": message,
        }

    def test_lines_of_a_request_and_its_child_calls_are_sorted(self):
        code, lines = self.run_script(
            "ab",
            [self.entry("2", "ab", "answered"), "no JSON {", "ab"],
            [
                self.entry("1", "ab.cd", "not served"),
                self.entry("3", "abc", "answered"),
            ],
        )
        self.assertEqual(0, code)
        self.assertEqual(["1 n ab.cd not served ", "2 n ab answered "], lines)

    def test_an_unknown_request_has_no_lines(self):
        code, lines = self.run_script(
            "zz", [self.entry("2", "ab", "answered")]
        )
        self.assertEqual((1, []), (code, lines))
