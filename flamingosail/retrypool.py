"""Retry counts of root requests, kept at the node where each one entered.

A node that wants to retry a call must first be granted a retry by the entry
node of its root request. This bounds the retries of one root request
whatever the depth and fan-out of its call graph.
"""

from collections.abc import Callable
from itertools import count

from twisted.internet.interfaces import IReactorTime

from flamingosail.errors import SendFailed
from flamingosail.kernel import Service
from flamingosail.messages import RetryGrant
from flamingosail.messages import RetryRequest
from flamingosail.transport import Transport

__all__ = ["RetryPool"]

GRANT_TIMEOUT_SECONDS = 0.25


class RetryPool(Service):
    """Grants retries of this node's roots and requests those of others.

    A root is named by its id; ``remaining`` maps it to its unspent retries.
    """

    name = "retries"

    def __init__(
        self, *, clock: IReactorTime, transport: Transport, incarnation: str
    ):
        self.clock = clock
        self.transport = transport
        self.incarnation = incarnation
        self.remaining: dict[str, int] = {}
        # Sender and ticket of granted requests by root; bounded by the
        # number of retries of the root.
        self.granted_requests: dict[str, set[tuple[str, int]]] = {}
        self.tickets = count(1)
        self.pending: dict[int, tuple[Callable, object]] = {}
        self.granted = 0
        self.denied = 0
        transport.add_handler(RetryRequest, self.on_request)
        transport.add_handler(RetryGrant, self.on_grant)

    def open(self, root: str, retries: int):
        """Set the retries of a root, unless the root is already open."""
        self.remaining.setdefault(root, retries)

    def close(self, root: str):
        """Remove a root; later requests for its retries are denied."""
        self.remaining.pop(root, None)
        self.granted_requests.pop(root, None)

    def try_spend(self, root: str) -> bool:
        """Spend one retry of a local root; return False if none is left."""
        remaining = self.remaining.get(root, 0)
        if remaining < 1:
            self.denied += 1
            return False
        self.remaining[root] = remaining - 1
        self.granted += 1
        return True

    def request_retry(
        self, address: str, root: str, on_decision: Callable[[bool], None]
    ):
        """Request a retry and pass the decision to ``on_decision``.

        ``address`` is that of the root's entry node. Without an answer
        within GRANT_TIMEOUT_SECONDS the retry counts as denied.
        """
        if address == self.transport.address:
            on_decision(self.try_spend(root))
            return
        ticket = next(self.tickets)
        request = RetryRequest(
            sender=self.incarnation,
            reply_to=self.transport.address,
            ticket=ticket,
            root=root,
        )
        try:
            self.transport.send(address, request)
        except SendFailed:
            on_decision(False)
            return
        timeout = self.clock.callLater(
            GRANT_TIMEOUT_SECONDS, self.resolve, ticket, False
        )
        self.pending[ticket] = (on_decision, timeout)

    def resolve(self, ticket: int, granted: bool):
        """Pass a decision to the requester; later ones are ignored."""
        on_decision, timeout = self.pending.pop(ticket, (None, None))
        if on_decision is None:
            return
        if timeout.active():
            timeout.cancel()
        on_decision(granted)

    def on_request(self, message: RetryRequest):
        """Grant or deny a retry that another node requests."""
        grant = RetryGrant(
            sender=self.incarnation,
            ticket=message.ticket,
            granted=self.try_spend_once(message),
            to=message.sender,
        )
        try:
            self.transport.send(message.reply_to, grant)
        except SendFailed:
            return

    def try_spend_once(self, message: RetryRequest) -> bool:
        """Spend a retry, unless this request was already granted.

        Granting a duplicate again is safe: the requesting node acts on the
        first answer to a ticket only.
        """
        request_key = (message.sender, message.ticket)
        if request_key in self.granted_requests.get(message.root, ()):
            return True
        granted = self.try_spend(message.root)
        if granted:
            self.granted_requests.setdefault(message.root, set()).add(
                request_key
            )
        return granted

    def on_grant(self, message: RetryGrant):
        """Handle the answer of the root's entry node.

        Answers to an earlier incarnation at this address are ignored: both
        incarnations number their tickets from 1.
        """
        if message.to != self.incarnation:
            return
        self.resolve(message.ticket, message.granted)

    def dump(self) -> dict:
        """Return the number of open roots and of each decision."""
        return {
            "roots": len(self.remaining),
            "granted": self.granted,
            "denied": self.denied,
        }
