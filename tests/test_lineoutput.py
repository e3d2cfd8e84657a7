"""Tests of the output stream that never blocks."""

import fcntl
import os
from contextlib import suppress

from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.lineoutput import LineOutput

F_SETPIPE_SZ = 1031
LINE = "x" * 999 + "\n"


class LineOutputTest(TestCase):
    """Guards against a stopped reader that blocks or ends the node."""

    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        fcntl.fcntl(self.writer, F_SETPIPE_SZ, 4096)
        os.set_blocking(self.reader, False)
        self.clock = Clock()
        self.output = LineOutput(
            descriptor=self.writer, clock=self.clock, max_buffered_bytes=5000
        )

    def test_a_full_pipe_does_not_block_and_drops_are_counted(self):
        for _ in range(50):
            self.output.write(LINE)
        self.assertGreater(self.output.dropped, 30)
        self.assertLessEqual(self.output.buffered_bytes, 5000)

    def test_whole_lines_and_the_drop_count_follow_once_it_is_read(self):
        for _ in range(50):
            self.output.write(LINE)
        text = b""
        for _ in range(10):
            with suppress(BlockingIOError):
                text += os.read(self.reader, 65536)
            self.clock.advance(0.2)
        lines = text.decode().splitlines()
        self.assertIn('"count"', lines[-1])
        self.assertEqual({LINE[:-1]}, set(lines[:-1]))
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_a_closed_pipe_does_not_end_the_node(self):
        reader, writer = os.pipe()
        output = LineOutput(descriptor=writer, clock=self.clock)
        os.close(reader)
        output.write(LINE)
        os.close(writer)
        self.assertEqual(1, output.dropped)
