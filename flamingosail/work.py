"""A call for the node's own backend server."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from twisted.internet.defer import Deferred

from flamingosail.allowance import Allowance
from flamingosail.context import CallContext
from flamingosail.keys import KeyEntry
from flamingosail.priority import PRIORITY_RANGE
from flamingosail.request import Answer
from flamingosail.request import Request

__all__ = ["InboundCall"]


@dataclass(slots=True, eq=False)
class InboundCall:
    """A call in the ingress, queued or at the backend server.

    ``reply`` is called once with the answer. ``trust_refusal`` is the setting
    of the call's kind. The fields from ``token`` on are set once the call is
    dispatched. Times are in seconds of the local clock. The backend server
    has waited for child calls since ``waiting_since`` if any is open, and
    for ``child_wait_seconds`` before.
    """

    request: Request
    context: CallContext
    reply: Callable[[Answer], None]
    trust_refusal: bool
    priority: int = 0
    deadline: float = 0.0
    enqueued_at: float = 0.0
    cancelled: bool = False
    token: str = ""
    dispatched_at: float = 0.0
    pending_answer: Deferred | None = None
    allowance: Allowance | None = None
    pressure: int = PRIORITY_RANGE
    child_count: int = 0
    open_children: int = 0
    waiting_since: float = 0.0
    child_wait_seconds: float = 0.0
    failed_digests: set[str] = field(default_factory=set)
    child_keys: dict[str, KeyEntry] = field(default_factory=dict)
    child_calls: set[Deferred] = field(default_factory=set)

    def __post_init__(self):
        self.priority = self.context.priority
        self.deadline = self.context.deadline
        self.allowance = self.context.allowance

    def child_started(self, now: float):
        """Count a child call that the backend server waits for."""
        self.child_count += 1
        if not self.open_children:
            self.waiting_since = now
        self.open_children += 1

    def cancel_children(self):
        """Cancel the open child calls; all of them are idempotent."""
        for call in list(self.child_calls):
            call.cancel()

    def child_finished(self, now: float):
        """Count the end of a child call."""
        self.open_children -= 1
        if not self.open_children:
            self.child_wait_seconds += now - self.waiting_since
