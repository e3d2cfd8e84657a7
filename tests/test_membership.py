"""Tests of the merge rules of the member table."""

from itertools import permutations

from msgspec.structs import replace
from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.membership import MemberTable
from flamingosail.membership import TOMBSTONE_TTL_S
from flamingosail.messages import MemberRecord


def record(node="vm-1", nonce="a", version=1, **fields):
    values = {
        "address": "10.0.0.1:7000",
        "failure_domain": "gs-a",
        "region": "gulf-south",
        "service": "cashier",
        "state": "ready",
    } | fields
    return MemberRecord(
        node=node, incarnation=f"{node}~{nonce}", version=version, **values
    )


def table(**fields):
    return MemberTable(own_record=record(**fields), clock=Clock())


class MergeTest(TestCase):
    """Guards against tables that never converge or lose a drain."""

    def test_higher_version_wins_in_any_order(self):
        records = [
            record("vm-2", version=1, state="starting"),
            record("vm-2", version=2),
            record("vm-2", version=3, state="draining"),
            record("vm-2", version=3, state="removed"),
            record("vm-2", version=3, nonce="b"),
        ]
        results = set()
        for order in permutations(records):
            members = table()
            members.merge([records[0]])
            for item in order:
                members.merge([item])
            results.add(members.by_node("vm-2"))
        self.assertEqual({records[3]}, results)

    def test_merge_returns_only_changes_and_notifies_listeners(self):
        members, notified = table(), []
        members.listeners.append(notified.append)
        other = record("vm-2")
        self.assertEqual((other,), members.merge([other, other]))
        self.assertEqual((), members.merge([other]))
        self.assertEqual([(other,)], notified)

    def test_ignores_invalid_records(self):
        members = table()
        invalid = [
            record("vm-2", version=0),
            record("vm-2", version=2**60),
            record("vm-2", state="unknown"),
            replace(record("vm-2"), incarnation="vm-3~a"),
            replace(record("vm-2"), incarnation=""),
        ]
        self.assertEqual((), members.merge(invalid))

    def test_table_hash_depends_on_the_live_records_only(self):
        one, two = table(), table()
        two.merge([record("vm-2"), record("vm-3")])
        two.merge([record("vm-3", state="removed")])
        one.merge([record("vm-2")])
        self.assertEqual(one.table_hash, two.table_hash)
        one.merge([record("vm-2", version=2)])
        self.assertNotEqual(one.table_hash, two.table_hash)


class OwnRecordTest(TestCase):
    """Guards against a live node that other tables hold as removed."""

    def test_refutes_its_removal_and_higher_versions(self):
        members = table()
        members.merge([record(state="removed")])
        self.assertEqual((2, "ready"), (members.own_record.version, "ready"))
        members.merge([record(version=7, state="draining")])
        self.assertEqual(8, members.own_record.version)
        self.assertEqual("ready", members.own_record.state)
        members.refute(8)
        self.assertEqual(9, members.own_record.version)
        members.refute(8)
        self.assertEqual(9, members.own_record.version)

    def test_does_not_refute_after_it_left(self):
        members = table()
        members.update_own_record(state="left")
        self.assertEqual((), members.merge([record(version=5)]))
        self.assertEqual("left", members.own_record.state)

    def test_restarted_node_supersedes_its_earlier_incarnation(self):
        old = record(nonce="old", version=40, state="removed")
        members = table(nonce="new")
        members.merge([old])
        self.assertEqual(41, members.own_record.version)
        self.assertEqual("old", members.own_record.replaces)
        other = table(node="vm-2")
        other.merge([old, members.own_record])
        other.merge([record(nonce="old", version=40)])
        self.assertEqual(members.own_record, other.by_node("vm-1"))

    def test_frozen_incarnation_accepts_its_successor(self):
        old, new = table(nonce="old", version=9), table(nonce="new")
        new.merge([old.own_record])
        old.merge([new.own_record])
        self.assertTrue(old.superseded)
        version = old.own_record.version
        old.merge([record(nonce="old", version=9, state="removed")])
        old.refute(version)
        self.assertEqual(version, old.own_record.version)
        self.assertEqual(new.own_record, old.by_node("vm-1"))

    def test_a_joining_node_supersedes_an_equal_version_too(self):
        for old_nonce in ("0", "z"):
            old, new = record(nonce=old_nonce), table(nonce="new")
            new.merge([record("vm-2"), old])
            self.assertEqual(
                (2, old_nonce),
                (new.own_record.version, new.own_record.replaces),
            )

    def test_update_own_record_raises_the_version_once(self):
        members = table()
        members.update_own_record(state="draining")
        members.update_own_record(state="draining")
        self.assertEqual(2, members.own_record.version)
        self.assertEqual(members.own_record, members.by_node("vm-1"))


class LookupTest(TestCase):
    """Guards against calls to servers that are not ready."""

    def test_servers_are_the_ready_members_of_a_service(self):
        members = table(state="starting")
        ready = record("vm-2")
        members.merge([ready, record("vm-3", service="other")])
        self.assertEqual((ready,), members.servers("cashier"))
        self.assertIs(members.servers("cashier"), members.servers("cashier"))
        members.merge([record("vm-2", version=2, state="draining")])
        self.assertEqual((), members.servers("cashier"))
        self.assertEqual((), members.servers("unknown"))

    def test_find_returns_only_that_incarnation_while_it_is_live(self):
        members = table()
        other = record("vm-2")
        members.merge([other])
        self.assertEqual(other, members.find("vm-2~a"))
        self.assertIsNone(members.find("vm-2~b"))
        self.assertIsNone(members.find("nonsense"))
        members.merge([record("vm-2", state="removed")])
        self.assertIsNone(members.find("vm-2~a"))
        self.assertEqual("removed", members.by_node("vm-2").state)

    def test_tombstones_are_kept_for_a_bounded_time(self):
        members = table()
        gone = record("vm-2", state="removed")
        members.merge([gone])
        self.assertIsNone(members.by_node("vm-2"))
        members.merge([record("vm-2")])
        members.merge([gone])
        members.clock.advance(TOMBSTONE_TTL_S - 1)
        members.delete_expired()
        self.assertEqual((gone,), members.removed())
        members.clock.advance(1)
        members.delete_expired()
        self.assertIsNone(members.by_node("vm-2"))
        self.assertEqual(1, len(members.dump()["members"]))
