"""A client's request on its way, and its offers to servers."""

from flamingosail.proxy.exchange import Exchange
from flamingosail.proxy.gate import CHILD_CALL_FAILED
from flamingosail.proxy.hop import Outcome
from flamingosail.proxy.job import Job
from flamingosail.proxy.routes import Route
from flamingosail.proxy.servers import RemoteServer

__all__ = ["Attempt", "Forwarding"]


class Forwarding:
    """A client's request on its way.

    ``tried`` holds the servers that were offered the request, ``shed`` those
    that rejected it themselves, and ``runs`` how many may have run it.
    ``origin``, ``rank`` and ``repeat`` are the ``root_route``, ``rank`` and
    ``is_retry`` of ``hop.Call``; ``begins``
    says that it is not a call of ``parent``, a request at our server, and
    ``answer`` is the failure that a server answered last.
    """

    __slots__ = (
        "exchange",
        "route",
        "service",
        "deadline",
        "tried",
        "shed",
        "runs",
        "attempt",
        "over",
        "line",
        "head",
        "origin",
        "rank",
        "repeat",
        "begins",
        "parent",
        "answer",
    )

    def __init__(self, *, exchange: Exchange, route: Route, service: str):
        self.exchange = exchange
        self.route = route
        self.service = service
        self.deadline = 0.0
        self.tried: list[RemoteServer] = []
        self.shed: list[RemoteServer] = []
        self.runs = 0
        self.attempt = None
        self.over = False
        self.line = b""
        self.head = b""
        self.origin = 0
        self.rank = 0
        self.repeat = False
        self.begins = False
        self.parent: Job | None = None
        self.answer = None


class Attempt:
    """One offer of a request to one server."""

    __slots__ = ("forwarder", "work", "server", "stream", "connection")

    def __init__(self, *, forwarder, work: Forwarding, server: RemoteServer):
        self.forwarder = forwarder
        self.work = work
        self.server = server
        self.stream = 0
        self.connection = None

    def ended(self, outcome, status, proof, head, body, reason):
        """Take in the end of the attempt."""
        self.server.calls_in_flight -= 1
        if outcome == Outcome.ANSWERED:
            # A failure whose cause lies deeper says nothing of this server;
            # counted, it would send requests to other failure domains.
            self.server.record_outcome(
                status >= 500 and reason != CHILD_CALL_FAILED
            )
        elif outcome != Outcome.REFUSED:
            self.server.record_outcome(True)
        work = self.work
        if work.attempt is self:
            work.attempt = None
            self.forwarder.attempt_ended(
                work, self.server, outcome, status, proof, head, body, reason
            )
