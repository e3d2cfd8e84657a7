"""Tests of the log lines."""

import json
from io import StringIO

from logbook import Logger
from testtools import TestCase
from twisted.logger import Logger as TwistedLogger
from twisted.logger import LogPublisher

from flamingosail.logs import JsonLinesHandler
from flamingosail.logs import TwistedObserver


class JsonLinesTest(TestCase):
    """Guards against log lines that are lost or not valid JSON."""

    def setUp(self):
        super().setUp()
        self.stream = StringIO()
        self.log = Logger("egress")

    def lines(self) -> list[dict]:
        text = self.stream.getvalue()
        return [json.loads(line) for line in text.splitlines()]

    def handler(self, **options) -> JsonLinesHandler:
        return JsonLinesHandler(stream=self.stream, **options)

    def test_writes_one_object_per_line_with_extra_fields(self):
        with self.handler(fields={"incarnation": "n1~a"}):
            self.log.warning(
                "answer\nof {} dropped", "n2", extra={"root": "r1"}
            )
            self.log.info("next")
        first, second = self.lines()
        self.assertRegex(
            first.pop("time"), r"^\d{4}-\d\d-\d\dT[\d:]{8}\.\d{3}Z$"
        )
        self.assertEqual(
            {
                "level": "warning",
                "channel": "egress",
                "message": "answer\nof n2 dropped",
                "incarnation": "n1~a",
                "root": "r1",
            },
            first,
        )
        self.assertEqual("next", second["message"])

    def test_omits_records_below_the_level(self):
        with self.handler():
            self.log.debug("call sent")
        self.assertEqual([], self.lines())

    def test_keeps_standard_fields_and_values_that_are_not_json(self):
        with self.handler():
            self.log.error("x", extra={"level": "fake", "body": b"\xff"})
        (line,) = self.lines()
        self.assertEqual("error", line["level"])
        self.assertEqual("fake", line["extra_level"])
        self.assertEqual(str(b"\xff"), line["body"])

    def test_writes_the_traceback_of_an_exception(self):
        with self.handler():
            try:
                raise ValueError("broken")
            except ValueError:
                self.log.exception("failed")
        (line,) = self.lines()
        self.assertIn("ValueError: broken", line["error"])

    def test_forwards_unhandled_errors_of_twisted(self):
        log = TwistedLogger(observer=LogPublisher(TwistedObserver()))
        with self.handler():
            log.info("not passed on")
            log.warn("slow {what}", what="poll")
            try:
                raise ValueError("{broken}")
            except ValueError:
                log.failure("Unhandled error in Deferred")
        warning, error = self.lines()
        self.assertEqual("slow poll", warning["message"])
        self.assertEqual("Unhandled error in Deferred", error["message"])
        self.assertIn("ValueError: {broken}", error["failure"])
