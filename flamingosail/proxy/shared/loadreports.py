"""Exchange of load reports that scales with the number of nodes.

If each node sent its report to every other node, the number of messages would
grow with the square of the number of nodes. Nodes of one failure domain
exchange their reports directly. One of them, the aggregator, sends their
aggregate (one report per service) to the other domains. All nodes then
know the same totals and admit the same shares of requests.
"""

from collections.abc import Iterable

from twisted.internet.interfaces import IReactorTime

from flamingosail.proxy.policy.overload import add_scaled
from flamingosail.proxy.policy.overload import largest
from flamingosail.proxy.policy.overload import LoadReport

__all__ = ["AGGREGATE_INTERVAL_SECONDS", "LoadReports", "aggregate_by_service"]

# Interval at which the aggregator sends the aggregate.
AGGREGATE_INTERVAL_SECONDS = 1.0
# Reports and aggregates are sent at least once a second. They expire when the
# next two of their sender are missing.
REPORT_TTL_SECONDS = 2.5


class LoadReports:
    """The latest reports and aggregates that have not expired.

    ``own_domain`` holds the reports of our failure domain by sender, as
    ``(received_at, report)``. ``aggregates`` holds, by failure domain and
    sender, ``(received_at, node_count, reports)``. A domain has several
    senders while some of its nodes are cut off from each other.
    """

    def __init__(self, *, clock: IReactorTime):
        self.clock = clock
        self.own_domain: dict[str, tuple[float, LoadReport]] = {}
        self.aggregates: dict[
            str, dict[str, tuple[float, int, list[LoadReport]]]
        ] = {}

    def add_report(self, sender: str, report: LoadReport):
        """Store the report of a node of our failure domain."""
        self.own_domain[sender] = (self.clock.seconds(), report)

    def add_aggregate(
        self,
        failure_domain: str,
        sender: str,
        node_count: int,
        reports: list[LoadReport],
    ):
        """Store the aggregate of another domain over ``node_count`` nodes."""
        senders = self.aggregates.setdefault(failure_domain, {})
        senders[sender] = (self.clock.seconds(), node_count, reports)

    def domain_reports(self) -> list[LoadReport]:
        """Return the reports of the other nodes of our failure domain."""
        self.own_domain = self.unexpired(self.own_domain)
        return [report for _, report in self.own_domain.values()]

    def all_reports(self, own: LoadReport) -> list[LoadReport]:
        """Return reports that together cover each node once."""
        reports = [own, *self.domain_reports()]
        for failure_domain, senders in self.aggregates.items():
            senders = self.aggregates[failure_domain] = self.unexpired(senders)
            if senders:
                # A node that is cut off from its failure domain also acts as
                # aggregator; the aggregate over the most nodes is used.
                reports += max(senders.values(), key=lambda entry: entry[1])[2]
        return reports

    def unexpired(self, received: dict[str, tuple]) -> dict[str, tuple]:
        """Return the received entries that have not expired."""
        cutoff = self.clock.seconds() - REPORT_TTL_SECONDS
        return {
            sender: entry
            for sender, entry in received.items()
            if entry[0] >= cutoff
        }


def aggregate_by_service(reports: Iterable[LoadReport]) -> list[LoadReport]:
    """Return one report for each service, the sum of its reports."""
    totals: dict[str, LoadReport] = {}
    for report in reports:
        total = totals.get(report.service)
        if total is None:
            total = totals[report.service] = LoadReport(
                report.service, 0, 0, {}, {}, {}, {}, {}, {}, 0, 0, {}
            )
        total.capacity += report.capacity
        # Requests queued at a server without capacity do not count as
        # backlog of the service.
        total.waiting += report.waiting if report.capacity else 0
        add_scaled(total.offered, report.offered)
        add_scaled(total.admitted, report.admitted)
        add_scaled(total.ended, report.ended)
        add_scaled(total.completed, report.completed)
        for key, rates in report.accounts.items():
            add_scaled(total.accounts.setdefault(key, {}), rates)
        if report.capacity:
            total.arrivals += report.arrivals
            total.rejected += report.rejected
            add_scaled(total.usage, report.usage)
            add_scaled(total.calls, report.calls)
    for total in totals.values():
        for key, rates in total.accounts.items():
            total.accounts[key] = largest(rates)
    return list(totals.values())
