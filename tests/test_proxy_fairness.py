"""Tests of how the capacity of a service is divided under overload."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from twisted.internet.task import Clock

from flamingosail.proxy.policy.fairness import account_shares
from flamingosail.proxy.policy.fairness import Demand
from flamingosail.proxy.policy.fairness import divide_capacity
from flamingosail.proxy.policy.overload import account_key
from flamingosail.proxy.policy.overload import Admission
from flamingosail.proxy.policy.overload import LoadReport
from flamingosail.proxy.policy.overload import route_key
from flamingosail.proxy.shared.tenants import Tenant
from flamingosail.proxy.shared.tenants import TenantTable

BALANCE, STATUS, ACTIVATE = 1, 2, 3
DEMANDS = [
    Demand(key=BALANCE, priority=0, slots=10.0),
    Demand(key=STATUS, priority=1, slots=120.0),
    Demand(key=ACTIVATE, priority=2, slots=60.0),
]
SMALL, BIG = "dealer-1", "dealer-2"


class DivisionTest(TestCase):
    """Guards against a route that is starved by more important ones."""

    def test_the_least_important_route_keeps_its_floor(self):
        """Load: a deep service gets 1.9 times what it can take, for long.

        Strict priority left the least important route nothing.
        """
        division = divide_capacity(DEMANDS, 100.0, 0.0, floors=True)
        # All cut alike would get 100 / 190; the floor is half of that.
        self.assertAlmostEqual(0.263, division.shares[ACTIVATE], places=3)
        self.assertEqual({ACTIVATE}, division.floored)
        self.assertEqual(1.0, division.shares[BALANCE])
        self.assertGreater(division.shares[STATUS], 0.6)

    def test_priority_alone_decides_without_floors(self):
        """Load: the same, in a deployment without client accounts."""
        division = divide_capacity(DEMANDS, 100.0, 0.0, floors=False)
        self.assertEqual(0.0, division.shares[ACTIVATE])
        self.assertAlmostEqual(0.75, division.shares[STATUS])

    @given(
        slots=st.lists(st.floats(0.1, 500.0), min_size=1, max_size=6),
        capacity=st.floats(0.0, 600.0),
        backlog=st.floats(0.0, 300.0),
        floors=st.booleans(),
    )
    def test_no_more_than_the_capacity_is_divided(
        self, slots, capacity, backlog, floors
    ):
        """Load: any. More urgent routes also never get a smaller share."""
        demands = [
            Demand(key=i, priority=i // 2, slots=each)
            for i, each in enumerate(slots)
        ]
        shares = divide_capacity(
            demands, capacity, backlog, floors=floors
        ).shares
        used = sum(shares[d.key] * d.slots for d in demands)
        self.assertLessEqual(used, capacity + 1e-6)
        ordered = [shares[d.key] for d in demands]
        for before, after in zip(ordered, ordered[1:], strict=False):
            self.assertGreaterEqual(before, after - 1e-9)


class AccountsTest(TestCase):
    """Guards against accounts that pay for the load of another one."""

    def test_an_account_at_seven_times_its_usual_pays_for_it_alone(self):
        """Load: 73 dealers of equal quota, one of them turns hot."""
        rates = dict.fromkeys(range(72), 10.0)
        rates[72] = 70.0
        shares = account_shares(rates, {}, 790.0, 740.0 / 790.0)
        self.assertEqual({1.0}, {shares[account] for account in range(72)})
        self.assertAlmostEqual(20.0 / 70.0, shares[72])

    def test_a_large_account_is_not_cut_for_its_size(self):
        """Load: too much by 10%, from accounts of very unequal quota."""
        rates = {1: 100.0, 2: 10.0}
        shares = account_shares(rates, {1: 160.0, 2: 16.0}, 110.0, 0.9)
        self.assertAlmostEqual(shares[1], shares[2])

    def test_a_hot_account_pays_first_when_all_must_be_cut(self):
        """Load: half of the demand fits, and one of 73 dealers is hot.

        Reports list few accounts, so that the usual ones are unknown.
        """
        rates = {1: 70.0, 2: 12.0}
        shares = account_shares(rates, {}, 790.0, 0.5)
        self.assertAlmostEqual(shares[None], shares[2])
        self.assertAlmostEqual(shares[2] * 12.0, shares[1] * 70.0)
        admitted = 708.0 * shares[None] + 12.0 * shares[2] + 70.0 * shares[1]
        self.assertAlmostEqual(0.5 * 790.0, admitted)

    def test_all_nodes_limit_the_same_account(self):
        """Load: the hot account's requests enter at one of two nodes only."""
        clock = Clock()
        table = TenantTable.of(
            [Tenant(name=name, rate=16.0) for name in (SMALL, BIG)]
        )
        key = route_key("r-status")
        small, big = account_key(SMALL), account_key(BIG)
        rates = {key: 400}
        reports = [
            LoadReport(
                "deep",
                *(5, 0, rates, rates, rates, rates),
                usage={key: 500},
                calls={key: 3200},
                accounts={key: {account: rate}},
            )
            for account, rate in ((small, 100), (big, 700))
        ]
        admissions = [Admission(clock=clock) for _ in range(2)]
        for _ in range(4):
            clock.advance(0.5)
            for admission in admissions:
                admission.set_accounts(table)
                admission.compute_shares(reports, {key: 1})
        self.assertIn(key, admissions[0].shares)
        self.assertEqual(
            admissions[0].account_shares, admissions[1].account_shares
        )
        shares = admissions[0].account_shares[key]
        self.assertEqual(1.0, shares[small])
        self.assertLess(shares[big], 0.95)
        for _ in range(50):
            self.assertTrue(admissions[0].admit(key, account=small))
        admitted = [admissions[0].admit(key, account=big) for _ in range(100)]
        self.assertAlmostEqual(100 * shares[big], sum(admitted), delta=2)
