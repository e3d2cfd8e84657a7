"""Runs console scripts in the process of the tests."""

import signal
from collections.abc import Callable
from contextlib import contextmanager
from contextlib import redirect_stderr
from contextlib import redirect_stdout
from dataclasses import dataclass
from io import StringIO
from unittest.mock import patch

import twisted.internet
import twisted.internet.reactor  # noqa: F401 - sets the attribute patched
from twisted.internet.selectreactor import SelectReactor

__all__ = ["ScriptResult", "run_script"]

SIGNALS = (signal.SIGINT, signal.SIGTERM)


@dataclass(frozen=True)
class ScriptResult:
    """Exit code, standard output and standard error of a script."""

    code: int
    output: str
    errors: str


class FastReactor(SelectReactor):
    """A reactor whose time runs ``speed`` times as fast as the clock."""

    def __init__(self, speed: float):
        super().__init__()
        self.speed = speed
        self.seconds = lambda: SelectReactor.seconds() * speed

    def timeout(self):
        """Return how long the reactor may sleep, in real seconds."""
        seconds = super().timeout()
        return None if seconds is None else seconds / self.speed


def run_script(
    main: Callable[[list[str]], None], *arguments: object, speed: float = 1.0
) -> ScriptResult:
    """Run a console script's main function with its own reactor.

    Starting Python takes half a second, so only tests that need a separate
    process start one.
    """
    output, errors = StringIO(), StringIO()
    reactor = FastReactor(speed)
    code = 0
    with (
        restored_signal_handlers(),
        patch.object(twisted.internet, "reactor", reactor),
        redirect_stdout(output),
        redirect_stderr(errors),
    ):
        try:
            main([str(argument) for argument in arguments])
        except SystemExit as end:
            code = end.code
    if isinstance(code, str):
        # As the interpreter does when it exits.
        errors.write(f"{code}\n")
        code = 1
    return ScriptResult(code or 0, output.getvalue(), errors.getvalue())


@contextmanager
def restored_signal_handlers():
    """Restore the signal handlers that a script replaces."""
    handlers = {number: signal.getsignal(number) for number in SIGNALS}
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
