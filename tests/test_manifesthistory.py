"""Tests of accepting manifest records in the log."""

import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.manifest import parse_manifest
from flamingosail.manifesthistory import encode_record
from flamingosail.manifesthistory import ManifestHistory
from flamingosail.manifesthistory import MAX_OUTCOMES
from flamingosail.manifesthistory import Outcome
from flamingosail.manifesthistory import OutcomeState
from flamingosail.manifesthistory import Publication
from flamingosail.manifesthistory import RetentionCopy
from standins.memorylog import MemoryLog

STREAM = "manifest"


def body_of(number: int) -> bytes:
    """Return a valid manifest body that differs for each number."""
    document = {"services": {f"service-{number}": {}}, "kinds": {}}
    return json.dumps(document).encode()


class Log:
    """A manifest stream in memory, with shorthands for writing records."""

    def __init__(self):
        self.log = MemoryLog(clock=Clock())

    def publish(self, name, base, body=None) -> int:
        record = Publication(
            publication_id=name,
            base=base,
            body=body_of(len(name)) if body is None else body,
        )
        return self.write(encode_record(record))

    def write_copy(self, version, as_of, body=None) -> int:
        if body is None:
            body = body_of(1)
        return self.write(
            encode_record(
                RetentionCopy(version=version, as_of=as_of, body=body)
            )
        )

    def write(self, data) -> int:
        return self.log._store(STREAM, data)

    def trim(self, first):
        self.log.trim(STREAM, first)

    def read(self, history=None, *, limit=3) -> ManifestHistory:
        """Read pages of ``limit`` records to the end; return the history."""
        history = history or ManifestHistory()
        while True:
            page = self.log.page(STREAM, history.next_offset, limit)
            if not history.apply(page) or history.next_offset >= page.end:
                return history


class AcceptanceTest(TestCase):
    """Guards against readers that accept different manifests."""

    def test_accepts_the_first_publication_on_the_accepted_base(self):
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.publish("c", 0)
        history = log.read()
        self.assertEqual(1, history.accepted_version)
        self.assertEqual(
            Outcome(state=OutcomeState.ACCEPTED, version=1),
            history.outcome("b"),
        )
        refused = history.outcome("c")
        self.assertEqual(OutcomeState.REFUSED, refused.state)
        self.assertIn("base 0 is superseded", refused.reason)
        self.assertEqual(OutcomeState.NOT_SEEN, history.outcome("other").state)

    def test_an_invalid_body_changes_nothing(self):
        log = Log()
        log.publish("a", -1)
        log.publish("bad", 0, b'{"services": 1, "kinds": 2}')
        log.publish("c", 0)
        history = log.read()
        self.assertEqual(2, history.accepted_version)
        self.assertEqual(
            "invalid: services: must be an object; kinds: must be an object",
            history.outcome("bad").reason,
        )

    def test_skips_malformed_records(self):
        log = Log()
        log.write(b"")
        log.write(b"\x91" * 100_000)
        log.publish("a", -1)
        history = log.read()
        self.assertEqual(2, history.accepted_version)
        self.assertEqual(2, history.malformed_count)

    def test_a_repeated_publication_stays_accepted(self):
        log = Log()
        log.publish("a", -1)
        log.publish("a", -1)
        self.assertEqual(OutcomeState.ACCEPTED, log.read().outcome("a").state)

    def test_a_base_that_does_not_exist_yet_is_refused(self):
        log = Log()
        log.publish("a", 1)
        log.publish("b", -1)
        history = log.read()
        self.assertEqual(1, history.accepted_version)
        self.assertEqual(OutcomeState.REFUSED, history.outcome("a").state)

    def test_limits_reasons_and_outcomes_in_memory(self):
        log = Log()
        bad = {"services": {f"s{n}": 1 for n in range(5000)}, "kinds": {}}
        log.publish("bad", -1, json.dumps(bad).encode())
        history = log.read()
        self.assertTrue(history.outcome("bad").reason.endswith("; 4980 more"))
        for number in range(MAX_OUTCOMES):
            log.publish(f"p{number}", 99)
        log.read(history, limit=1000)
        self.assertEqual(MAX_OUTCOMES, len(history.outcomes))


class CopyTest(TestCase):
    """Guards against accepting a wrong version on a trimmed log."""

    def test_a_copy_does_not_change_a_known_version(self):
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.write_copy(0, 1)
        log.write_copy(1, 2)
        log.write_copy(1, 2)
        self.assertEqual(1, log.read().accepted_version)

    def test_a_trimmed_log_without_a_copy_gives_no_manifest(self):
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.publish("c", 1)
        log.trim(1)
        history = log.read()
        self.assertIsNone(history.accepted_version)
        self.assertIsNone(history.latest)

    def test_applies_the_records_after_as_of(self):
        # b and c were appended after as_of but before the copy itself.
        log = Log()
        log.publish("a", -1)
        log.write(b"")
        log.publish("b", 0)
        log.publish("c", 2)
        log.write_copy(0, 2, body_of(1))
        log.trim(2)
        history = log.read()
        self.assertEqual(3, history.accepted_version)
        self.assertEqual(3, history.latest.version)
        self.assertEqual(OutcomeState.ACCEPTED, history.outcome("c").state)

    def test_ignores_a_stale_copy_of_a_frozen_writer(self):
        # The writer read the records before offset 1 and froze. b was then
        # accepted, and is trimmed. c has base a, so all readers refused it.
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.publish("c", 0)
        log.write_copy(0, 1)
        log.trim(2)
        history = log.read()
        self.assertIsNone(history.accepted_version)
        log.write_copy(1, 4, body_of(1))
        self.assertEqual(1, log.read(history).accepted_version)

    def test_ignores_inconsistent_copies(self):
        log = Log()
        for _ in range(3):
            log.write(b"")
        log.trim(2)
        log.write_copy(2, 9)
        log.write_copy(5, 3)
        log.write_copy(-2, 3)
        log.write_copy(1, 3, b"not a manifest")
        history = log.read()
        self.assertIsNone(history.accepted_version)
        self.assertEqual(5, history.malformed_count)

    def test_accepts_the_first_manifest_after_a_copy_without_one(self):
        # Only a refused publication preceded the copy, and it is trimmed.
        log = Log()
        log.publish("bad", -1, b"x")
        log.write_copy(-1, 1, b"")
        log.publish("a", -1)
        log.trim(1)
        self.assertEqual(2, log.read().accepted_version)

    def test_makes_a_copy_only_if_the_version_is_known(self):
        log = Log()
        self.assertIsNone(log.read().make_copy())
        log.publish("a", -1, body_of(5))
        log.write(b"")
        self.assertEqual(
            RetentionCopy(version=0, as_of=2, body=body_of(5)),
            log.read().make_copy(),
        )
        log.trim(1)
        self.assertIsNone(log.read().make_copy())


class GapTest(TestCase):
    """Guards against ignoring that records were trimmed unread."""

    def test_a_reader_that_missed_records_waits_for_a_copy(self):
        log = Log()
        log.publish("a", -1)
        history = log.read()
        log.publish("b", 0)
        log.publish("c", 0)
        log.trim(2)
        log.read(history)
        self.assertIsNone(history.accepted_version)
        self.assertEqual(0, history.latest.version)
        log.write_copy(1, 3)
        log.read(history)
        self.assertEqual(1, history.accepted_version)
        self.assertEqual(1, history.latest.version)

    def test_continues_from_the_manifest_of_a_peer(self):
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.publish("c", 1)
        log.trim(2)
        history = log.read()
        history.record_manifest(parse_manifest(body_of(1), version=0))
        self.assertIsNone(history.accepted_version)
        history.record_manifest(parse_manifest(body_of(1), version=1))
        self.assertEqual(2, log.read(history).accepted_version)

    def test_does_not_continue_from_a_peer_manifest_before_a_gap(self):
        log = Log()
        for name, base in (("a", -1), ("b", 0), ("c", 0)):
            log.publish(name, base)
        log.trim(2)
        history = ManifestHistory()
        history.record_manifest(parse_manifest(body_of(1), version=0))
        self.assertIsNone(log.read(history).accepted_version)

    def test_ignores_late_and_repeated_pages(self):
        log = Log()
        log.publish("a", -1)
        early = log.log.page(STREAM, 0, 10)
        log.publish("b", 0)
        ahead = log.log.page(STREAM, 1, 10)
        history = ManifestHistory()
        self.assertFalse(history.apply(ahead))
        log.read(history)
        self.assertFalse(history.apply(early))
        self.assertEqual(1, history.accepted_version)


WRITES = strategies.sampled_from(
    ["publish", "publish", "race", "race", "invalid", "copy", "stale"]
)


class AgreementTest(TestCase):
    """Guards against readers that disagree after missing records.

    The model is a reader that reads every record right after its append.
    """

    def setUp(self):
        super().setUp()
        self.reset()

    def reset(self):
        """Clear the state; hypothesis runs each test repeatedly."""
        self.log, self.model = Log(), ManifestHistory()
        self.bodies: dict[int, bytes] = {}
        self.copies: list[RetentionCopy] = []

    @settings(max_examples=150)
    @given(
        strategies.lists(WRITES, min_size=3, max_size=15),
        strategies.randoms(use_true_random=False),
    )
    def test_readers_of_a_trimmed_log_agree(self, writes, random):
        """New readers start at every trim point, with two page sizes."""
        self.reset()
        for step, write in enumerate(writes):
            self.write(random, write, step)
        end = self.log.log.page(STREAM, 0, 0).end
        for first in range(end):
            self.log.trim(first)
            for limit in (1, 3):
                self.check(self.log.read(limit=limit), complete=True)

    @settings(max_examples=150)
    @given(
        strategies.lists(WRITES, min_size=1, max_size=25),
        strategies.randoms(use_true_random=False),
    )
    def test_readers_that_fall_behind_never_go_back(self, writes, random):
        """Readers read random numbers of pages of any size between trims."""
        self.reset()
        readers = [ManifestHistory() for _ in range(4)]
        for step, write in enumerate(writes):
            self.write(random, write, step)
            if random.random() < 0.3:
                end = self.log.log.page(STREAM, 0, 0).end
                self.log.trim(random.randint(0, end))
            for reader in readers:
                before = reader.latest.version if reader.latest else -1
                self.advance(random, reader)
                self.check(reader, complete=False)
                after = reader.latest.version if reader.latest else -1
                self.assertGreaterEqual(after, before)

    def write(self, random, action, step):
        """Append at most one record and let the model read it."""
        model = self.model
        if action == "publish":
            self.log.publish(f"p{step}", model.accepted_version, body_of(step))
        elif action == "race":
            base = random.randint(-1, model.accepted_version + 2)
            if self.bodies and random.random() < 0.5:
                base = random.choice(sorted(self.bodies))
            self.log.publish(f"p{step}", base, body_of(step))
        elif action == "invalid":
            self.log.publish(f"p{step}", model.accepted_version, b"{}")
        elif action == "copy" and model.make_copy():
            self.log.write(encode_record(model.make_copy()))
        elif action == "stale" and self.copies:
            self.log.write(encode_record(random.choice(self.copies)))
        self.log.read(model)
        if model.make_copy():
            self.copies.append(model.make_copy())
        if model.latest:
            self.bodies[model.latest.version] = model.latest.body

    def advance(self, random, reader):
        """Read 0 to 4 pages, at times after receiving a peer's manifest."""
        if self.model.latest and random.random() < 0.1:
            reader.record_manifest(self.model.latest)
        for _ in range(random.randint(0, 4)):
            limit = random.randint(1, 4)
            reader.apply(self.log.log.page(STREAM, reader.next_offset, limit))

    def check(self, reader, *, complete):
        """Compare a reader with the model.

        A ``complete`` reader must also have the same accepted version.
        """
        for publication_id, outcome in reader.outcomes.items():
            self.assertEqual(self.model.outcome(publication_id), outcome)
        if reader.latest is not None:
            body = self.bodies.get(reader.latest.version)
            self.assertEqual(body, reader.latest.body)
        if reader.accepted_version is None:
            return
        if complete:
            self.assertEqual(
                self.model.accepted_version, reader.accepted_version
            )
        if reader.accepted_version >= 0:
            body = self.bodies.get(reader.accepted_version)
            self.assertEqual(body, reader.accepted_body)
