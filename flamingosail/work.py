"""A call on its way through the ingress to the backend server."""

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

__all__ = ["Work"]


@dataclass(slots=True, eq=False)
class Work:
    """One call on its way through the ingress.

    ``reply`` is called once with the answer. ``trust_refusal`` is that of
    the call's kind. The fields from ``token`` on are set while the backend
    server works on the call.
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
    dispatched: float = 0.0
    served: Deferred | None = None
    allowance: Allowance | None = None
    pressure: int = PRIORITY_RANGE
    children: int = 0
    open_children: int = 0
    children_since: float = 0.0
    children_seconds: float = 0.0
    failed_digests: set[str] = field(default_factory=set)
    child_keys: dict[str, KeyEntry] = field(default_factory=dict)
    child_calls: set[Deferred] = field(default_factory=set)

    def __post_init__(self):
        self.priority = self.context.priority
        self.deadline = self.context.deadline
        self.allowance = self.context.allowance

    def child_started(self, now: float):
        """Note that the backend server waits for a call of its own."""
        self.children += 1
        if not self.open_children:
            self.children_since = now
        self.open_children += 1

    def cancel_children(self):
        """Cancel the open calls below; they are all idempotent."""
        for call in list(self.child_calls):
            call.cancel()

    def child_finished(self, now: float):
        """Note the end of a call of the backend server."""
        self.open_children -= 1
        if not self.open_children:
            self.children_seconds += now - self.children_since
