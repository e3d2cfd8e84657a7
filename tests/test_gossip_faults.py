"""Tests that membership recovers from random combinations of faults."""

from random import Random

from testtools import TestCase

from tests.memberscluster import Cluster


def inject_faults(cluster, random, nodes):
    """Partition, freeze and kill nodes, maybe restart one, heal with loss."""
    separated = random.sample(nodes, random.randint(1, len(nodes) - 1))
    side = {node.address for node in separated}
    cluster.blocked = lambda one, two: (one in side) != (two in side)
    cluster.run(random.choice([3, 6.5, 10, 25, 70]))
    frozen = random.choice(nodes)
    cluster.freeze(frozen)
    cluster.run(random.choice([2, 5, 9]))
    killed = random.choice([node for node in nodes[1:] if node is not frozen])
    cluster.kill(killed)
    if random.random() < 0.5:
        cluster.start(
            nodes.index(killed),
            name=killed.table.own_record.node,
            seeds=[nodes[0].address, frozen.address],
        )
    cluster.run(random.choice([1, 4, 10]))
    cluster.unfreeze(frozen)
    cluster.run(1)
    cluster.loss = random.choice([0, 0.1, 0.2])
    cluster.blocked = lambda one, two: False


class RandomFaultsTest(TestCase):
    """Guards against combined faults that leave tables wrong forever."""

    def test_tables_agree_after_random_faults(self):
        for seed in range(12):
            random = Random(seed)
            cluster = Cluster(seed=seed)
            nodes = cluster.start_many(random.choice([3, 5, 8, 13, 21]))
            self.assertIsNotNone(
                cluster.run_until(cluster.converged, 20), seed
            )
            inject_faults(cluster, random, nodes)
            self.assertIsNotNone(cluster.run_until(cluster.complete, 90), seed)
            cluster.loss = 0.0
            self.assertIsNotNone(
                cluster.run_until(cluster.converged, 60), seed
            )
            cluster.run(15)
            self.assertTrue(cluster.converged(), seed)
