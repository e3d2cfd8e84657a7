"""The backend server as the decision core sees it."""

from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from flamingosail.request import Answer
from flamingosail.request import Request

__all__ = ["Announcement", "Backend"]


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a backend server says of itself when it starts.

    ``slots`` is how many requests it serves at a time, ``connections`` how
    many connections it accepts. ``pid`` tells a server that was restarted
    at the same port from one that repeats its announcement.
    """

    service: str
    host: str
    port: int
    slots: int
    connections: int
    pid: int = 0


class Backend:
    """Base of the clients of the node's own backend server."""

    def connect(self, announcement: Announcement):
        """Use the backend server that announced itself."""
        raise NotImplementedError

    def serve(
        self, *, request: Request, token: str, timeout: float
    ) -> Deferred[Answer]:
        """Send a request, with ``token`` as its context, and wait.

        The Deferred always fires with an Answer, at the latest after
        ``timeout`` seconds. The answer's verdict is NOT_RUN only if no byte
        of the request was sent, or if the backend server answered with
        status 503 and the verdict header not-run; the refusal is then
        CONNECTION_LOST or OVERLOADED.
        """
        raise NotImplementedError

    def probe(self) -> Deferred[None]:
        """Open a connection to the announced server and close it.

        The Deferred fires with None, or fails with the error of the
        connection attempt. A client that cannot tell reports success.
        """
        return succeed(None)

    def cancel(self, token: str):
        """Tell the backend server that nobody waits for a request."""
        raise NotImplementedError
