"""The load reports of all nodes, at a price that many nodes can pay.

Answers the pattern of a deployment that grows: if each node sent its report
to each other node, messages would grow with the square of their number. Nodes
of one failure domain exchange their reports; to the others one of them, the
speaker, sends the sums. All nodes then hold the same sums and admit the same
shares of requests.
"""

from collections.abc import Iterable

from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.overload import add_scaled
from flamingosail.proxy.overload import LoadReport

__all__ = ["REPORT_SECONDS", "LoadReports", "merge"]

# The speaker sends sums this often.
REPORT_SECONDS = 1.0
# A report counts until two of its successors are missing.
STALE_SECONDS = 2.5


class LoadReports:
    """The latest reports, without those that are too old to count."""

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.near: dict[str, tuple[float, LoadReport]] = {}
        self.sums: dict[str, dict[str, tuple]] = {}

    def take_report(self, sender: str, report: LoadReport):
        """Take in the report of a node of our failure domain."""
        self.near[sender] = (self.clock.seconds(), report)

    def take_sum(
        self,
        failure_domain: str,
        sender: str,
        nodes: int,
        reports: list[LoadReport],
    ):
        """Take in the sum that the speaker of another domain sent."""
        senders = self.sums.setdefault(failure_domain, {})
        senders[sender] = (self.clock.seconds(), nodes, reports)

    def near_reports(self) -> list[LoadReport]:
        """Return the reports of our failure domain but for our own."""
        self.near = self.fresh(self.near)
        return [report for _, report in self.near.values()]

    def all(self, own: LoadReport) -> list[LoadReport]:
        """Return reports that together cover all nodes once."""
        reports = [own, *self.near_reports()]
        for failure_domain, senders in self.sums.items():
            senders = self.sums[failure_domain] = self.fresh(senders)
            if senders:
                # A node that is cut off from its neighbours takes itself for
                # the speaker; the sum over more nodes is the better one.
                reports += max(senders.values(), key=lambda sent: sent[1])[2]
        return reports

    def fresh(self, received: dict[str, tuple]) -> dict[str, tuple]:
        """Return the entries that still count."""
        oldest = self.clock.seconds() - STALE_SECONDS
        return {
            sender: entry
            for sender, entry in received.items()
            if entry[0] >= oldest
        }


def merge(reports: Iterable[LoadReport]) -> list[LoadReport]:
    """Return one report for each service, the sum of those given."""
    sums: dict[str, LoadReport] = {}
    for report in reports:
        total = sums.get(report.service)
        if total is None:
            total = sums[report.service] = LoadReport(
                report.service, 0, 0, {}, {}, {}, {}, {}, {}
            )
        total.capacity += report.capacity
        # Only what waits at a server that counts says that it is full.
        total.waiting += report.waiting if report.capacity else 0
        add_scaled(total.offered, report.offered)
        add_scaled(total.admitted, report.admitted)
        add_scaled(total.ended, report.ended)
        add_scaled(total.completed, report.completed)
        if report.capacity:
            add_scaled(total.usage, report.usage)
            add_scaled(total.calls, report.calls)
    return list(sums.values())
