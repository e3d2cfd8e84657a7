"""A short seeded run of the fault soak; long ones are run by hand."""

from testtools import TestCase

from experiments.platformsoak import run_soak

# 3 has not failed. 19 failed once: SIGTERM while the interpreter started
# ended the node with -15.
SEEDS = (3, 19)
SECONDS = 6.0


class SoakTest(TestCase):
    """The documented guarantees must hold under overlapping faults."""

    def test_no_guarantee_is_violated(self):
        for seed in SEEDS:
            report, folder = run_soak(seed=seed, seconds=SECONDS)
            self.assertEqual([], report.violations, f"seed {seed}: {folder}")
            self.assertGreater(report.statuses[200], 100)
