"""Tests of the gate in front of a backend server."""

import gc

from testtools import TestCase
from twisted.internet.testing import MemoryReactorClock

from flamingosail.proxy.transport.hop import Outcome
from flamingosail.proxy.transport.servercheck import ServerCheck
from tests.proxyfakes import FakePool
from tests.proxyfakes import make_gate
from tests.proxyfakes import make_job
from tests.proxyfakes import make_report
from tests.proxyfakes import make_response


class RestartTest(TestCase):
    """A node restarts beside a server that its former process knew."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.pool = FakePool()
        self.gate = make_gate(self.clock, pool=self.pool)
        self.path = "/health"
        self.gate.server.check = ServerCheck(
            clock=self.clock,
            pool=self.pool,
            health_path=lambda service: self.path,
            on_confirmed=self.gate.server.report_confirmed,
            on_leaving=self.gate.server.accept_leaving,
        )

    def answer(self, status: int, **changes):
        request = self.pool.sent[-1]
        self.assertIn(b"GET /health HTTP/1.1\r\n", request.data)
        request.finish(make_response(status=status, **changes))

    def test_a_delayed_report_of_a_server_that_left_is_not_trusted(self):
        """The former process had acknowledged that it leaves."""
        self.gate.server.handle_report(make_report())
        self.assertEqual("absent", self.gate.server.state)
        self.answer(503)
        self.assertEqual("absent", self.gate.server.state)
        # Several delayed reports arrive together.
        self.gate.server.handle_report(make_report(sequence=2))
        self.answer(503)
        self.assertEqual("absent", self.gate.server.state)

    def test_late_reports_of_a_server_that_left_are_not_trusted(self):
        """Reports that were delayed one by one arrive one by one."""
        for sequence in range(1, 6):
            self.gate.server.handle_report(make_report(sequence=sequence))
            self.answer(503)
            self.clock.advance(1.5)
            self.assertEqual("absent", self.gate.server.state)

    def test_a_server_without_health_endpoint_that_left_is_not_trusted(self):
        """Its refusal of a request without an id says that it leaves."""
        self.path = ""
        self.gate.server.handle_report(make_report())
        self.assertIn(b"GET / HTTP/1.1\r\n", self.pool.sent[-1].data)
        self.pool.sent[-1].finish(make_response(status=400, not_executed=True))
        self.assertEqual("absent", self.gate.server.state)

    def test_a_server_with_a_wrong_health_endpoint_is_used(self):
        """It keeps its connections, so that it does not leave."""
        self.gate.server.handle_report(make_report())
        self.answer(503, keep_alive=True)
        self.assertEqual("ready", self.gate.server.state)

    def report_for(self, seconds: float, on_sent=lambda: None):
        """Let the server report for some seconds, and once more."""
        count = round(seconds / 1.5)
        for sequence in range(1, count + 1):
            self.gate.server.handle_report(make_report(sequence=sequence))
            on_sent()
            self.clock.advance(1.5)
            self.assertEqual("absent", self.gate.server.state)
        self.gate.server.handle_report(make_report(sequence=count + 1))

    def test_a_server_that_does_not_answer_is_used_later(self):
        """Its reports were sent after the start of the node."""
        self.report_for(12.0)
        self.assertEqual("ready", self.gate.server.state)

    def test_a_server_that_closes_each_connection_is_used_later(self):
        """Its health endpoint is wrong; a server that leaves has ended."""
        self.report_for(30.0, on_sent=lambda: self.answer(503))
        self.assertEqual("ready", self.gate.server.state)

    def test_a_server_that_left_and_reports_on_is_not_used(self):
        """Some servers never report that they drain."""
        self.report_for(12.0, on_sent=lambda: self.answer(503))
        self.assertEqual("absent", self.gate.server.state)
        # Its successor is not suspected of leaving.
        self.gate.server.handle_report(make_report(start_ms=2000))
        self.assertEqual("ready", self.gate.server.state)

    def test_a_slow_server_is_asked_once(self):
        """Asking again would move the check to the end of its queue."""
        for sequence in (1, 2, 3):
            self.gate.server.handle_report(make_report(sequence=sequence))
            self.clock.advance(1.5)
        self.assertEqual(1, len(self.pool.sent))
        self.answer(200)
        self.assertEqual("ready", self.gate.server.state)
        self.assertEqual(3, self.gate.server.report.sequence)

    def test_a_silent_server_is_asked_again(self):
        """The first check may have been lost."""
        for sequence in range(1, 6):
            self.gate.server.handle_report(make_report(sequence=sequence))
            self.clock.advance(1.5)
        self.assertEqual(2, len(self.pool.sent))
        self.answer(200)
        self.assertEqual("ready", self.gate.server.state)

    def test_a_repeated_report_confirms_nothing(self):
        self.gate.server.handle_report(make_report())
        self.clock.advance(1.5)
        self.gate.server.handle_report(make_report())
        self.assertEqual("absent", self.gate.server.state)

    def test_a_delayed_report_of_a_server_that_ended_is_not_trusted(self):
        self.gate.server.handle_report(make_report())
        self.pool.sent[-1].finish(None, "connecting failed")
        self.assertEqual("absent", self.gate.server.state)

    def test_another_server_at_the_address_does_not_confirm_it(self):
        self.gate.server.handle_report(make_report())
        self.answer(200, instance=b"i-2")
        self.assertEqual("absent", self.gate.server.state)

    def test_a_server_that_serves_is_used_at_once(self):
        self.gate.server.handle_report(make_report())
        self.answer(200, instance=b"i-1")
        self.assertEqual("ready", self.gate.server.state)
        self.gate.server.handle_report(make_report(sequence=2))
        self.assertEqual(1, len(self.pool.sent))

    def test_a_server_whose_response_says_that_it_leaves_is_not_used(self):
        """Another report would confirm it otherwise."""
        self.gate.server.handle_report(make_report())
        self.answer(503, not_executed=True, leaving=True)
        self.clock.advance(1.5)
        self.gate.server.handle_report(make_report(sequence=2))
        self.assertEqual("absent", self.gate.server.state)

    def test_the_limit_of_the_health_endpoint_counts(self):
        self.gate.server.handle_report(make_report())
        self.answer(200, rate_limit=12.0)
        self.assertEqual(12.0, self.gate.server.limiter.rate)

    def test_a_full_server_is_used(self):
        self.gate.server.handle_report(make_report())
        self.answer(503, not_executed=True, keep_alive=True)
        self.assertEqual("ready", self.gate.server.state)

    def test_a_check_waits_for_the_configuration(self):
        self.path = None
        self.gate.server.handle_report(make_report())
        self.assertEqual([], self.pool.sent)
        self.path = ""
        self.gate.server.check.ask()
        self.pool.sent[-1].finish(
            make_response(status=400, not_executed=True, keep_alive=True)
        )
        self.assertEqual("ready", self.gate.server.state)

    def test_a_server_that_drains_already_gets_nothing(self):
        """Its drain time began with the former process."""
        self.gate.server.handle_report(make_report(state="draining"))
        self.assertEqual("absent", self.gate.server.state)

    def test_the_next_start_of_a_server_that_left_is_used(self):
        self.gate.server.handle_report(make_report(state="draining"))
        self.gate.server.handle_report(make_report(start_ms=2000))
        self.assertEqual("ready", self.gate.server.state)

    def test_a_deregistration_during_the_check_counts(self):
        self.gate.server.handle_report(make_report())
        self.gate.server.handle_deregistration("i-1", 1000)
        self.answer(200)
        self.assertEqual("draining", self.gate.server.state)


class GateTest(TestCase):
    """Guards queue order, draining, and correct outcomes of requests."""

    def setUp(self):
        super().setUp()
        self.clock = MemoryReactorClock()
        self.pool = FakePool()
        self.gate = make_gate(self.clock, pool=self.pool)
        self.ends = []

    def submit(self, **changes):
        job = make_job(self.ends, **changes)
        self.gate.submit(job)
        return job

    def outcomes(self):
        return [(end[0], end[1]) for end in self.ends]

    def test_nothing_is_sent_before_the_first_report(self):
        self.submit()
        self.assertEqual([(b"a", Outcome.REFUSED)], self.outcomes())
        self.assertEqual([], self.pool.sent)

    def test_a_request_for_another_service_is_refused(self):
        self.gate.server.handle_report(make_report(service="gatekeeper"))
        self.submit()
        self.assertEqual([(b"a", Outcome.REFUSED)], self.outcomes())

    def test_the_server_gets_the_remaining_time_and_its_own_id(self):
        self.gate.server.handle_report(make_report())
        self.clock.advance(0.25)
        self.submit()
        data = self.pool.sent[0].data
        self.assertIn(b"x-deadline: 750\r\n", data)
        self.assertIn(b"x-expected: i-1\r\n", data)
        self.assertIn(b"x-id: a\r\n", data)

    def test_requests_of_lower_rank_leave_the_queue_first(self):
        self.gate.server.handle_report(make_report(slots=1))
        self.submit(request_id=b"running")
        self.submit(request_id=b"late", rank=5)
        self.submit(request_id=b"call", rank=0)
        self.pool.sent[0].finish(make_response())
        self.assertEqual(b"call", self.pool.sent[1].request_id)

    def test_a_request_that_waits_too_long_did_not_run(self):
        self.gate.server.handle_report(make_report(slots=1))
        self.submit(request_id=b"running", deadline=9.0)
        self.submit(request_id=b"waits", deadline=0.5)
        self.clock.pump([0.05] * 12)
        self.assertEqual([(b"waits", Outcome.REFUSED)], self.outcomes())
        self.assertEqual(1, len(self.pool.sent))

    def test_a_connection_lost_after_sending_may_have_run(self):
        self.gate.server.handle_report(make_report())
        self.submit()
        self.pool.sent[0].finish(None, "reset")
        self.assertEqual([(b"a", Outcome.LOST)], self.outcomes())

    def test_no_connection_means_not_run(self):
        self.gate.server.handle_report(make_report())
        self.submit()
        self.pool.sent[0].written = False
        self.pool.sent[0].finish(None, "refused")
        self.assertEqual([(b"a", Outcome.REFUSED)], self.outcomes())
        self.assertEqual("absent", self.gate.server.state)

    def test_a_status_that_promises_too_much_is_not_passed_on(self):
        """The server does not say that it did not run the request."""
        for status in (408, 421, 429, 503):
            self.ends.clear()
            self.gate.server.handle_report(make_report())
            self.submit()
            self.pool.sent[-1].finish(make_response(status=status))
            self.assertEqual([(b"a", Outcome.LOST)], self.outcomes())

    def test_a_success_without_signature_is_not_passed_on(self):
        self.gate.server.handle_report(make_report())
        self.submit()
        self.pool.sent[0].finish(make_response(signature=b""))
        self.assertEqual([(b"a", Outcome.LOST)], self.outcomes())

    def test_a_draining_server_gets_nothing_after_the_drain_time(self):
        self.gate.server.handle_report(make_report())
        self.gate.server.handle_report(
            make_report(sequence=2, state="draining")
        )
        self.clock.advance(1.5)
        self.submit(deadline=9.0)
        self.assertEqual([(b"a", Outcome.REFUSED)], self.outcomes())

    def test_queued_requests_are_refused_after_the_drain_time(self):
        self.gate.server.handle_report(make_report(slots=1))
        self.submit(request_id=b"running", deadline=9.0)
        self.submit(request_id=b"waits", deadline=9.0)
        self.gate.server.handle_report(
            make_report(sequence=2, state="draining")
        )
        self.clock.advance(1.5)
        self.pool.sent[0].finish(make_response())
        self.assertIn((b"waits", Outcome.REFUSED), self.outcomes())

    def test_a_queued_request_does_not_reach_a_server_of_another_service(self):
        """The address was given to another service while it waited."""
        self.gate.server.handle_report(make_report(slots=1))
        self.submit(request_id=b"running", deadline=9.0)
        self.submit(request_id=b"waits", deadline=9.0)
        self.gate.server.handle_report(
            make_report(instance="i-2", service="retire", start_ms=2000)
        )
        self.pool.sent[0].finish(make_response())
        self.assertEqual(1, len(self.pool.sent))
        self.assertIn((b"waits", Outcome.REFUSED), self.outcomes())

    def test_a_delayed_report_does_not_undo_a_deregistration(self):
        """A restarted node knows no server when the deregistration arrives."""
        self.gate.server.handle_deregistration("i-1", 1000)
        self.gate.server.handle_report(make_report())
        self.clock.advance(1.5)
        self.submit(deadline=9.0)
        self.assertEqual([(b"a", Outcome.REFUSED)], self.outcomes())

    def test_a_server_restarted_under_its_id_is_used(self):
        self.gate.server.handle_deregistration("i-1", 1000)
        self.gate.server.handle_report(make_report(start_ms=2000))
        self.submit()
        self.assertEqual(1, len(self.pool.sent))

    def test_an_older_report_is_ignored(self):
        self.gate.server.handle_report(
            make_report(sequence=5, state="draining")
        )
        self.gate.server.handle_report(make_report(sequence=4))
        self.assertEqual("draining", self.gate.server.state)

    def test_a_report_of_an_earlier_start_is_ignored(self):
        self.gate.server.handle_report(
            make_report(instance="i-2", start_ms=2000)
        )
        self.gate.server.handle_report(make_report(sequence=99))
        self.assertEqual("i-2", self.gate.server.report.instance)

    def test_cancelling_aborts_idempotent_requests_only(self):
        self.gate.server.handle_report(make_report())
        read = self.submit(request_id=b"read")
        order = self.submit(request_id=b"order", idempotent=False)
        self.gate.cancel(read)
        self.gate.cancel(order)
        self.assertTrue(self.pool.sent[0].done)
        self.assertFalse(self.pool.sent[1].done)

    def test_a_duplicate_id_does_not_run_concurrently(self):
        self.gate.server.handle_report(make_report())
        self.submit()
        self.submit()
        self.assertEqual(1, len(self.pool.sent))

    def test_slots_are_free_again_after_a_cancel(self):
        self.gate.server.handle_report(make_report(slots=1))
        first = self.submit(request_id=b"first")
        self.submit(request_id=b"second")
        self.gate.cancel(first)
        self.assertEqual(b"second", self.pool.sent[-1].request_id)

    def test_a_silent_server_ends_as_lost_after_the_deadline(self):
        self.gate.server.handle_report(make_report())
        self.submit(deadline=0.5)
        self.clock.pump([0.1] * 9)
        self.assertEqual([(b"a", Outcome.LOST)], self.outcomes())
        self.assertFalse(self.gate.running)

    def test_an_ended_request_is_released_before_its_deadline(self):
        """Ended requests stayed in memory until the garbage collection."""
        self.gate.server.handle_report(make_report())
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        jobs = [
            self.submit(request_id=bytes([i]), body=b"x", deadline=9.0)
            for i in range(2)
        ]
        self.pool.sent[0].finish(make_response(body=b"y"))
        self.gate.cancel(jobs[1])
        self.assertEqual([b"", b""], [job.body for job in jobs])
        self.pool.sent.clear()
        jobs.clear()
        self.ends.clear()
        self.assertEqual(0, gc.collect())

    def test_a_slow_server_is_known_as_slow_and_its_successor_not(self):
        self.gate.server.handle_report(make_report())
        for _ in range(20):
            self.submit(deadline=self.clock.seconds() + 1.0)
            self.clock.advance(0.3)  # three times the expected time
            self.pool.sent[-1].finish(make_response())
        self.assertGreater(self.gate.server.speed.slowness(), 2.0)
        self.clock.advance(60.0)
        self.assertAlmostEqual(
            1.0, self.gate.server.speed.slowness(), places=2
        )
        self.gate.server.speed.record(9.0, 1.0)
        self.gate.server.handle_report(make_report(start_ms=2000))
        self.assertEqual(1.0, self.gate.server.speed.slowness())

    def test_failures_do_not_make_a_server_look_fast(self):
        self.gate.server.handle_report(make_report())
        for changes in (
            {"status": 500},
            {"status": 503, "not_executed": True},
            {"signature": b""},
        ):
            for _ in range(20):
                self.submit(deadline=self.clock.seconds() + 1.0)
                self.pool.sent[-1].finish(make_response(**changes))
        self.assertEqual(1.0, self.gate.server.speed.slowness())

    def test_rejections_of_the_server_are_reported(self):
        """Entry nodes admitted requests that could not end."""
        self.gate.server.handle_report(make_report())
        for not_executed in (True, False, True):
            self.submit(deadline=self.clock.seconds() + 1.0)
            self.pool.sent[-1].finish(
                make_response(status=503, not_executed=not_executed)
            )
        report = self.gate.meter.report("histbook", 2, 0)
        self.assertEqual((60, 40), (report.arrivals, report.rejected))

    def test_a_stopping_node_refuses_new_requests(self):
        self.gate.server.handle_report(make_report())
        self.gate.closed = True
        self.submit()
        self.assertEqual([(b"a", Outcome.REFUSED)], self.outcomes())
