"""A short seeded run of the fault soak; long ones are run by hand."""

from testtools import TestCase

from experiments.platformsoak import FAULT_KINDS
from experiments.platformsoak import run_soak

# 3 has not failed. 19 failed once: SIGTERM while the interpreter started
# ended the node with -15.
SEEDS = (3, 19)
SECONDS = 6.0
# The faults for which these seeds were found.
FIRST_KINDS = FAULT_KINDS[:7]
# Long enough for a limit that is stated early to be checked.
TERMS_SEED = 5
TERMS_SECONDS = 12.0
# On the code before the fix, it left the nodes at version 6 of 7.
RESTORE_SEED = 8
RESTORE_SECONDS = 10.0
RESTORE_KINDS = (
    "restore_store",
    "kill_node",
    "inject_link_fault",
    "change_configuration",
)
DEADLY_SEED = 3
DEADLY_SECONDS = 10.0
DEADLY_KINDS = (
    "send_deadly_requests",
    "kill_node",
    "inject_link_fault",
    "stop_node",
)
SILENCE_SEED = 4
SILENCE_SECONDS = 10.0
SILENCE_KINDS = (
    "silence_connections",
    "hold_polls",
    "change_configuration",
    "pause_node",
    "kill_node",
)
TERMS_KINDS = ("limit_server", "limit_server", "remove_server", "kill_node")


class SoakTest(TestCase):
    """The documented guarantees must hold under overlapping faults."""

    def test_no_guarantee_is_violated(self):
        for seed in SEEDS:
            report, folder = run_soak(
                seed=seed, seconds=SECONDS, kinds=FIRST_KINDS
            )
            self.assertEqual([], report.violations, f"seed {seed}: {folder}")
            self.assertGreater(report.statuses[200], 100)

    def test_a_restored_store_leaves_no_node_behind(self):
        """Guards against configurations that are missed after a restore."""
        report, folder = run_soak(
            seed=RESTORE_SEED, seconds=RESTORE_SECONDS, kinds=RESTORE_KINDS
        )
        self.assertEqual([], report.violations, folder)
        kinds = {fault.split()[0] for fault in report.faults}
        self.assertLessEqual({"restore", "configuration"}, kinds)

    def test_a_request_crashes_few_servers(self):
        """Guards against a request that ends server after server."""
        report, folder = run_soak(
            seed=DEADLY_SEED, seconds=DEADLY_SECONDS, kinds=DEADLY_KINDS
        )
        self.assertEqual([], report.violations, folder)
        self.assertIn("deadly", report.faults)

    def test_silent_connections_hold_up_no_configuration(self):
        """Guards against nodes left behind by a poll that nothing ends."""
        report, folder = run_soak(
            seed=SILENCE_SEED, seconds=SILENCE_SECONDS, kinds=SILENCE_KINDS
        )
        self.assertEqual([], report.violations, folder)
        kinds = {fault.split()[0] for fault in report.faults}
        self.assertLessEqual({"silence", "hold", "configuration"}, kinds)

    def test_servers_get_what_they_state_to_take(self):
        """Guards against servers overloaded in spite of a stated limit."""
        report, folder = run_soak(
            seed=TERMS_SEED, seconds=TERMS_SECONDS, kinds=TERMS_KINDS
        )
        self.assertEqual([], report.violations, folder)
        kinds = {fault.split()[0] for fault in report.faults}
        self.assertLessEqual({"limit", "leave"}, kinds)
