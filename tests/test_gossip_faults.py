"""Random combinations of faults that membership must recover from."""

from random import Random

from testtools import TestCase

from tests.memberscluster import Cluster


def disturb(cluster, random, nodes):
    """Partition, freeze, kill and perhaps restart, then heal with loss."""
    some = random.sample(nodes, random.randint(1, len(nodes) - 1))
    side = {node.address for node in some}
    cluster.cut = lambda one, two: (one in side) != (two in side)
    cluster.run(random.choice([3, 6.5, 10, 25, 70]))
    frozen = random.choice(nodes)
    cluster.freeze(frozen)
    cluster.run(random.choice([2, 5, 9]))
    killed = random.choice([node for node in nodes[1:] if node is not frozen])
    cluster.kill(killed)
    if random.random() < 0.5:
        cluster.start(
            nodes.index(killed),
            name=killed.table.own.node,
            seeds=[nodes[0].address, frozen.address],
        )
    cluster.run(random.choice([1, 4, 10]))
    cluster.wake(frozen)
    cluster.run(1)
    cluster.loss = random.choice([0, 0.1, 0.2])
    cluster.cut = lambda one, two: False


class RandomFaultsTest(TestCase):
    """Guards against combined faults that leave tables wrong for good."""

    def test_tables_agree_after_random_faults(self):
        for seed in range(12):
            random = Random(seed)
            cluster = Cluster(seed=seed)
            nodes = cluster.start_many(random.choice([3, 5, 8, 13, 21]))
            self.assertIsNotNone(cluster.run_until(cluster.agreed, 20), seed)
            disturb(cluster, random, nodes)
            self.assertIsNotNone(cluster.run_until(cluster.complete, 90), seed)
            cluster.loss = 0.0
            self.assertIsNotNone(cluster.run_until(cluster.agreed, 60), seed)
            cluster.run(15)
            self.assertTrue(cluster.agreed(), seed)
