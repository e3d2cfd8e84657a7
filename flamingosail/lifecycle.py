"""The lifecycle of a node: starting, serving, draining, stopped."""

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

# Time for callers and peers to move to other nodes before refusals start.
GRACE_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.05
# The last responses get this time even if calls used up the stop timeout.
MIN_FLUSH_SECONDS = 1.0


class Inputs(Protocol):
    """Inputs of the state machine."""

    def begin_serving(self) -> None:
        """All services have started."""

    def drain(self) -> None:
        """A shutdown of the node was requested."""

    def finished(self) -> None:
        """All steps of the shutdown are done."""

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
    # After a drain was requested during the start, the end of the start is
    # ignored.
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
    """Tracks the state of a node and runs its graceful shutdown.

    ``drain`` calls, in this order: ``announce_draining`` and
    ``drain_connections`` (new requests are still served, with ``Connection:
    close``), ``refuse_requests`` a second later, and ``flush`` (which may
    return a Deferred) once ``in_flight`` returns 0 or
    ``stop_timeout_seconds`` have passed since ``refuse_requests``. Then
    ``stopped`` fires with None. ``interrupted`` is the number of calls
    that were still in flight.
    """

    name = "lifecycle"

    def __init__(
        self,
        *,
        clock: IReactorTime,
        announce_draining: Callable[[], None],
        drain_connections: Callable[[], None],
        refuse_requests: Callable[[], None],
        in_flight: Callable[[], int],
        flush: Callable[[], Deferred | None],
        stop_timeout_seconds: float,
    ):
        self.clock = clock
        self.announce_draining = announce_draining
        self.drain_connections = drain_connections
        self.refuse_requests = refuse_requests
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
        """Enter ``serving``; called when all services have started."""
        self.machine.begin_serving()

    def drain(self):
        """Start the shutdown; further calls have no effect."""
        self.machine.drain()

    @inlineCallbacks
    def run_drain(self):
        """Run the steps of the shutdown; called by the state machine."""
        self.log.notice("draining")
        self._run_step(self.announce_draining)
        self._run_step(self.drain_connections)
        yield deferLater(self.clock, GRACE_SECONDS)
        self._run_step(self.refuse_requests)
        # The stop timeout starts here, so that a request accepted at the end
        # of the grace period keeps its whole timeout.
        self.deadline = self.clock.seconds() + self.stop_timeout_seconds
        yield self._wait_until_idle()
        yield self._flush_responses()
        self.interrupted = self.in_flight()
        self.log.notice("stopped", extra={"interrupted": self.interrupted})
        self.machine.finished()

    def _run_step(self, step: Callable[[], None]):
        """Call one step; an error must not prevent the shutdown."""
        try:
            step()
        except Exception:
            self.log.exception("step of the shutdown failed")

    @inlineCallbacks
    def _flush_responses(self):
        """Flush, for the remaining time and at least MIN_FLUSH_SECONDS."""
        try:
            written = maybeDeferred(self.flush)
            written.addTimeout(
                max(self._seconds_left(), MIN_FLUSH_SECONDS), self.clock
            )
            yield written
        except Exception:
            self.log.exception("answers were not written")

    @inlineCallbacks
    def _wait_until_idle(self):
        """Wait until nothing is in flight or the deadline passes."""
        poll = LoopingCall(lambda: self._stop_poll_if_done(poll))
        poll.clock = self.clock
        yield poll.start(POLL_INTERVAL_SECONDS)

    def _stop_poll_if_done(self, poll: LoopingCall):
        if not self.in_flight() or self._seconds_left() <= 0:
            poll.stop()

    def _seconds_left(self) -> float:
        return max(self.deadline - self.clock.seconds(), 0)

    def dump(self) -> dict:
        """Return the state; while draining, also calls in flight and time."""
        state = self.state
        dump = {"state": state, "interrupted": self.interrupted}
        if state == "draining":
            dump["in_flight"] = self.in_flight()
            if self.deadline is not None:
                dump["seconds_left"] = round(self._seconds_left(), 3)
        return dump


MACHINE = build_machine()
