"""Requests at a gate and status reports of its backend server."""

from collections.abc import Callable

from flamingosail.proxy.policy.fingerprint import request_fingerprint

__all__ = ["Job", "ServerReport"]


class ServerReport:
    """The status that a backend server reported in a heartbeat.

    ``start_ms`` is its start in Unix milliseconds, logged as ``born``, and
    ``sequence`` the number of the report; together they order reports.
    ``state`` is ready or draining. Until ``cold_until``, in the reactor's
    time, the server is slow because it has just started.
    """

    __slots__ = (
        "instance",
        "service",
        "start_ms",
        "sequence",
        "state",
        "slots",
        "cold_until",
    )

    def __init__(self, **fields):
        for name, value in fields.items():
            setattr(self, name, value)

    @property
    def incarnation(self) -> tuple[str, int]:
        """The instance and its start, which identify a server process."""
        return self.instance, self.start_ms


class Job:
    """A request that is queued or running at the gate.

    ``head`` holds the header lines without the request id; ``root_route``,
    ``rank`` and ``is_retry`` are described in ``hop.Call``. ``deadline`` and
    ``started`` are in the reactor's time. ``request`` is the ServerRequest,
    None while the job is queued, ``incarnation`` the instance and start of the
    server that got it, and ``stream`` the number of the call on its
    connection, 0 for a call of this node. Child calls are the calls that the
    server makes for this request: ``child_call_failed`` is set when one
    failed, ``child_calls_succeeded`` counts the others, ``open_child_calls``
    those that have not ended, and ``child_seconds`` is how long any was open,
    up to ``child_calls_since`` if one is. ``running_at_start`` is the number
    of requests at the server when this one was sent. ``is_suspect`` says
    that servers had crashed that ran it when it was sent, ``fingerprint`` is 0
    until it is needed, and ``held`` is set while a suspect waits for another
    one to end. ``on_end`` is called
    once as ``on_end(job, outcome, status, signature, head, body, reason)``,
    unless ``Gate.cancel`` dropped the job; ``done`` is set in both cases.
    """

    __slots__ = (
        "request_id",
        "service",
        "request_line",
        "head",
        "body",
        "deadline",
        "idempotent",
        "root_route",
        "rank",
        "is_retry",
        "on_end",
        "request",
        "incarnation",
        "started",
        "child_call_failed",
        "child_calls_succeeded",
        "open_child_calls",
        "child_seconds",
        "child_calls_since",
        "running_at_start",
        "done",
        "stream",
        "fingerprint",
        "is_suspect",
        "held",
    )

    def __init__(
        self,
        *,
        request_id: bytes,
        service: str,
        request_line: bytes,
        head: bytes,
        body: bytes,
        deadline: float,
        idempotent: bool,
        root_route: int,
        rank: int,
        is_retry: bool,
        on_end: Callable,
        stream: int = 0,
    ):
        self.request_id = request_id
        self.service = service
        self.request_line = request_line
        self.head = head
        self.body = body
        self.deadline = deadline
        self.idempotent = idempotent
        self.root_route = root_route
        self.rank = rank
        self.is_retry = is_retry
        self.on_end = on_end
        self.request = None
        self.incarnation: tuple[str, int] | None = None
        self.started = 0.0
        self.child_call_failed = False
        self.child_calls_succeeded = 0
        self.open_child_calls = 0
        self.child_seconds = 0.0
        self.child_calls_since = 0.0
        self.running_at_start = 0
        self.done = False
        self.stream = stream
        self.fingerprint = 0
        self.is_suspect = False
        self.held = False

    def identify(self) -> int:
        """Return the fingerprint of the request."""
        if not self.fingerprint:
            self.fingerprint = request_fingerprint(
                self.request_line, self.head, self.body
            )
        return self.fingerprint

    def child_call_started(self, now: float):
        """Note that the server makes a call for this request."""
        if not self.open_child_calls:
            self.child_calls_since = now
        self.open_child_calls += 1

    def child_call_ended(self, now: float):
        """Note that a call of the server has ended."""
        self.open_child_calls -= 1
        if not self.open_child_calls:
            self.child_seconds += now - self.child_calls_since

    def own_seconds(self, now: float) -> float:
        """Return the time at the server in which no child call was open."""
        seconds = now - self.started - self.child_seconds
        if self.open_child_calls:
            seconds -= now - self.child_calls_since
        return seconds

    def end(self):
        """Mark the job as done and drop what only a pending one needs.

        Timers keep ended jobs until their deadline, and ``request`` refers
        back to its job.
        """
        self.done = True
        self.head = self.body = b""
        self.request = self.on_end = None
