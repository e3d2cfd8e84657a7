"""What became of the calls on a connection that is silent or closed.

A call whose connection ends may have run. Instead of guessing, the node that
sent it dials the other node again and names the former connection, by the
token that it chose for it, and the calls that have not ended. The other node
reads nothing further from the former connection, so that what it has not read
by then never runs, and says of each call whether it arrived. Calls that are
running or have ended continue on the new connection.

A node that has restarted does not know the token; then the calls may have run.
"""

from collections import deque
from typing import NamedTuple

from flamingosail.proxy.transport.hop import CallsResumed
from flamingosail.proxy.transport.hop import Outcome

__all__ = [
    "CHECK_SECONDS",
    "FORGET_SECONDS",
    "LATE_CHECK_SECONDS",
    "RecoveringCalls",
    "ReplyFields",
    "SilenceDetector",
    "UnconfirmedReplies",
]

# Interval at which connections are checked while calls are pending. A probe is
# sent to a node from which nothing has been heard for PROBE_SECONDS, and
# without an answer after SILENT_SECONDS its connection is taken to be silent.
CHECK_SECONDS = 0.2
PROBE_SECONDS = 0.15
SILENT_SECONDS = 0.3
# A check that comes later than this says nothing of other nodes: this one
# was not running.
LATE_CHECK_SECONDS = 0.25
# Idempotent calls are given up after this time, so that they can be retried
# elsewhere; others, which may not be retried, wait until their deadline.
GIVE_UP_SECONDS = 0.7
# What is kept of a closed connection for a node that asks about it.
FORGET_SECONDS = 5.0
# Replies that may have been lost are kept up to this size, for each
# connection and each reply.
MAX_KEPT_BYTES = 131_072
MAX_KEPT_REPLY_BYTES = 32_768


class ReplyFields(NamedTuple):
    """The result of a call; see ``hop.Reply``."""

    outcome: int
    status: int
    signature: bytes
    head: bytes
    body: bytes
    reason: str


class UnconfirmedReplies:
    """The replies sent on a connection that the other node has not confirmed.

    The other node counts the replies that it has received; they arrive in the
    order in which they were sent. ``sent`` counts those that were sent and
    ``kept_bytes`` is the size of those that are kept. The oldest are dropped
    beyond MAX_KEPT_BYTES.
    """

    def __init__(self):
        self.sent = 0
        self.kept_bytes = 0
        self.replies: deque[tuple[int, int, ReplyFields]] = deque()

    def add(self, stream: int, fields: ReplyFields):
        """Keep a reply that is being sent."""
        self.sent += 1
        size = len(fields.head) + len(fields.body)
        if size > MAX_KEPT_REPLY_BYTES:
            return
        self.replies.append((self.sent, stream, fields))
        self.kept_bytes += size
        while self.kept_bytes > MAX_KEPT_BYTES:
            self.drop_oldest()

    def confirm(self, received: int):
        """Drop the replies that the other node has received."""
        while self.replies and self.replies[0][0] <= received:
            self.drop_oldest()

    def drop_oldest(self):
        """Drop the reply that was sent first."""
        _, _, fields = self.replies.popleft()
        self.kept_bytes -= len(fields.head) + len(fields.body)

    def by_stream(self) -> dict[int, ReplyFields]:
        """Return the replies that are kept, by the stream of their call."""
        return {stream: fields for _, stream, fields in self.replies}


class SilenceDetector:
    """Notices by its calls that a connection is silent.

    ``unheard_since`` is when the first call was sent since data last arrived,
    or when data arrived while calls were pending; None without such calls.
    ``probed_at`` is when a probe was sent that was not answered.
    """

    def __init__(self):
        self.unheard_since: float | None = None
        self.probed_at: float | None = None

    def call_sent(self, now: float):
        """Record that a call was sent."""
        if self.unheard_since is None:
            self.unheard_since = now

    def data_arrived(self, now: float, *, pending: bool):
        """Record that the connection works."""
        self.unheard_since = now if pending else None
        self.probed_at = None

    def restart(self, now: float):
        """Start over, because this node was not running."""
        self.data_arrived(now, pending=True)

    def is_probe_due(self, now: float) -> bool:
        """Return whether a probe is due, and take it as sent."""
        due = (
            self.probed_at is None
            and self.unheard_since is not None
            and now - self.unheard_since >= PROBE_SECONDS
        )
        if due:
            self.probed_at = now
        return due

    def is_silent(self, now: float) -> bool:
        """Return whether a probe was not answered in time."""
        return (
            self.probed_at is not None
            and now - self.probed_at >= SILENT_SECONDS
        )


class RecoveringCalls:
    """The connections to one node whose calls are in doubt.

    ``connections`` holds them with the time since when they are, by token.
    """

    def __init__(self):
        self.connections: dict[int, tuple] = {}

    def add(self, connection, now: float):
        """Add a connection that is silent or closed."""
        self.connections.setdefault(connection.token, (connection, now))

    def tokens_and_streams(self) -> list[tuple[int, list[int]]]:
        """Return the calls to ask for, by the token of their connection."""
        return [
            (token, list(connection.pending))
            for token, (connection, _) in self.connections.items()
        ]

    def settle(self, message: CallsResumed, connection):
        """Apply what the other node says of the calls of a connection.

        Those that go on belong to ``connection`` from now on.
        """
        former, _ = self.connections.pop(message.token, (None, 0.0))
        if former is None:
            return
        for stream in message.resumed:
            attempt = former.pending.pop(stream, None)
            if attempt is not None:
                attempt.connection = connection
                connection.pending[stream] = attempt
        for stream in message.absent:
            end_attempt(
                former.pending.pop(stream, None),
                Outcome.REFUSED,
                "the call did not arrive at the node",
            )
        self.give_up(former)

    def give_up(self, connection):
        """End the calls of a connection; they may have run."""
        self.connections.pop(connection.token, None)
        pending, connection.pending = connection.pending, {}
        for attempt in pending.values():
            end_attempt(
                attempt, Outcome.LOST, "the connection to the node ended"
            )
        connection.abort()

    def give_up_all(self):
        """End all calls, because the other node has ended."""
        for connection, _ in list(self.connections.values()):
            self.give_up(connection)

    def expire(self, now: float):
        """End the idempotent calls whose state was not learnt in time."""
        for connection, since in list(self.connections.values()):
            if now - since < GIVE_UP_SECONDS:
                continue
            for stream, attempt in list(connection.pending.items()):
                if attempt.request.route.idempotent:
                    del connection.pending[stream]
                    end_attempt(
                        attempt,
                        Outcome.LOST,
                        "the node did not say whether the call arrived",
                    )
            if not connection.pending:
                self.give_up(connection)


def end_attempt(attempt, outcome: int, reason: str):
    """End an attempt without a response, unless it has ended (None)."""
    if attempt is not None:
        attempt.ended(outcome, 0, b"", b"", b"", reason)
