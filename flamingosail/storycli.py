"""Console script that prints the log lines of one request.

Reads the JSON logs of several nodes and prints the lines of a request and of
its child calls in order of time.
"""

import json
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

__all__ = ["main", "read_lines", "StoryCommand"]

# Fields that are printed in columns or left out.
COLUMN_FIELDS = frozenset(
    {"time", "node", "message", "level", "channel", "request"}
)


@cappa.command(
    name="story",
    help="Print the log lines of one request and its calls.",
    description="Exit codes: 0 lines were found; 1 none were.",
)
@dataclass(frozen=True)
class StoryCommand:
    """Arguments of the script."""

    request: Annotated[str, cappa.Arg(help="Id of the request.")]
    logs: Annotated[
        list[Path], cappa.Arg(help="Files with the output of nodes.")
    ]


def read_lines(lines: Iterable[str], request: str) -> Iterator[dict]:
    """Yield the log entries of a request and of its child calls.

    A line may have a prefix before its JSON object, as log collectors add;
    lines without an object are skipped.
    """
    for line in lines:
        start = line.find("{")
        if start < 0 or request not in line:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            continue
        name = str(entry.get("request", ""))
        if name == request or name.startswith(f"{request}."):
            yield entry


def main(argv: list[str] | None = None) -> int:
    """Run the script and return its exit code."""
    command = cappa.parse(StoryCommand, argv=argv)
    entries = []
    for path in command.logs:
        with path.open(errors="replace") as lines:
            entries += read_lines(lines, command.request)
    for entry in sorted(entries, key=lambda entry: entry["time"]):
        other_fields = {
            name: value
            for name, value in entry.items()
            if name not in COLUMN_FIELDS
        }
        fields = " ".join(
            f"{name}={value}" for name, value in other_fields.items()
        )
        print(
            entry["time"],
            entry.get("node", "?"),
            entry["request"],
            entry["message"],
            fields,
        )
    return 0 if entries else 1


if __name__ == "__main__":
    raise SystemExit(main())
