"""Interface between the decision core and the backend server."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from flamingosail.request import Answer
from flamingosail.request import Request

__all__ = ["Announcement", "Backend"]


@dataclass(frozen=True, slots=True)
class Announcement:
    """Parameters that a backend server registers at its node on start.

    ``slots`` is the number of requests that it serves concurrently,
    ``connections`` the number of connections that it accepts. ``pid``
    distinguishes a server that was restarted at the same port from one that
    repeats its announcement.
    """

    service: str
    host: str
    port: int
    slots: int
    connections: int
    pid: int = 0


class Backend:
    """Base class of clients of the node's own backend server."""

    def connect(self, announcement: Announcement):
        """Send later requests to the announced backend server."""
        raise NotImplementedError

    def serve(
        self, *, request: Request, token: str, timeout: float
    ) -> Deferred[Answer]:
        """Send a request with ``token`` as its context.

        The Deferred always fires with an Answer, at the latest after
        ``timeout`` seconds. The answer's verdict is NOT_RUN only if no byte
        of the request was sent, or if the backend server answered with
        status 503 and the verdict header not-run; the refusal is then
        CONNECTION_LOST or OVERLOADED.
        """
        raise NotImplementedError

    def probe(self) -> Deferred[None]:
        """Check that the announced server accepts connections.

        The Deferred fires with None, or fails with the error of the
        connection attempt. A client that cannot check reports success.
        """
        return succeed(None)

    def cancel(self, token: str):
        """Notify the backend server that a request was cancelled."""
        raise NotImplementedError
