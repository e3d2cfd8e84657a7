"""Asks the backend server whether it serves, after a restart of its node.

What a server said of its leaving is lost with the process that it told. A
report that was delayed would make such a server look ready to the next
process. Its health endpoint answers for the present; a server whose endpoint
does not is used once it reports again.
"""

from collections.abc import Callable

from logbook import Logger
from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.job import ServerReport
from flamingosail.proxy.transport.backendserver import ServerRequest
from flamingosail.proxy.transport.backendserver import ServerResponse
from flamingosail.proxy.transport.serverpool import ServerPool

__all__ = ["ServerCheck"]

# Reports that were held up by the network arrive together. A later report that
# arrives at least this long after the first was sent by a living server.
LATER_REPORT_SECONDS = 1.0

log = Logger("proxy.servercheck")


class ServerCheck:
    """Checks the reports of a server until one is confirmed.

    ``health_path`` returns the path of a service's health endpoint: empty if
    the service has none, None if that is not known yet. ``on_confirmed`` is
    called with the report of a server that serves and with the response that
    confirmed it, if any, ``on_leaving`` with that of a server whose response
    says that it leaves. ``first_order`` is the start and sequence of the first
    report, ``first_at`` its arrival.
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
        self.report: ServerReport | None = None
        self.request: ServerRequest | None = None
        self.first_order: tuple[int, int] | None = None
        self.first_at = 0.0

    def check(self, report: ServerReport):
        """Check a report; it replaces the one that is being checked."""
        order = (report.start_ms, report.sequence)
        now = self.clock.seconds()
        if self.first_order is None:
            self.first_order, self.first_at = order, now
        self.report = report
        if (
            order > self.first_order
            and now - self.first_at >= LATER_REPORT_SECONDS
        ):
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
        """Ask the server, if a report waits for its answer."""
        report = self.report
        path = report and self.health_path(report.service)
        if path is None:
            return
        if not path:
            self.confirm(report)
            return
        if self.request is not None:
            self.request.abandon()
        address = str(self.pool.address)
        self.request = ServerRequest(
            request_id=b"",
            data=f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode(),
            idempotent=False,
            is_head=False,
            on_end=lambda request, response, reason: self.answered(
                report, response, reason
            ),
        )
        self.pool.send(self.request)

    def answered(
        self,
        report: ServerReport,
        response: ServerResponse | None,
        reason: str,
    ):
        """Confirm the report if the server answered that it serves."""
        self.request = None
        serves = response is not None and is_serving(report, response)
        log.info(
            "server checked",
            extra={
                "instance": report.instance,
                "serves": serves,
                "status": response and response.status,
                "cause": reason,
            },
        )
        if serves:
            self.confirm(report, response)
        elif response is not None and is_leaving(report, response):
            self.on_leaving(report)


def is_serving(report: ServerReport, response: ServerResponse) -> bool:
    """Return whether a response of the health endpoint confirms a report.

    A server without a free slot rejects the check like any other request; it
    is serving.
    """
    if response.leaving:
        return False
    return response.not_executed or (
        response.status == 200 and names_instance(report, response)
    )


def is_leaving(report: ServerReport, response: ServerResponse) -> bool:
    """Return whether a response says that the reported server leaves."""
    return response.leaving and names_instance(report, response)


def names_instance(report: ServerReport, response: ServerResponse) -> bool:
    """Return whether a response names no other instance."""
    instance = response.instance
    return instance is None or instance.decode("latin-1") == report.instance
