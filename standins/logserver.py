"""Stand-in for the platform's log service; see docs/log-protocol.md."""

import json
import re
from argparse import ArgumentParser
from base64 import b64encode
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from klein import Klein
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

__all__ = ["Controls", "LogServer", "main"]

MAX_RECORD_BYTES = 2 * 1024 * 1024
MAX_PAGE_RECORDS = 1000
MAX_PAGE_BYTES = 32 * 1024 * 1024
STREAM_NAME = re.compile(r"[A-Za-z0-9_-]+")


@dataclass(frozen=True, slots=True)
class Controls:
    """Faults and limits that can be changed over HTTP."""

    retention: float
    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0


@dataclass(slots=True)
class Stream:
    """The retained records of a stream, each with the time of its append.

    ``first`` is the offset of the first retained record.
    """

    first: int = 0
    records: list[tuple[float, bytes]] = field(default_factory=list)

    @property
    def end(self) -> int:
        """The offset of the next append."""
        return self.first + len(self.records)

    def trim(self, cutoff: float):
        """Remove the records that were appended before ``cutoff``."""
        count = 0
        while count < len(self.records) and self.records[count][0] < cutoff:
            count += 1
        del self.records[:count]
        self.first += count

    def page(self, offset: int, limit: int) -> dict:
        """Return the response to a read, limited to MAX_PAGE_BYTES of data.

        It has at least one record if there is one at or after ``offset``.
        """
        start = max(offset, self.first)
        records, size = [], 0
        for index in range(start, min(self.end, start + limit)):
            data = self.records[index - self.first][1]
            size += len(data)
            if records and size > MAX_PAGE_BYTES:
                break
            records.append({"offset": index, "data": b64encode(data).decode()})
        return {"first": self.first, "end": self.end, "records": records}


class LogServer:
    """Keeps streams in memory and serves them over HTTP."""

    app = Klein()

    def __init__(self, *, clock: IReactorTime, retention: float):
        self.clock = clock
        self.controls = Controls(retention=retention)
        self.streams: dict[str, Stream] = {}

    def site(self) -> Site:
        """Return the twisted Site of the HTTP server."""
        return Site(self.app.resource(), reactor=self.clock)

    @app.route("/streams/<name>/records", methods=["POST"])
    def append(self, request, name):
        """Append the request's body as a record."""
        if self.controls.down:
            return self._respond(request, 503, {"error": "log is down"})
        if not STREAM_NAME.fullmatch(name):
            return self._respond(request, 404, {"error": "invalid stream"})
        data = request.content.read()
        if len(data) > MAX_RECORD_BYTES:
            return self._respond(request, 413, {"error": "record too large"})
        stream = self._stream(name)
        stream.records.append((self.clock.seconds(), data))
        if self.controls.lose_answers:
            self.controls = replace(
                self.controls, lose_answers=self.controls.lose_answers - 1
            )
            request.transport.abortConnection()
            return NOT_DONE_YET
        return self._respond(request, 201, {"offset": stream.end - 1})

    @app.route("/streams/<name>/records", methods=["GET"])
    def read(self, request, name):
        """Return a page of records."""
        if self.controls.down:
            return self._respond(request, 503, {"error": "log is down"})
        if not STREAM_NAME.fullmatch(name):
            return self._respond(request, 404, {"error": "invalid stream"})
        try:
            offset = int(request.args[b"offset"][0])
            limit = int(request.args[b"limit"][0])
        except (KeyError, ValueError):
            offset = limit = -1
        if offset < 0 or not 1 <= limit <= MAX_PAGE_RECORDS:
            return self._respond(request, 400, {"error": "invalid arguments"})
        page = self._stream(name).page(offset, limit)
        return self._respond(request, 200, page)

    @app.route("/control", methods=["GET"])
    def get_controls(self, request):
        """Return the controls."""
        return self._encode_response(request, 200, asdict(self.controls))

    @app.route("/control", methods=["PUT"])
    def put_controls(self, request):
        """Change the controls that the request's JSON object names."""
        try:
            changes = json.loads(request.content.read())
            self.controls = replace(self.controls, **changes)
        except (TypeError, ValueError) as error:
            return self._encode_response(request, 400, {"error": str(error)})
        return self.get_controls(request)

    def _stream(self, name: str) -> Stream:
        stream = self.streams.setdefault(name, Stream())
        stream.trim(self.clock.seconds() - self.controls.retention)
        return stream

    def _respond(self, request, status: int, body: dict):
        if not self.controls.delay:
            return self._encode_response(request, status, body)
        return deferLater(
            self.clock,
            self.controls.delay,
            self._encode_response,
            request,
            status,
            body,
        )

    def _encode_response(self, request, status: int, body: dict) -> bytes:
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        return json.dumps(body).encode()


def main():
    """Serve until interrupted."""
    from twisted.internet import reactor

    parser = ArgumentParser(prog="python -m standins.logserver")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--retention", type=float, default=3600.0)
    arguments = parser.parse_args()
    server = LogServer(clock=reactor, retention=arguments.retention)
    port = reactor.listenTCP(
        arguments.port, server.site(), interface="127.0.0.1"
    )
    print(json.dumps({"port": port.getHost().port}), flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
