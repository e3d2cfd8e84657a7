"""Tests of the kernel."""

from testtools import TestCase

from flamingosail.errors import FlamingosailError
from flamingosail.kernel import Kernel
from flamingosail.kernel import Service


class Recorder(Service):
    """Records its start and stop in a shared list."""

    def __init__(self, *, name, events, fails=False):
        self.name = name
        self.events = events
        self.fails = fails

    def start(self):
        self.events.append(f"start {self.name}")

    def stop(self):
        self.events.append(f"stop {self.name}")
        if self.fails:
            raise ValueError(self.name)

    def dump(self):
        if self.fails:
            raise ValueError("no state")
        return {"name": self.name}


class KernelTest(TestCase):
    """Guards the order of start and stop, and dumps of broken services."""

    def setUp(self):
        super().setUp()
        self.events = []
        self.kernel = Kernel()
        self.kernel.add(Recorder(name="a", events=self.events))
        self.kernel.add(Recorder(name="b", events=self.events, fails=True))

    def test_stops_in_reverse_and_reports_all_errors(self):
        self.kernel.start()
        failures = []
        self.kernel.stop().addErrback(failures.append)
        self.assertEqual(
            ["start a", "start b", "stop b", "stop a"], self.events
        )
        self.assertIsInstance(failures[0].value, ExceptionGroup)

    def test_a_failing_dump_does_not_hide_the_other_services(self):
        dump = self.kernel.dump()
        self.assertEqual({"name": "a"}, dump["a"])
        self.assertEqual({"dump_error": "ValueError: no state"}, dump["b"])

    def test_rejects_duplicate_and_unknown_names(self):
        duplicate = Recorder(name="a", events=[])
        self.assertRaises(FlamingosailError, self.kernel.add, duplicate)
        self.assertRaises(FlamingosailError, self.kernel.get, "c")
