"""What a gate handles: requests, and what its server says of itself."""

from collections.abc import Callable

__all__ = ["Job", "ServerReport"]


class ServerReport:
    """What a backend server last said of itself.

    ``born`` is its start in Unix milliseconds and ``sequence`` the number of
    the report; together they order reports. ``state`` is ready or draining.
    """

    __slots__ = (
        "instance",
        "service",
        "born",
        "sequence",
        "state",
        "slots",
        "cold_until",
    )

    def __init__(self, **fields):
        for name, value in fields.items():
            setattr(self, name, value)


class Job:
    """A request at the gate.

    ``line`` is the request line and ``head`` the header lines but for the
    request id; ``origin``, ``rank`` and
    ``repeat`` are those of ``hop.Call``. ``call_failed`` is set when a call
    that the server made for this request failed, ``calls_served`` counts
    those that did not. ``on_end`` is called once as
    ``on_end(job, outcome, status, proof, head, body, reason)``.
    """

    __slots__ = (
        "request_id",
        "service",
        "line",
        "head",
        "body",
        "deadline",
        "idempotent",
        "origin",
        "rank",
        "repeat",
        "on_end",
        "request",
        "started",
        "call_failed",
        "calls_served",
        "done",
        "stream",
    )

    def __init__(
        self,
        *,
        request_id: bytes,
        service: str,
        line: bytes,
        head: bytes,
        body: bytes,
        deadline: float,
        idempotent: bool,
        origin: int,
        rank: int,
        repeat: bool,
        on_end: Callable,
        stream: int = 0,
    ):
        self.request_id = request_id
        self.service = service
        self.line = line
        self.head = head
        self.body = body
        self.deadline = deadline
        self.idempotent = idempotent
        self.origin = origin
        self.rank = rank
        self.repeat = repeat
        self.on_end = on_end
        self.request = None
        self.started = 0.0
        self.call_failed = False
        self.calls_served = 0
        self.done = False
        self.stream = stream
