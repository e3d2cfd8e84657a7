"""Console script ``flamingosail-node``: runs a node."""

import gc
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from logbook import Logger
from twisted.logger import globalLogBeginner

from flamingosail import __version__
from flamingosail.daemon import Daemon
from flamingosail.ipresolver import IpResolver
from flamingosail.logs import JsonLinesHandler
from flamingosail.logs import TwistedObserver
from flamingosail.node import add_call_path
from flamingosail.reactorclock import use_monotonic_time
from flamingosail.settings import read_settings
from flamingosail.settings import Settings

__all__ = ["NodeCommand", "main", "run_node"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
# Each garbage collection blocks the reactor, so collections are rare and
# exclude the objects that live as long as the process.
GC_THRESHOLD = 50_000


@cappa.command(
    name="flamingosail-node",
    help="Run a node until SIGTERM or Ctrl-C, which drain it.",
    description=(
        "Exit codes: 0 drained and stopped; 1 the node could not start; "
        "2 wrong usage or settings."
    ),
)
@dataclass(frozen=True)
class NodeCommand:
    """Arguments of ``flamingosail-node``."""

    settings: Annotated[Path, cappa.Arg(help="Settings file (INI).")]


def main(argv: list[str] | None = None):
    """Run the console script."""
    command = cappa.parse(NodeCommand, argv=argv, version=__version__)
    try:
        settings = read_settings(command.settings)
    except* Exception as group:
        for error in group.exceptions:
            print(f"{command.settings}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(run_node(settings))


def run_node(settings: Settings, add_path: Callable = add_call_path) -> int:
    """Run a node on the global reactor and return the exit code."""
    from twisted.internet import reactor

    use_monotonic_time(reactor)
    reactor.installNameResolver(IpResolver())
    handler = JsonLinesHandler(
        level=settings.logging.level, fields={"node": settings.node.name}
    )
    globalLogBeginner.beginLoggingTo(
        [TwistedObserver()], redirectStandardIO=False
    )
    with handler.applicationbound():
        return run_daemon(
            reactor,
            Daemon(reactor=reactor, settings=settings, add_path=add_path),
        )


def run_daemon(reactor, daemon: Daemon) -> int:
    """Run a daemon until it has stopped and return the exit code."""
    log = Logger("daemon")
    codes = [EXIT_OK]

    def on_failed(failure):
        log.critical("the node could not start: {}", failure.getErrorMessage())
        codes.append(EXIT_FAILED)
        reactor.stop()

    def on_started(_):
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD, 20, 100)
        daemon.lifecycle.stopped.addCallback(lambda _: reactor.stop())

    def on_signal(number, frame):
        # Looked up in the reactor, since the lifecycle may not exist yet
        # while the daemon starts.
        reactor.callFromThread(lambda: daemon.lifecycle.drain())

    def start_daemon():
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, on_signal)
        daemon.start().addCallbacks(on_started, on_failed)

    reactor.callWhenRunning(start_daemon)
    reactor.run(installSignalHandlers=False)
    return codes[-1]


if __name__ == "__main__":
    main()
