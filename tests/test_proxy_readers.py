"""Tests of the selection of the nodes that read the metadata store."""

from itertools import product

from testtools import TestCase

from flamingosail.proxy.policy.readers import is_reader
from flamingosail.proxy.policy.readers import MAX_READERS_PER_DOMAIN
from flamingosail.proxy.policy.readers import ReaderCandidate
from flamingosail.proxy.policy.readers import READERS_PER_DOMAIN

MAX_NODES = 7


def candidates(reaching: tuple[bool, ...]) -> list[ReaderCandidate]:
    """Return nodes of one failure domain; each value says if one reads."""
    return [
        ReaderCandidate(
            address=(f"10.0.0.{number}", 80), reaches_store=reaches_store
        )
        for number, reaches_store in enumerate(reaching)
    ]


def readers(nodes: list[ReaderCandidate]) -> list[ReaderCandidate]:
    """Return the nodes that take themselves for readers."""
    return [
        node
        for node in nodes
        if is_reader(node, [other for other in nodes if other is not node])
    ]


class ReadersTest(TestCase):
    """Every state of up to seven nodes that reach each other."""

    def states(self):
        for count in range(1, MAX_NODES + 1):
            yield from map(candidates, product((False, True), repeat=count))

    def test_there_is_always_a_reader(self):
        for nodes in self.states():
            self.assertIn(nodes[0], readers(nodes))

    def test_two_that_reach_the_store_are_enough(self):
        for nodes in self.states():
            successful = [
                node for node in readers(nodes) if node.reaches_store
            ]
            self.assertLessEqual(len(successful), READERS_PER_DOMAIN)
            first = nodes[:MAX_READERS_PER_DOMAIN]
            possible = sum(node.reaches_store for node in first)
            self.assertEqual(
                min(READERS_PER_DOMAIN, possible), len(successful)
            )

    def test_few_nodes_call_a_store_that_nobody_reaches(self):
        for nodes in self.states():
            self.assertLessEqual(len(readers(nodes)), MAX_READERS_PER_DOMAIN)

    def test_a_node_that_reaches_no_peer_reads(self):
        for reaches_store in (False, True):
            (own,) = candidates((reaches_store,))
            self.assertTrue(is_reader(own, ()))

    def test_each_side_of_a_cut_has_a_reader(self):
        nodes = candidates((True,) * 6)
        for side in (nodes[:3], nodes[3:]):
            self.assertEqual(side[:2], readers(side))
