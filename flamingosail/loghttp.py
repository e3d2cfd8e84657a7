"""Client of the log service over HTTP; see docs/log-protocol.md."""

from typing import TypeVar
from urllib.parse import quote

import treq
from msgspec import DecodeError
from msgspec import Struct
from msgspec import ValidationError
from msgspec.json import decode
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool

from flamingosail.errors import LogUnavailable
from flamingosail.logservice import LogPage
from flamingosail.logservice import LogRecord
from flamingosail.logservice import LogService

__all__ = ["HttpLogService"]

TIMEOUT_SECONDS = 2.0
# A page of 16 records of 2 MiB takes 43 MiB in base64.
MAX_RESPONSE_BYTES = 48 * 1024 * 1024
Body = TypeVar("Body", bound=Struct)


class AppendBody(Struct, frozen=True):
    """The response body of an append."""

    offset: int


class RecordBody(Struct, frozen=True):
    """One record of a page; ``data`` is base64 on the wire."""

    offset: int
    data: bytes


class PageBody(Struct, frozen=True):
    """The response body of a read."""

    first: int
    end: int
    records: tuple[RecordBody, ...]


class HttpLogService(LogService):
    """Reads and appends with one HTTP request each.

    ``timeout`` is in seconds and covers the request and the whole response.
    """

    def __init__(
        self,
        *,
        reactor: IReactorTime,
        url: str,
        timeout: float = TIMEOUT_SECONDS,
    ):
        self.reactor = reactor
        self.url = url.rstrip("/")
        self.timeout = timeout
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        # By default the pool retries GETs that fail on a cached connection.
        self.pool.retryAutomatically = False
        agent = Agent(reactor, connectTimeout=timeout, pool=self.pool)
        self.client = treq.client.HTTPClient(agent)

    def append(self, *, stream: str, data: bytes) -> Deferred[int]:
        """Append a record and return its offset."""
        deferred = self._send_request(
            "POST",
            stream,
            status=201,
            body_type=AppendBody,
            data=data,
            headers={"Content-Type": "application/octet-stream"},
        )
        return deferred.addCallback(lambda body: body.offset)

    def read(
        self, *, stream: str, offset: int, limit: int
    ) -> Deferred[LogPage]:
        """Return at most ``limit`` records from ``offset`` on."""
        deferred = self._send_request(
            "GET",
            stream,
            status=200,
            body_type=PageBody,
            params={"offset": str(offset), "limit": str(limit)},
        )
        return deferred.addCallback(_to_page)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return self.pool.closeCachedConnections()

    def _send_request(self, method: str, stream: str, **options) -> Deferred:
        url = f"{self.url}/streams/{quote(stream, safe='')}/records"
        deferred = self._send_and_decode(method, url, **options)
        deferred.addTimeout(self.timeout, self.reactor)
        return deferred.addErrback(_to_log_unavailable, method, url)

    @inlineCallbacks
    def _send_and_decode(
        self,
        method: str,
        url: str,
        *,
        status: int,
        body_type: type[Body],
        **options,
    ):
        response = yield self.client.request(method, url, **options)
        content = yield _read_body(response)
        if response.code != status:
            raise LogUnavailable(f"status {response.code}: {content[:200]!r}")
        return decode(content, type=body_type)


@inlineCallbacks
def _read_body(response):
    """Return the body, buffering at most MAX_RESPONSE_BYTES."""
    chunks, size = [], 0

    def add_chunk(chunk: bytes):
        nonlocal size
        size += len(chunk)
        if size <= MAX_RESPONSE_BYTES:
            chunks.append(chunk)
        else:
            chunks.clear()

    yield treq.collect(response, add_chunk)
    if size > MAX_RESPONSE_BYTES:
        raise LogUnavailable(f"response exceeds {MAX_RESPONSE_BYTES} bytes")
    return b"".join(chunks)


def _to_page(body: PageBody) -> LogPage:
    offsets = [record.offset for record in body.records]
    start = offsets[0] if offsets else body.first
    if (
        offsets != list(range(start, start + len(offsets)))
        or not 0 <= body.first <= start
        or start + len(offsets) > body.end
    ):
        raise LogUnavailable("page has gaps or offsets out of range")
    return LogPage(
        first=body.first,
        end=body.end,
        records=tuple(
            LogRecord(offset=record.offset, data=record.data)
            for record in body.records
        ),
    )


def _to_log_unavailable(failure: Failure, method: str, url: str):
    if failure.check(LogUnavailable):
        return failure
    if failure.check(DecodeError, ValidationError, UnicodeDecodeError):
        reason = f"malformed response: {failure.getErrorMessage()}"
    else:
        reason = failure.getErrorMessage() or failure.type.__name__
    raise LogUnavailable(f"{method} {url}: {reason}") from failure.value
