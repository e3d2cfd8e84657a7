"""Whether the node's own backend server takes calls.

The server announces itself, is drained or dies. The watch keeps the state
of the own member record true to that, so that other nodes send calls only
to servers that are there.
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

__all__ = ["BackendWatch", "CHECK_SECONDS"]

CHECK_SECONDS = 1.0
# A connection attempt that times out may only mean a full backlog. So many
# calls in a row without a connection mean that the server is gone.
UNSENT_IN_A_ROW = 3


class BackendWatch(Service):
    """Decides whether the backend server is ready, lost or draining.

    The port of the announced server is tried every CHECK_SECONDS, and at
    once after a call lost its connection. A lost server is taken back when
    its port accepts a connection or when it announces itself; it is then
    cold. A drained one is taken back only by an announcement, and none is
    once the node is leaving.
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
        self.unsent_in_a_row = 0
        self.checking: Deferred | None = None
        self.timer = None
        self.log = Logger("backend-watch")
        ingress.on_outcome = self.note_outcome

    @property
    def draining(self) -> bool:
        """Whether the server or an operator asked for a drain."""
        return self.ingress.draining

    def start(self):
        """Check the port from now on."""
        self.timer = self.clock.callLater(CHECK_SECONDS, self.tick)

    def stop(self):
        """Check no more."""
        timer, self.timer = self.timer, None
        if timer is not None:
            timer.cancel()
        self.checking = None

    def announce(self, announcement: Announcement):
        """Take calls for a server that says that it listens.

        The repetition by a server that is still known keeps its limit.
        """
        if self.leaving:
            return
        self.ingress.draining = False
        if self.lost or announcement != self.ingress.announcement:
            self.begin(announcement)
        self.show()

    def drain(self):
        """Tell all nodes that the server takes no new calls."""
        self.ingress.draining = True
        self.show()

    def leave(self):
        """Drain for good: the node is about to stop."""
        self.leaving = True
        self.drain()

    def begin(self, announcement: Announcement):
        """Use a server that has just started."""
        self.lost = False
        self.unsent_in_a_row = 0
        # The outcome of a check of the earlier server says nothing.
        self.checking = None
        self.ingress.announce(announcement)

    def show(self):
        """Bring the member record up to date."""
        announcement = self.ingress.announcement
        if self.draining or self.lost:
            self.members.update_own_record(state="draining")
        elif announcement is not None:
            self.members.update_own_record(
                service=announcement.service, state="ready"
            )

    def note_outcome(self, answer: Answer):
        """Take the end of a call that was handed to the server."""
        refusal = answer.refusal
        if refusal is None or refusal.code is not RefusalCode.CONNECTION_LOST:
            self.unsent_in_a_row = 0
            return
        if refusal.verdict is Verdict.NOT_RUN:
            self.unsent_in_a_row += 1
        if not self.lost:
            self.check()

    def tick(self):
        """Check the port, now and after CHECK_SECONDS."""
        self.timer = self.clock.callLater(CHECK_SECONDS, self.tick)
        self.check()

    def check(self):
        """Try the port, unless an attempt is under way or none is due."""
        stopped = self.timer is None
        if stopped or self.checking or self.ingress.announcement is None:
            return
        checking = self.checking = self.backend.probe()
        checking.addCallbacks(
            self.accepted,
            self.failed,
            callbackArgs=(checking,),
            errbackArgs=(checking,),
        )

    def accepted(self, _, checking: Deferred):
        """Take a lost server back: its port accepts connections."""
        if self.checking is not checking:
            return
        self.checking = None
        self.unsent_in_a_row = 0
        if self.lost:
            self.log.notice("the backend server accepts connections again")
            self.begin(self.ingress.announcement)
            self.show()

    def failed(self, failure: Failure, checking: Deferred):
        """Give the server up if it is certainly gone."""
        if self.checking is not checking:
            return
        self.checking = None
        refused = failure.check(ConnectionRefusedError) is not None
        if self.lost or not (
            refused or self.unsent_in_a_row >= UNSENT_IN_A_ROW
        ):
            return
        self.lost = True
        self.losses += 1
        self.log.warning(
            "the backend server is gone: {}", failure.getErrorMessage()
        )
        # The record first: the refused calls are retried at once, and not
        # here again.
        self.show()
        self.ingress.lose_server()

    def dump(self) -> dict:
        """Return whether the server is lost and how often it was."""
        return {
            "lost": self.lost,
            "draining": self.draining,
            "leaving": self.leaving,
            "losses": self.losses,
        }
