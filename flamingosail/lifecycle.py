"""The node's way from start to stop, with a drain in between."""

from collections.abc import Callable
from typing import Protocol

from automat import TypeMachineBuilder
from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.defer import maybeDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.internet.task import LoopingCall

from flamingosail.kernel import Service

__all__ = ["Lifecycle"]

# Callers and peers need this long to move before they are refused.
GRACE_SECONDS = 1.0
POLL_SECONDS = 0.05
# Time for the last answers even when calls used up the stop timeout.
FLUSH_SECONDS = 1.0


class Inputs(Protocol):
    """What can happen to a lifecycle."""

    def begin_serving(self) -> None:
        """All services have started."""

    def drain(self) -> None:
        """An operator or a signal asks the node to leave."""

    def finished(self) -> None:
        """Nothing is in flight, or the stop timeout has passed."""

    def state(self) -> str:
        """Return the name of the state."""


def build_machine():
    """Return the state machine; its core is a Lifecycle."""
    builder = TypeMachineBuilder(Inputs, Lifecycle)
    starting = builder.state("starting")
    serving = builder.state("serving")
    draining = builder.state("draining")
    stopped = builder.state("stopped")
    for state in (starting, serving, draining, stopped):
        state.upon(Inputs.state).loop().returns(state.name)

    starting.upon(Inputs.begin_serving).to(serving).returns(None)
    # A drain during the start wins over the start's end.
    for state in (draining, stopped):
        state.upon(Inputs.begin_serving).loop().returns(None)
        state.upon(Inputs.drain).loop().returns(None)
    for state in (starting, serving):

        @state.upon(Inputs.drain).to(draining)
        def drain(inputs: Inputs, core: Lifecycle) -> None:
            core.clock.callLater(0, core.run_drain)

    @draining.upon(Inputs.finished).to(stopped)
    def finished(inputs: Inputs, core: Lifecycle) -> None:
        core.stopped.callback(None)

    return builder.build()


class Lifecycle(Service):
    """Starting, serving, draining, stopped.

    ``drain`` calls, in this order: ``announce_draining`` and
    ``close_callers`` (new requests are still served, with ``Connection:
    close``), ``refuse_callers`` a second later, and ``flush`` (which may
    return a Deferred) once ``in_flight`` returns 0 or
    ``stop_timeout_seconds`` have passed since callers were refused. Then
    ``stopped`` fires with None. ``interrupted`` is the number of calls
    that were still in flight.
    """

    name = "lifecycle"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        announce_draining: Callable[[], None],
        close_callers: Callable[[], None],
        refuse_callers: Callable[[], None],
        in_flight: Callable[[], int],
        flush: Callable[[], Deferred | None],
        stop_timeout_seconds: float,
    ):
        self.clock = clock
        self.announce_draining = announce_draining
        self.close_callers = close_callers
        self.refuse_callers = refuse_callers
        self.in_flight = in_flight
        self.flush = flush
        self.stop_timeout_seconds = stop_timeout_seconds
        self.stopped: Deferred[None] = Deferred()
        self.interrupted = 0
        self.deadline: float | None = None
        self.log = Logger("lifecycle")
        self.machine = MACHINE(self)

    @property
    def state(self) -> str:
        """One of ``starting``, ``serving``, ``draining``, ``stopped``."""
        return self.machine.state()

    def begin_serving(self):
        """State that all services have started."""
        self.machine.begin_serving()

    def drain(self):
        """Leave; a second drain changes nothing."""
        self.machine.drain()

    @inlineCallbacks
    def run_drain(self):
        """Go through the steps of a shutdown; called by the machine."""
        self.log.notice("draining")
        self._step(self.announce_draining)
        self._step(self.close_callers)
        yield deferLater(self.clock, GRACE_SECONDS)
        self._step(self.refuse_callers)
        # Counted from here, so that a request accepted at the end of the
        # grace time keeps its whole timeout.
        self.deadline = self.clock.seconds() + self.stop_timeout_seconds
        yield self._wait_until_idle()
        yield self._write_answers()
        self.interrupted = self.in_flight()
        self.log.notice("stopped", extra={"interrupted": self.interrupted})
        self.machine.finished()

    def _step(self, step: Callable[[], None]):
        """Call one step; an error must not keep the node from leaving."""
        try:
            step()
        except Exception:
            self.log.exception("step of the shutdown failed")

    @inlineCallbacks
    def _write_answers(self):
        """Flush, for the time left and at least FLUSH_SECONDS."""
        try:
            written = maybeDeferred(self.flush)
            written.addTimeout(max(self._left(), FLUSH_SECONDS), self.clock)
            yield written
        except Exception:
            self.log.exception("answers were not written")

    @inlineCallbacks
    def _wait_until_idle(self):
        """Wait until nothing is in flight or the deadline passes."""
        poll = LoopingCall(lambda: self._stop_if_done(poll))
        poll.clock = self.clock
        yield poll.start(POLL_SECONDS)

    def _stop_if_done(self, poll: LoopingCall):
        if not self.in_flight() or self._left() <= 0:
            poll.stop()

    def _left(self) -> float:
        return max(self.deadline - self.clock.seconds(), 0)

    def dump(self) -> dict:
        """Return the state and, while draining, the time and calls left."""
        state = self.state
        dump = {"state": state, "interrupted": self.interrupted}
        if state == "draining":
            dump["in_flight"] = self.in_flight()
            if self.deadline is not None:
                dump["seconds_left"] = round(self._left(), 3)
        return dump


MACHINE = build_machine()
