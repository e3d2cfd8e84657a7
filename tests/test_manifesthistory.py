"""Tests of which manifest records are accepted."""

import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.manifest import parse_manifest
from flamingosail.manifesthistory import Copy
from flamingosail.manifesthistory import encode_record
from flamingosail.manifesthistory import ManifestHistory
from flamingosail.manifesthistory import MAX_OUTCOMES
from flamingosail.manifesthistory import Outcome
from flamingosail.manifesthistory import OutcomeState
from flamingosail.manifesthistory import Publication
from standins.memorylog import MemoryLog

STREAM = "manifest"


def body_of(number: int) -> bytes:
    """Return a valid manifest body that differs for each number."""
    document = {"services": {f"service-{number}": {}}, "kinds": {}}
    return json.dumps(document).encode()


class Log:
    """A manifest stream with short ways to write to it."""

    def __init__(self):
        self.log = MemoryLog(clock=Clock())

    def publish(self, name, base, body=None) -> int:
        record = Publication(
            publication_id=name,
            base=base,
            body=body_of(len(name)) if body is None else body,
        )
        return self.write(encode_record(record))

    def copy(self, version, as_of, body=None) -> int:
        if body is None:
            body = body_of(1)
        return self.write(
            encode_record(Copy(version=version, as_of=as_of, body=body))
        )

    def write(self, data) -> int:
        return self.log._store(STREAM, data)

    def trim(self, first):
        self.log.trim(STREAM, first)

    def read(self, history=None, *, limit=3) -> ManifestHistory:
        """Read to the end and return the history."""
        history = history or ManifestHistory()
        while True:
            page = self.log.page(STREAM, history.next_offset, limit)
            if not history.apply(page) or history.next_offset >= page.end:
                return history


class AcceptanceTest(TestCase):
    """Guards against readers that put different manifests in force."""

    def test_the_first_to_build_on_the_accepted_manifest_wins(self):
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.publish("c", 0)
        history = log.read()
        self.assertEqual(1, history.accepted)
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
        self.assertEqual(2, history.accepted)
        self.assertEqual(
            "invalid: services: must be an object; kinds: must be an object",
            history.outcome("bad").reason,
        )

    def test_skips_records_that_are_not_records(self):
        log = Log()
        log.write(b"")
        log.write(b"\x91" * 100_000)
        log.publish("a", -1)
        history = log.read()
        self.assertEqual(2, history.accepted)
        self.assertEqual(2, history.malformed)

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
        self.assertEqual(1, history.accepted)
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
    """Guards against wrong manifests on a trimmed log."""

    def test_a_copy_changes_nothing_for_a_reader_that_knows(self):
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.copy(0, 1)
        log.copy(1, 2)
        log.copy(1, 2)
        self.assertEqual(1, log.read().accepted)

    def test_a_trimmed_log_without_a_copy_gives_no_manifest(self):
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.publish("c", 1)
        log.trim(1)
        history = log.read()
        self.assertIsNone(history.accepted)
        self.assertIsNone(history.latest)

    def test_applies_the_records_after_as_of(self):
        # The copy was written late: b and c came in before it.
        log = Log()
        log.publish("a", -1)
        log.write(b"")
        log.publish("b", 0)
        log.publish("c", 2)
        log.copy(0, 2, body_of(1))
        log.trim(2)
        history = log.read()
        self.assertEqual(3, history.accepted)
        self.assertEqual(3, history.latest.version)
        self.assertEqual(OutcomeState.ACCEPTED, history.outcome("c").state)

    def test_a_stale_copy_of_a_frozen_writer_is_not_a_base(self):
        # The writer read up to offset 1 and froze; b was accepted since
        # and is trimmed. c builds on a and was refused by all readers.
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.publish("c", 0)
        log.copy(0, 1)
        log.trim(2)
        history = log.read()
        self.assertIsNone(history.accepted)
        log.copy(1, 4, body_of(1))
        self.assertEqual(1, log.read(history).accepted)

    def test_ignores_copies_that_contradict_themselves(self):
        log = Log()
        for _ in range(3):
            log.write(b"")
        log.trim(2)
        log.copy(2, 9)
        log.copy(5, 3)
        log.copy(-2, 3)
        log.copy(1, 3, b"not a manifest")
        history = log.read()
        self.assertIsNone(history.accepted)
        self.assertEqual(5, history.malformed)

    def test_a_copy_without_a_manifest_lets_the_first_one_in(self):
        # Only refused publications, then silence until they are trimmed.
        log = Log()
        log.publish("bad", -1, b"x")
        log.copy(-1, 1, b"")
        log.publish("a", -1)
        log.trim(1)
        self.assertEqual(2, log.read().accepted)

    def test_offers_a_copy_only_if_it_knows(self):
        log = Log()
        self.assertIsNone(log.read().copy())
        log.publish("a", -1, body_of(5))
        log.write(b"")
        self.assertEqual(
            Copy(version=0, as_of=2, body=body_of(5)), log.read().copy()
        )
        log.trim(1)
        self.assertIsNone(log.read().copy())


class GapTest(TestCase):
    """Guards against going on after records were trimmed unread."""

    def test_a_reader_that_was_away_too_long_waits_for_a_copy(self):
        log = Log()
        log.publish("a", -1)
        history = log.read()
        log.publish("b", 0)
        log.publish("c", 0)
        log.trim(2)
        log.read(history)
        self.assertIsNone(history.accepted)
        self.assertEqual(0, history.latest.version)
        log.copy(1, 3)
        log.read(history)
        self.assertEqual(1, history.accepted)
        self.assertEqual(1, history.latest.version)

    def test_continues_from_the_manifest_of_a_peer(self):
        log = Log()
        log.publish("a", -1)
        log.publish("b", 0)
        log.publish("c", 1)
        log.trim(2)
        history = log.read()
        history.know(parse_manifest(body_of(1), version=0))
        self.assertIsNone(history.accepted)
        history.know(parse_manifest(body_of(1), version=1))
        self.assertEqual(2, log.read(history).accepted)

    def test_a_peer_manifest_before_a_gap_is_no_base(self):
        log = Log()
        for name, base in (("a", -1), ("b", 0), ("c", 0)):
            log.publish(name, base)
        log.trim(2)
        history = ManifestHistory()
        history.know(parse_manifest(body_of(1), version=0))
        self.assertIsNone(log.read(history).accepted)

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
        self.assertEqual(1, history.accepted)


WRITES = strategies.sampled_from(
    ["publish", "publish", "race", "race", "invalid", "copy", "stale"]
)


class AgreementTest(TestCase):
    """Guards against readers that disagree, whatever they have missed.

    The model is a reader that has read every record when it was written.
    """

    def setUp(self):
        super().setUp()
        self.reset()

    def reset(self):
        """Begin a new example; hypothesis calls the test repeatedly."""
        self.log, self.model = Log(), ManifestHistory()
        self.bodies: dict[int, bytes] = {}
        self.copies: list[Copy] = []

    @settings(max_examples=150)
    @given(
        strategies.lists(WRITES, min_size=3, max_size=15),
        strategies.randoms(use_true_random=False),
    )
    def test_readers_of_a_trimmed_log_agree(self, writes, random):
        """Fresh readers start at every trim point, in two page sizes."""
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
        """Readers read now and then, in any page sizes, between trims."""
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
        """Append one record and let the model read it."""
        model = self.model
        if action == "publish":
            self.log.publish(f"p{step}", model.accepted, body_of(step))
        elif action == "race":
            base = random.randint(-1, model.accepted + 2)
            if self.bodies and random.random() < 0.5:
                base = random.choice(sorted(self.bodies))
            self.log.publish(f"p{step}", base, body_of(step))
        elif action == "invalid":
            self.log.publish(f"p{step}", model.accepted, b"{}")
        elif action == "copy" and model.copy():
            self.log.write(encode_record(model.copy()))
        elif action == "stale" and self.copies:
            self.log.write(encode_record(random.choice(self.copies)))
        self.log.read(model)
        if model.copy():
            self.copies.append(model.copy())
        if model.latest:
            self.bodies[model.latest.version] = model.latest.body

    def advance(self, random, reader):
        """Read a few pages of any size, or hear of a peer's manifest."""
        if self.model.latest and random.random() < 0.1:
            reader.know(self.model.latest)
        for _ in range(random.randint(0, 4)):
            limit = random.randint(1, 4)
            reader.apply(self.log.log.page(STREAM, reader.next_offset, limit))

    def check(self, reader, *, complete):
        """Compare what a reader says with what the model says."""
        for publication_id, outcome in reader.outcomes.items():
            self.assertEqual(self.model.outcome(publication_id), outcome)
        if reader.latest is not None:
            body = self.bodies.get(reader.latest.version)
            self.assertEqual(body, reader.latest.body)
        if reader.accepted is None:
            return
        if complete:
            self.assertEqual(self.model.accepted, reader.accepted)
        if reader.accepted >= 0:
            body = self.bodies.get(reader.accepted)
            self.assertEqual(body, reader.accepted_body)
