"""The retries of each root, kept at the node where the root entered.

Any hop of a call chain that wants to retry asks this node first, so that the
retries of one root are bounded however deep and wide its calls go.
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
    """Grants retries of own roots and asks other nodes for theirs."""

    name = "retries"

    def __init__(
        self, *, clock: IReactorTime, transport: Transport, incarnation: str
    ):
        self.clock = clock
        self.transport = transport
        self.incarnation = incarnation
        self.left: dict[str, int] = {}
        # Requests that were granted, at most as many as a root had retries.
        self.answered: dict[str, set[tuple[str, int]]] = {}
        self.tickets = count(1)
        self.waiting: dict[int, tuple[Callable, object]] = {}
        self.granted = 0
        self.denied = 0
        transport.add_handler(RetryRequest, self.on_request)
        transport.add_handler(RetryGrant, self.on_grant)

    def open(self, root: str, retries: int):
        """Give a root its retries, unless it has been opened before."""
        self.left.setdefault(root, retries)

    def close(self, root: str):
        """Forget a root; later requests for it are denied."""
        self.left.pop(root, None)
        self.answered.pop(root, None)

    def take(self, root: str) -> bool:
        """Spend one retry of an own root if there is one."""
        left = self.left.get(root, 0)
        if left < 1:
            self.denied += 1
            return False
        self.left[root] = left - 1
        self.granted += 1
        return True

    def ask(self, address: str, root: str, decide: Callable[[bool], None]):
        """Call ``decide`` with whether the root may retry.

        Without an answer in time the retry is denied.
        """
        if address == self.transport.address:
            decide(self.take(root))
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
            decide(False)
            return
        timeout = self.clock.callLater(
            GRANT_TIMEOUT_SECONDS, self.decided, ticket, False
        )
        self.waiting[ticket] = (decide, timeout)

    def decided(self, ticket: int, granted: bool):
        """Hand a decision to whoever asked, once."""
        decide, timeout = self.waiting.pop(ticket, (None, None))
        if decide is None:
            return
        if timeout.active():
            timeout.cancel()
        decide(granted)

    def on_request(self, message: RetryRequest):
        """Answer a node that wants to retry a call of an own root."""
        grant = RetryGrant(
            sender=self.incarnation,
            ticket=message.ticket,
            granted=self.take_once(message),
            to=message.sender,
        )
        try:
            self.transport.send(message.reply_to, grant)
        except SendFailed:
            return

    def take_once(self, message: RetryRequest) -> bool:
        """Spend a retry, unless the request is a duplicate of a granted one.

        The asking node uses a ticket once, however often it is granted.
        """
        ask = (message.sender, message.ticket)
        if ask in self.answered.get(message.root, ()):
            return True
        granted = self.take(message.root)
        if granted:
            self.answered.setdefault(message.root, set()).add(ask)
        return granted

    def on_grant(self, message: RetryGrant):
        """Take the answer of the root's node.

        A grant for an earlier incarnation at this address may carry the
        ticket of another request.
        """
        if message.to != self.incarnation:
            return
        self.decided(message.ticket, message.granted)

    def dump(self) -> dict:
        """Return the number of open roots and of decisions."""
        return {
            "roots": len(self.left),
            "granted": self.granted,
            "denied": self.denied,
        }
