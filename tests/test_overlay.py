"""Tests of the choice of neighbours."""

from testtools import TestCase

from flamingosail.messages import MemberRecord
from flamingosail.overlay import neighbours_of

DOMAINS = ("n", "s", "h", "a", "b")


def members(count):
    return [
        MemberRecord(
            node=f"vm-{index}",
            incarnation=f"vm-{index}~1",
            version=1,
            address=f"10.0.0.1:{index}",
            failure_domain=DOMAINS[index % len(DOMAINS)],
            region="r",
            service="s",
            state="ready",
        )
        for index in range(count)
    ]


def hops_from(start, links):
    """Return the number of hops from ``start`` to each reachable node."""
    hops, frontier = {start: 0}, [start]
    while frontier:
        frontier = [
            hops.setdefault(node, hops[source] + 1) and node
            for source in frontier
            for node in links[source]
            if node not in hops
        ]
    return hops


def links_of(records):
    return {
        record.node: [other.node for other in neighbours_of(record, records)]
        for record in records
    }


class OverlayTest(TestCase):
    """Guards against nodes that floods do not reach."""

    def test_every_node_reaches_every_other(self):
        for count in [*range(1, 40), 97, 250, 500]:
            links = links_of(members(count))
            for start in list(links)[:: max(1, count // 10)]:
                self.assertEqual(count, len(hops_from(start, links)), count)

    def test_each_failure_domain_is_connected_by_itself(self):
        for count in (5, 23, 60, 500):
            records = members(count)
            links = links_of(records)
            for domain in DOMAINS:
                domain_nodes = {
                    record.node
                    for record in records
                    if record.failure_domain == domain
                }
                domain_links = {
                    node: [
                        other for other in links[node] if other in domain_nodes
                    ]
                    for node in domain_nodes
                }
                for start in domain_nodes:
                    self.assertEqual(
                        domain_nodes, set(hops_from(start, domain_links))
                    )

    def test_few_neighbours_and_few_hops_at_500_nodes(self):
        links = links_of(members(500))
        self.assertTrue(all(4 < len(found) <= 8 for found in links.values()))
        worst = max(max(hops_from(start, links).values()) for start in links)
        self.assertLessEqual(worst, 8)

    def test_every_node_is_the_neighbour_of_four_at_least(self):
        links = links_of(members(500))
        prober_counts = dict.fromkeys(links, 0)
        for found in links.values():
            for node in found:
                prober_counts[node] += 1
        self.assertGreaterEqual(min(prober_counts.values()), 4)
