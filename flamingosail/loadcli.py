"""Console script ``flamingosail-load``: sends open-loop load to nodes."""

import json
import sys
from dataclasses import dataclass
from dataclasses import replace
from typing import Annotated

import cappa

from flamingosail import __version__
from flamingosail.dumpcli import parse_address
from flamingosail.dumpcli import run_reactor
from flamingosail.load import LoadGenerator
from flamingosail.load import LoadKind
from flamingosail.load import NodeClient
from flamingosail.load import Phase
from flamingosail.priority import Importance
from flamingosail.settings import Address

__all__ = ["KindFlag", "LoadCommand", "main"]

EXIT_NO_RESPONSE = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130
IMPORTANCES = tuple(level.name.lower() for level in Importance)


@dataclass(frozen=True)
class KindFlag:
    """A value of ``--kind``: NAME:RATE[:IMPORTANCE][:key]."""

    kind: LoadKind
    rate: float

    @classmethod
    def parse(cls, text: str) -> "KindFlag":
        """Parse a value of ``--kind``.

        :raises ValueError: if it is malformed or out of range.
        """
        name, *rest = text.split(":")
        needs_key = rest[-1:] == ["key"]
        if needs_key:
            rest.pop()
        if not name or not 1 <= len(rest) <= 2:
            raise ValueError(f"{text!r} is not NAME:RATE[:IMPORTANCE][:key]")
        rate = float(rest[0])
        if not 0 < rate < float("inf"):
            raise ValueError(f"rate {rest[0]} is not positive and finite")
        importance = rest[1] if len(rest) == 2 else "normal"
        if importance not in IMPORTANCES:
            raise ValueError(
                f"importance {importance!r} is not one of"
                f" {', '.join(IMPORTANCES)}"
            )
        kind = LoadKind(name=name, importance=importance, needs_key=needs_key)
        return cls(kind, rate)


def parse_positive(text: str) -> float:
    """Parse a positive, finite number."""
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(f"{text} is not positive and finite")
    return value


def parse_count(text: str) -> int:
    """Parse an integer that is not negative."""
    value = int(text)
    if value < 0:
        raise ValueError(f"{text} is negative")
    return value


def parse_nodes(texts: list[str]) -> list[Address]:
    """Parse the addresses of the nodes."""
    return [parse_address(text) for text in texts]


def parse_kinds(texts: list[str]) -> list[KindFlag]:
    """Parse the values of all ``--kind`` flags."""
    return [KindFlag.parse(text) for text in texts]


@cappa.command(
    name="flamingosail-load",
    help="Send open-loop load to nodes and print the results as JSON.",
    description=(
        "Exit codes: 0 the load was sent; 1 no request got a whole answer; "
        "2 wrong usage; 130 interrupted, with the results so far."
    ),
)
@dataclass(frozen=True)
class LoadCommand:
    """Arguments of ``flamingosail-load``."""

    nodes: Annotated[
        list[Address],
        cappa.Arg(
            num_args=-1,
            required=True,
            parse=parse_nodes,
            help="Caller listeners of nodes, as ip:port.",
        ),
    ]
    kinds: Annotated[
        list[KindFlag],
        cappa.Arg(
            long="--kind",
            required=True,
            value_name="NAME:RATE[:IMPORTANCE][:key]",
            action=cappa.ArgAction.append,
            parse=parse_kinds,
            help=(
                "A kind with its requests/s; its importance is a label of"
                " the results; key fetches a key for each request."
            ),
        ),
    ]
    seconds: Annotated[
        float,
        cappa.Arg(long=True, parse=parse_positive, help="How long to send."),
    ] = 10.0
    timeout_ms: Annotated[
        float,
        cappa.Arg(
            long=True,
            parse=parse_positive,
            help="Timeout of a request in ms, from its intended time.",
        ),
    ] = 2000.0
    retries: Annotated[
        int,
        cappa.Arg(
            long=True,
            parse=parse_count,
            help="Retries of a failed request, at once at the next node.",
        ),
    ] = 0
    seed: Annotated[
        int,
        cappa.Arg(
            long=True, help="Seed of the send times and the choice of nodes."
        ),
    ] = 0
    path: Annotated[
        str, cappa.Arg(long=True, help="Path that the targets begin with.")
    ] = "/load"


def build_generator(command: LoadCommand, reactor) -> LoadGenerator:
    """Return a generator with the settings of a command."""
    return LoadGenerator(
        clock=reactor,
        clients=[
            NodeClient(reactor=reactor, host=node.host, port=node.port)
            for node in command.nodes
        ],
        kinds=[
            replace(flag.kind, timeout=command.timeout_ms / 1000)
            for flag in command.kinds
        ],
        phases=[
            Phase(
                seconds=command.seconds,
                rates={flag.kind.name: flag.rate for flag in command.kinds},
            )
        ],
        # Bodies are not checked: their format is known to the services only.
        # The HTTP client rejects truncated responses in any case.
        check=lambda body, target: True,
        seed=command.seed,
        retries=command.retries,
        path=command.path,
    )


def check_usage(command: LoadCommand):
    """Check constraints that the argument parser cannot express.

    :raises ValueError: if a kind is duplicate or the path is relative.
    """
    names = [flag.kind.name for flag in command.kinds]
    if len(set(names)) < len(names):
        raise ValueError("a kind is given twice")
    if not command.path.startswith("/"):
        raise ValueError("the path must begin with /")


def main(argv: list[str] | None = None):
    """Run the script and exit."""
    command = cappa.parse(
        LoadCommand, argv=argv, version=__version__, completion=False
    )
    try:
        check_usage(command)
    except ValueError as error:
        print(f"flamingosail-load: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    from twisted.internet import reactor

    generator = build_generator(command, reactor)
    finished = run_reactor(reactor, generator.start)
    print(json.dumps(generator.results.as_dict()))
    if not finished:
        sys.exit(EXIT_INTERRUPTED)
    successes = sum(
        kind.whole_in_time for kind in generator.results.kinds.values()
    )
    sys.exit(0 if successes else EXIT_NO_RESPONSE)


if __name__ == "__main__":
    main()
