"""Health monitoring of the node's own backend server.

Keeps the state in this node's member record up to date when the server
announces itself, is drained or fails, so that other nodes send calls only to
servers that are available.
"""

from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from flamingosail.backend import Announcement
from flamingosail.backend import Backend
from flamingosail.errors import RefusalCode
from flamingosail.kernel import Service
from flamingosail.request import Answer
from flamingosail.verdict import Verdict

__all__ = ["BackendWatch", "CHECK_INTERVAL_SECONDS"]

CHECK_INTERVAL_SECONDS = 1.0
# A connection attempt that times out may only mean a full listen backlog. The
# server counts as lost when, in addition, at least this many consecutive
# calls got no connection.
LOST_AFTER_UNSENT_CALLS = 3


class BackendWatch(Service):
    """Decides whether the backend server is ready, lost or draining.

    The port of the announced server is checked every CHECK_INTERVAL_SECONDS,
    and at once after a call lost its connection. A lost server becomes ready
    again when its port accepts a connection or when it announces itself; its
    concurrency limit then slow-starts. A drained server becomes ready only by
    announcing itself, and no server does once the node is leaving.
    """

    name = "backend-watch"

    def __init__(
        self, *, clock: IReactorTime, backend: Backend, ingress, members
    ):
        self.clock = clock
        self.backend = backend
        self.ingress = ingress
        self.members = members
        self.lost = False
        self.leaving = False
        self.losses = 0
        self.consecutive_unsent = 0
        self.pending_check: Deferred | None = None
        self.timer = None
        self.log = Logger("backend-watch")
        ingress.on_outcome = self.record_outcome

    @property
    def draining(self) -> bool:
        """Whether the server or an operator asked for a drain."""
        return self.ingress.draining

    def start(self):
        """Start the periodic checks."""
        self.timer = self.clock.callLater(CHECK_INTERVAL_SECONDS, self.tick)

    def stop(self):
        """Stop the checks and ignore the result of a pending one."""
        timer, self.timer = self.timer, None
        if timer is not None:
            timer.cancel()
        self.pending_check = None

    def announce(self, announcement: Announcement):
        """Make a server ready that announces that it listens.

        A repetition by a server that is not lost keeps its limit.
        """
        if self.leaving:
            return
        self.ingress.draining = False
        if self.lost or announcement != self.ingress.announcement:
            self.use_server(announcement)
        self.publish_state()

    def drain(self):
        """Announce to all nodes that the server takes no new calls."""
        self.ingress.draining = True
        self.publish_state()

    def leave(self):
        """Drain and ignore later announcements: the node is stopping."""
        self.leaving = True
        self.drain()

    def use_server(self, announcement: Announcement):
        """Dispatch calls to a server that has just started."""
        self.lost = False
        self.consecutive_unsent = 0
        # The result of a check of the earlier server must be ignored.
        self.pending_check = None
        self.ingress.announce(announcement)

    def publish_state(self):
        """Update the state in this node's member record."""
        announcement = self.ingress.announcement
        if self.draining or self.lost:
            self.members.update_own_record(state="draining")
        elif announcement is not None:
            self.members.update_own_record(
                service=announcement.service, state="ready"
            )

    def record_outcome(self, answer: Answer):
        """Record the answer to a call that was dispatched to the server.

        A lost connection starts a check at once.
        """
        refusal = answer.refusal
        if refusal is None or refusal.code is not RefusalCode.CONNECTION_LOST:
            self.consecutive_unsent = 0
            return
        if refusal.verdict is Verdict.NOT_RUN:
            self.consecutive_unsent += 1
        if not self.lost:
            self.start_check()

    def tick(self):
        """Check the port and schedule the next check."""
        self.timer = self.clock.callLater(CHECK_INTERVAL_SECONDS, self.tick)
        self.start_check()

    def start_check(self):
        """Check the port, unless a check is pending or there is no server."""
        stopped = self.timer is None
        if stopped or self.pending_check or self.ingress.announcement is None:
            return
        check = self.pending_check = self.backend.probe()
        check.addCallbacks(
            self.on_connected,
            self.on_connect_failed,
            callbackArgs=(check,),
            errbackArgs=(check,),
        )

    def on_connected(self, _, check: Deferred):
        """Make a lost server ready again: its port accepts connections."""
        if self.pending_check is not check:
            return
        self.pending_check = None
        self.consecutive_unsent = 0
        if self.lost:
            self.log.notice("the backend server accepts connections again")
            self.use_server(self.ingress.announcement)
            self.publish_state()

    def on_connect_failed(self, failure: Failure, check: Deferred):
        """Mark the server lost if it is certainly gone.

        That is, if the connection was refused, or if it failed otherwise and
        the last LOST_AFTER_UNSENT_CALLS calls got no connection.
        """
        if self.pending_check is not check:
            return
        self.pending_check = None
        refused = failure.check(ConnectionRefusedError) is not None
        if self.lost or not (
            refused or self.consecutive_unsent >= LOST_AFTER_UNSENT_CALLS
        ):
            return
        self.lost = True
        self.losses += 1
        self.log.warning(
            "the backend server is gone: {}", failure.getErrorMessage()
        )
        # Update the member record first: the calls that the ingress refuses
        # next are retried at once and must not be routed back here.
        self.publish_state()
        self.ingress.mark_server_lost()

    def dump(self) -> dict:
        """Return the state and the number of losses of the server."""
        return {
            "lost": self.lost,
            "draining": self.draining,
            "leaving": self.leaving,
            "losses": self.losses,
        }
