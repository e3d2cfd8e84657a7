"""Asks the backend server whether it serves, after a restart of its node.

What a server said of its leaving is lost with the process that it told, and
reports that it sent before may arrive later. A report proves that its server
ran when it was sent, so that it is believed in one of two cases: the server
itself has answered this process, or it has run for so long since this process
started that it cannot have left before.
"""

from collections.abc import Callable

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.job import ServerReport
from flamingosail.proxy.transport.backendserver import ServerRequest
from flamingosail.proxy.transport.backendserver import ServerResponse
from flamingosail.proxy.transport.serverpool import ServerPool

__all__ = ["ServerCheck"]

# No report is under way for longer than this.
MAX_REPORT_DELAY_SECONDS = 12.0
# A server has stopped this long after it said that it leaves.
MAX_LEAVING_SECONDS = 30.0
# An answer that takes longer is given up when the next report arrives.
ANSWER_SECONDS = 5.0
# Without a health endpoint, a request without an id is sent to this path. The
# server rejects it without running it.
DEFAULT_PATH = "/"

log = Logger("proxy.servercheck")


class ServerCheck:
    """Checks the reports of a server until one is confirmed.

    ``health_path`` returns the path of a service's health endpoint: empty if
    the service has none, None if that is not known yet. ``on_confirmed`` is
    called with the report of a server that serves and with the response that
    confirmed it, if any, ``on_leaving`` with that of a server whose response
    says that it leaves. ``started_at`` is when the process started, ``report``
    the last report, and ``asked`` the one that the pending ``request`` is for,
    sent at ``asked_at``. ``may_leave`` says that its server has answered as
    one that leaves does.
    """

    def __init__(
        self,
        *,
        clock: IReactorTime,
        pool: ServerPool,
        health_path: Callable[[str], str | None],
        on_confirmed: Callable[[ServerReport, ServerResponse | None], None],
        on_leaving: Callable[[ServerReport], None],
    ):
        self.clock = clock
        self.pool = pool
        self.health_path = health_path
        self.on_confirmed = on_confirmed
        self.on_leaving = on_leaving
        self.started_at = clock.seconds()
        self.report: ServerReport | None = None
        self.request: ServerRequest | None = None
        self.asked: ServerReport | None = None
        self.asked_at = 0.0
        self.may_leave = False

    def check(self, report: ServerReport):
        """Check a report; it replaces the one that is being checked."""
        former, self.report = self.report, report
        if former is not None and former.incarnation != report.incarnation:
            self.may_leave = False
        doubt_seconds = (
            MAX_LEAVING_SECONDS if self.may_leave else MAX_REPORT_DELAY_SECONDS
        )
        if self.clock.seconds() - self.started_at >= doubt_seconds:
            self.confirm(report)
        else:
            self.ask()

    def confirm(
        self, report: ServerReport, response: ServerResponse | None = None
    ):
        """End the check."""
        self.report = None
        if self.request is not None:
            self.request.abandon()
            self.request = None
        self.on_confirmed(report, response)

    def ask(self):
        """Ask the server, if a report waits for its answer.

        A server that answers slowly is not asked again at once: the new
        request would go to the end of its queue.
        """
        report = self.report
        path = report and self.health_path(report.service)
        if path is None:
            return
        now = self.clock.seconds()
        if self.request is not None:
            if (
                self.asked.incarnation == report.incarnation
                and now - self.asked_at < ANSWER_SECONDS
            ):
                return
            self.request.abandon()
        address = str(self.pool.address)
        self.asked, self.asked_at = report, now
        self.request = ServerRequest(
            request_id=b"",
            data=f"GET {path or DEFAULT_PATH} HTTP/1.1\r\n"
            f"Host: {address}\r\n\r\n".encode(),
            idempotent=False,
            is_head=False,
            on_end=lambda request, response, reason: self.answered(
                response, reason
            ),
        )
        self.pool.send(self.request)

    def answered(self, response: ServerResponse | None, reason: str):
        """Confirm the report if the server answered that it serves."""
        self.request = None
        report = self.report
        serves = response is not None and is_serving(report, response)
        log.info(
            "server checked",
            extra={
                "instance": report.instance,
                "serves": serves,
                "status": response and response.status,
                "keep_alive": response and response.keep_alive,
                "cause": reason,
            },
        )
        if serves:
            self.confirm(report, response)
        elif response is not None and is_leaving(report, response):
            self.on_leaving(report)
        elif response is not None and names_instance(report, response):
            self.may_leave = True


def is_serving(report: ServerReport, response: ServerResponse) -> bool:
    """Return whether a response proves that the reported server stays.

    The responses of a server that leaves close their connections. One that
    keeps it open is proof, whatever its status: health endpoints fail for a
    moment, and servers without a free slot reject the check.
    """
    if response.leaving or not names_instance(report, response):
        return False
    return response.status == 200 or response.keep_alive


def is_leaving(report: ServerReport, response: ServerResponse) -> bool:
    """Return whether a response says that the reported server leaves."""
    return response.leaving and names_instance(report, response)


def names_instance(report: ServerReport, response: ServerResponse) -> bool:
    """Return whether a response names no other instance."""
    instance = response.instance
    return instance is None or instance.decode("latin-1") == report.instance
