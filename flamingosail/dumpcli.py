"""Console script ``flamingosail-dump``: shows the state of a node."""

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated
from typing import Any
from urllib.parse import quote

import cappa
import treq
from twisted.internet.defer import inlineCallbacks
from twisted.python.failure import Failure
from twisted.web.client import Agent

from flamingosail import __version__
from flamingosail.settings import Address

__all__ = ["DumpCommand", "fetch_dump", "main", "render"]

EXIT_NOT_REACHABLE = 1
EXIT_USAGE = 2
EXIT_NO_SUCH_SERVICE = 3
EXIT_INTERRUPTED = 130
TIMEOUT_SECONDS = 5
CELL_GAP = "  "


class NoSuchService(Exception):
    """The node has no service of the given name."""


class NotReachable(Exception):
    """The node did not answer with a dump."""


def parse_address(text: str) -> Address:
    """Parse an ip:port address.

    :raises ValueError: if it is malformed or the port is 0.
    """
    address = Address.parse(text)
    if address.port == 0:
        raise ValueError("port 0 cannot be reached")
    return address


@cappa.command(
    name="flamingosail-dump",
    help="Show the state of a node.",
    description=(
        "Exit codes: 0 the state was shown; 1 the node was not reachable; "
        "2 wrong usage; 3 the node has no such service; 130 interrupted."
    ),
)
@dataclass(frozen=True)
class DumpCommand:
    """Arguments of ``flamingosail-dump``."""

    address: Annotated[
        Address,
        cappa.Arg(
            parse=parse_address,
            help="Control address of the node, as ip:port.",
        ),
    ]
    service: Annotated[
        str | None, cappa.Arg(help="Show only this service.")
    ] = None
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print the dump as JSON.")
    ] = False


@inlineCallbacks
def fetch_dump(reactor, address: Address, service: str | None):
    """Return the dump of a node, or of one service, by service name.

    :raises NotReachable: if there was no valid response within 10 s:
        5 s for the headers and 5 s for the body.
    :raises NoSuchService: if the node has no such service.
    """
    path = "/dump" if service is None else f"/dump/{quote(service, safe='')}"
    client = treq.client.HTTPClient(Agent(reactor, connectTimeout=2))
    try:
        response = yield client.get(
            f"http://{address}{path}", timeout=TIMEOUT_SECONDS
        )
        content = treq.json_content(response)
        dump = yield content.addTimeout(TIMEOUT_SECONDS, reactor)
    except Exception as error:
        raise NotReachable(f"{address}: {describe(error)}") from error
    if response.code == 404 and service is not None:
        raise NoSuchService(f"{address}: {dump.get('detail', service)}")
    if response.code != 200 or not isinstance(dump, dict):
        raise NotReachable(f"{address}: status {response.code}")
    return dump if service is None else {service: dump}


def describe(error: Exception) -> str:
    """Return an error with its class; some errors have no text."""
    return f"{type(error).__name__}: {error}".rstrip(": ")


def render(dump: dict[str, Any]) -> str:
    """Return a dump as text: one section per service."""
    return "\n".join(
        f"[{name}]\n" + "".join(f"{line}\n" for line in format_section(state))
        for name, state in dump.items()
    )


def format_section(state: Any) -> list[str]:
    """Return the lines of one service: scalars, then tables."""
    if not isinstance(state, dict):
        return [format_value(state)]
    scalars = {k: v for k, v in state.items() if not is_table(v)}
    lines = align(
        [[name, format_value(value)] for name, value in scalars.items()]
    )
    for name, value in state.items():
        if is_table(value):
            lines += ["", f"{name}:", *align(table_cells(value))]
    return lines


def is_table(value: Any) -> bool:
    """Whether a value is shown as a table of its own."""
    if isinstance(value, list):
        return bool(value) and all(isinstance(row, dict) for row in value)
    return isinstance(value, dict) and bool(value)


def table_cells(value: list | dict) -> list[list[str]]:
    """Return the cells of a table; a dict of scalars has no header."""
    if isinstance(value, list):
        return record_cells(value)
    if all(isinstance(row, dict) for row in value.values()):
        return record_cells([{"": name, **row} for name, row in value.items()])
    return [[name, format_value(cell)] for name, cell in value.items()]


def record_cells(records: list[dict]) -> list[list[str]]:
    """Return a header row and one row per record."""
    header = list(dict.fromkeys(name for row in records for name in row))
    body = [
        [format_value(row.get(name, "")) for name in header] for row in records
    ]
    return [header, *body]


def format_value(value: Any) -> str:
    """Return a value as the text of one cell."""
    if isinstance(value, str):
        return value if value.isprintable() else json.dumps(value)
    return json.dumps(value)


def align(cells: list[list[str]]) -> list[str]:
    """Return one line per row, with each column padded to its width."""
    if not cells:
        return []
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        CELL_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def print_dump(command: DumpCommand, dump: dict[str, Any]):
    """Print a dump as JSON or as text."""
    if command.json:
        selected = dump if command.service is None else dump[command.service]
        print(json.dumps(selected, indent=2))
    else:
        print(render(dump), end="")


def report_result(command: DumpCommand, result: Any) -> int:
    """Print a dump or the reason why there is none; return the exit code."""
    if not isinstance(result, Failure):
        print_dump(command, result)
        return 0
    if result.check(NoSuchService, NotReachable) is None:
        result.raiseException()
    print(f"flamingosail-dump: {result.value}", file=sys.stderr)
    if result.check(NoSuchService):
        return EXIT_NO_SUCH_SERVICE
    return EXIT_NOT_REACHABLE


def run_reactor(reactor, operation: Callable) -> list:
    """Run the reactor until the Deferred of ``operation`` fires.

    Returns a list with its result or Failure, empty if Ctrl-C came first.
    """
    results = []
    stopping = []
    # A stopping reactor closes connections, so the operation then fails with
    # an error that is not the cause.
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: stopping.append(True)
    )

    def finish(result):
        if not stopping:
            results.append(result)
            reactor.stop()

    reactor.callWhenRunning(lambda: operation().addBoth(finish))
    reactor.run()
    return results


def main(argv: list[str] | None = None):
    """Run the script and exit."""
    command = cappa.parse(
        DumpCommand, argv=argv, version=__version__, completion=False
    )
    from twisted.internet import reactor

    results = run_reactor(
        reactor, lambda: fetch_dump(reactor, command.address, command.service)
    )
    if not results:
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(report_result(command, results[0]))
