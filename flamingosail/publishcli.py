"""Console script flamingosail-publish."""

import json
import signal
import sys
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import cappa
from twisted.internet.defer import Deferred
from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure

from flamingosail import __version__
from flamingosail.loghttp import HttpLogService
from flamingosail.manifest import Manifest
from flamingosail.manifest import parse_manifest
from flamingosail.manifesthistory import NO_VERSION
from flamingosail.publisher import Publisher
from flamingosail.publisher import Report
from flamingosail.publisher import ReportState

__all__ = [
    "EXIT_OK",
    "EXIT_REFUSED",
    "EXIT_UNKNOWN",
    "EXIT_USAGE",
    "main",
]

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
DEFAULT_TIMEOUT_SECONDS = 10.0

DESCRIPTION = (
    f"Exit codes: {EXIT_OK} accepted or ok; {EXIT_REFUSED} refused or "
    f"invalid; {EXIT_USAGE} usage; {EXIT_UNKNOWN} unknown (find the outcome "
    "later with resolve)."
)
EXIT_CODES = {
    ReportState.OK: EXIT_OK,
    ReportState.ACCEPTED: EXIT_OK,
    ReportState.REFUSED: EXIT_REFUSED,
    ReportState.UNKNOWN: EXIT_UNKNOWN,
}


@cappa.command(name="check", help="Check a manifest file without publishing.")
@dataclass(frozen=True)
class CheckCommand:
    """Arguments of ``check``."""

    file: Annotated[Path, cappa.Arg(help="Manifest (JSON).")]


@cappa.command(name="publish", help="Check and publish a manifest file.")
@dataclass(frozen=True)
class PublishCommand:
    """Arguments of ``publish``."""

    file: Annotated[Path, cappa.Arg(help="Manifest (JSON).")]


@cappa.command(name="show", help="Show the accepted manifest.")
@dataclass(frozen=True)
class ShowCommand:
    """Arguments of ``show``."""


@cappa.command(name="resolve", help="Show the outcome of a publication.")
@dataclass(frozen=True)
class ResolveCommand:
    """Arguments of ``resolve``."""

    id: Annotated[str, cappa.Arg(help="Publication id.")]


@cappa.command(
    name="flamingosail-publish",
    help="Publish manifests to the log service.",
    description=DESCRIPTION,
)
@dataclass(frozen=True)
class PublishScript:
    """Subcommand and common options."""

    command: cappa.Subcommands[
        CheckCommand | PublishCommand | ShowCommand | ResolveCommand
    ]
    log: Annotated[
        str | None,
        cappa.Arg(
            long="--log",
            value_name="URL",
            propagate=True,
            help="Address of the log service, such as http://10.0.0.1:8080.",
        ),
    ] = None
    timeout: Annotated[
        float,
        cappa.Arg(
            long="--timeout",
            value_name="SECONDS",
            propagate=True,
            help="How long to read for the outcome before it is unknown.",
        ),
    ] = DEFAULT_TIMEOUT_SECONDS
    json: Annotated[
        bool,
        cappa.Arg(
            long="--json", propagate=True, help="Print one JSON object."
        ),
    ] = False


def main(argv: list[str] | None = None) -> int:
    """Run the command and exit with the code of its result."""
    script = cappa.parse(
        PublishScript,
        argv=sys.argv[1:] if argv is None else argv,
        version=__version__,
        completion=False,
        color=False,
    )
    try:
        report = _run_command(script)
    except KeyboardInterrupt:
        report = Report(state=ReportState.UNKNOWN, reason="interrupted")
    print(as_json(report) if script.json else as_text(report))
    sys.exit(EXIT_CODES[report.state])


def as_json(report: Report) -> str:
    """Return the report as one line of JSON."""
    return json.dumps(asdict(report))


def as_text(report: Report) -> str:
    """Return the report as human-readable text."""
    lines = [str(report.state)]
    if report.version is not None:
        lines[0] += f": version {report.version}"
    if report.reason:
        lines[0] += f": {report.reason}"
    if report.publication_id is not None:
        lines.append(f"publication id: {report.publication_id}")
    if report.state is ReportState.UNKNOWN and report.publication_id:
        lines.append(
            "find the outcome later with: flamingosail-publish resolve "
            f"{report.publication_id}"
        )
    if report.manifest is not None:
        lines.append(json.dumps(report.manifest, indent=2))
    return "\n".join(lines)


def _run_command(script: PublishScript) -> Report:
    command, manifest = script.command, None
    if isinstance(command, CheckCommand | PublishCommand):
        try:
            manifest = _load_manifest(command.file)
        except ExceptionGroup as group:
            errors = "\n  ".join(str(error) for error in group.exceptions)
            return Report(
                state=ReportState.REFUSED, reason=f"invalid:\n  {errors}"
            )
    if isinstance(command, CheckCommand):
        return Report(state=ReportState.OK, reason="the manifest is valid")
    if not (script.log or "").startswith(("http://", "https://")):
        raise cappa.Exit(
            "--log must be an http:// or https:// URL", code=EXIT_USAGE
        )
    return _run_with_log(script, partial(_start_command, command, manifest))


def _load_manifest(path: Path) -> Manifest:
    try:
        body = path.read_bytes()
    except OSError as error:
        raise cappa.Exit(
            f"cannot read {path}: {error.strerror}", code=EXIT_USAGE
        ) from error
    return parse_manifest(body, version=NO_VERSION)


def _start_command(
    command: object, manifest: Manifest | None, publisher: Publisher
) -> Deferred[Report]:
    if isinstance(command, PublishCommand):
        return publisher.publish(manifest)
    if isinstance(command, ResolveCommand):
        return publisher.resolve(command.id)
    return publisher.show()


def _run_with_log(
    script: PublishScript,
    operation: Callable[[Publisher], Deferred[Report]],
) -> Report:
    """Run the reactor until the operation ends or a signal arrives."""
    # Imported here, so that check and --help install no reactor.
    from twisted.internet import reactor

    publisher = Publisher(
        clock=reactor,
        random=SystemRandom(),
        log=HttpLogService(reactor=reactor, url=script.log),
        patience=script.timeout,
    )
    results: list[Report | Failure] = []

    def finish(result: Report | Failure):
        if not results:
            results.append(result)
            reactor.stop()

    def interrupt():
        finish(
            Report(
                state=ReportState.UNKNOWN,
                reason="interrupted",
                publication_id=publisher.pending_id,
            )
        )

    # The reactor's own handlers would end the run without a report.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: reactor.callFromThread(interrupt))
    reactor.callWhenRunning(
        lambda: maybeDeferred(operation, publisher).addBoth(finish)
    )
    reactor.run(installSignalHandlers=False)
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


if __name__ == "__main__":
    main()
