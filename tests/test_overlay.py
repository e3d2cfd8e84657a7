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


def reach(start, links):
    """Return how many steps it takes from start to each reachable node."""
    steps, border = {start: 0}, [start]
    while border:
        border = [
            steps.setdefault(node, steps[source] + 1) and node
            for source in border
            for node in links[source]
            if node not in steps
        ]
    return steps


def links_of(records):
    return {
        record.node: [other.node for other in neighbours_of(record, records)]
        for record in records
    }


class OverlayTest(TestCase):
    """Guards against nodes that no change reaches."""

    def test_every_node_reaches_every_other(self):
        for count in [*range(1, 40), 97, 250, 500]:
            links = links_of(members(count))
            for start in list(links)[:: max(1, count // 10)]:
                self.assertEqual(count, len(reach(start, links)), count)

    def test_each_failure_domain_is_connected_by_itself(self):
        for count in (5, 23, 60, 500):
            records = members(count)
            links = links_of(records)
            for domain in DOMAINS:
                inside = {
                    record.node
                    for record in records
                    if record.failure_domain == domain
                }
                within = {
                    node: [other for other in links[node] if other in inside]
                    for node in inside
                }
                for start in inside:
                    self.assertEqual(inside, set(reach(start, within)))

    def test_few_neighbours_and_few_hops_at_500_nodes(self):
        links = links_of(members(500))
        self.assertTrue(all(4 < len(found) <= 8 for found in links.values()))
        worst = max(max(reach(start, links).values()) for start in links)
        self.assertLessEqual(worst, 8)

    def test_every_node_is_the_neighbour_of_four_at_least(self):
        links = links_of(members(500))
        probers = dict.fromkeys(links, 0)
        for found in links.values():
            for node in found:
                probers[node] += 1
        self.assertGreaterEqual(min(probers.values()), 4)
