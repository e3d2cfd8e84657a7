"""Crowds of clients that hold bytes at a node, against real processes.

Each crowd keeps to the limits on single requests. The node may refuse its
requests or close its connections, but no process may end or exceed its memory
or its descriptors, and an ordinary request must be answered while the crowd is
connected.
"""

import json
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from flamingosail_platform.store import encode_record
from flamingosail_platform.store import Record

from experiments.platformcluster import Cluster
from experiments.platformcluster import configuration
from experiments.platformcluster import HOST
from tests.test_platform_process import call
from tests.test_platform_process import ClusterTest

MEMORY_MB = 120
MAX_FDS = 360
MAX_BODY_BYTES = 8 * 1024 * 1024
BODY_BYTES = 4_000_000
CROWD = 40
# Clients whose connection ends come back this often in all.
ROUNDS = 3
SOCKET_TIMEOUT_SECONDS = 3.0
# A crowd stays connected until all its clients have sent what they can; the
# sampled memory may peak after that.
SETTLE_SECONDS = 1.0


def head(name: str, length: str, target: str = "/order/a") -> bytes:
    """Return the head of a POST request with a body."""
    return (
        f"POST {target} HTTP/1.1\r\nHost: soak.example\r\n"
        f"Flamingosail-Request-Id: {name}\r\n{length}\r\n\r\n"
    ).encode()


def whole_body(name: str) -> Iterator[bytes]:
    """Yield a complete request with a large body."""
    yield head(name, f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES)


def unfinished_body(name: str) -> Iterator[bytes]:
    """Yield a request whose body lacks its last byte."""
    yield head(name, f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES - 1)


def unfinished_pieces(name: str) -> Iterator[bytes]:
    """Yield the same request in pieces of 1 kB."""
    yield head(name, f"Content-Length: {BODY_BYTES}")
    for _ in range(BODY_BYTES // 1000 - 1):
        yield bytes(1000)


def chunked_body(name: str, chunk: bytes) -> Iterator[bytes]:
    """Yield a chunked request without its last chunk."""
    yield head(name, "Transfer-Encoding: chunked")
    piece = b"%x\r\n%s\r\n" % (len(chunk), chunk)
    count = max(1, 60_000 // len(piece))
    for _ in range(BODY_BYTES // (len(chunk) * count)):
        yield piece * count


def large_chunks(name: str) -> Iterator[bytes]:
    """Yield an unfinished request in chunks of 60 kB."""
    return chunked_body(name, bytes(60_000))


def small_chunks(name: str) -> Iterator[bytes]:
    """Yield an unfinished request in chunks of 2 bytes.

    The interpreter shares the objects of single bytes, not those of two.
    """
    return chunked_body(name, b"xy")


def single_byte_chunks(name: str) -> Iterator[bytes]:
    """Yield an unfinished request in chunks of 1 byte."""
    return chunked_body(name, b"x")


def requests_ahead(name: str) -> Iterator[bytes]:
    """Yield safe requests whose responses are not read."""
    for number in range(300):
        yield (
            f"GET /read/a HTTP/1.1\r\nHost: soak.example\r\n"
            f"Flamingosail-Request-Id: {name}-{number}\r\n\r\n"
        ).encode()


def bodies_ahead(name: str) -> Iterator[bytes]:
    """Yield requests with bodies, one behind the other."""
    for number in range(100):
        yield head(f"{name}-{number}", "Content-Length: 200000", "/read/a")
        yield bytes(200_000)


def nothing(name: str) -> Iterator[bytes]:
    """Yield nothing; the connection stays idle."""
    yield b""


def unfinished_head(name: str) -> Iterator[bytes]:
    """Yield the start of a request."""
    yield head(name, "Content-Length: 1")[:60]


class Crowd:
    """Clients that send at the same time, read nothing and stay connected."""

    def __init__(self, *, port: int, pieces, clients: int, rounds: int):
        self.port = port
        self.pieces = pieces
        self.rounds = rounds
        self.sockets: list[socket.socket] = []
        self.threads = [
            threading.Thread(target=self.run, args=(number,))
            for number in range(clients)
        ]

    def run(self, number: int):
        """Send a request, again on a new connection if the old one ends."""
        for attempt in range(self.rounds):
            connection = socket.socket()
            self.sockets.append(connection)
            connection.settimeout(SOCKET_TIMEOUT_SECONDS)
            try:
                connection.connect((HOST, self.port))
                name = f"crowd-{time.time_ns()}-{number}-{attempt}"
                for piece in self.pieces(name):
                    connection.sendall(piece)
                return
            except TimeoutError:
                return
            except OSError:
                connection.close()

    def press(self):
        """Start all clients and wait until none can send any more."""
        for thread in self.threads:
            thread.start()
        for thread in self.threads:
            thread.join()
        time.sleep(SETTLE_SECONDS)

    def leave(self):
        """Close all connections."""
        for connection in self.sockets:
            with suppress(OSError):
                connection.close()


class CrowdTest(ClusterTest):
    """Guards against a process that runs out of memory or descriptors."""

    layout = {"front": 1, "deep": 1}
    response_bytes = 0
    settings = {"limits.memoryMb": MEMORY_MB, "limits.maxFds": MAX_FDS}

    def setUp(self):
        super().setUp()
        self.wait_until_served()

    def create_cluster(self) -> Cluster:
        return Cluster(layout=self.layout, settings=self.settings)

    def start_servers(self):
        for name in self.cluster.vms:
            self.cluster.start_server(
                name,
                slots=8,
                work_seconds=0.1,
                response_bytes=self.response_bytes,
            )

    def publish_configuration(self, version: int) -> bool:
        document = configuration(version, "front", "deep")
        document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        record = Record(key="config", value=json.dumps(document).encode())
        path = "/v1/log-append?topic=keyed.op&part=0"
        port = self.cluster.store_port
        return call(port, path, body=encode_record(record))[0] == 200

    def node_file(self, name: str, file: str) -> Path:
        pid = self.cluster.processes[f"node-{name}"].pid
        return Path(f"/proc/{pid}/{file}")

    def assert_bounds(self):
        """Check that each node lives and keeps its limits."""
        for name in self.cluster.vms:
            process = self.cluster.processes[f"node-{name}"]
            self.assertIsNone(process.poll(), self.cluster.output(name))
            status = self.node_file(name, "status").read_text()
            peak = int(status.partition("VmHWM:")[2].split()[0]) * 1024
            self.assertLess(peak, MEMORY_MB * 10**6, name)
            descriptors = len(list(self.node_file(name, "fd").iterdir()))
            self.assertLess(descriptors, MAX_FDS, name)

    def withstand(self, pieces, *, clients: int = CROWD, rounds: int = ROUNDS):
        """Let a crowd press on a node whose requests go to another one."""
        vm = self.cluster.vms["deep-0"]
        crowd = Crowd(
            port=vm.clients, pieces=pieces, clients=clients, rounds=rounds
        )
        self.addCleanup(crowd.leave)
        crowd.press()
        self.assert_bounds()
        self.wait_until_served()
        crowd.leave()
        self.wait_until_served()
        self.assert_bounds()


class BodyCrowdTest(CrowdTest):
    """Many large bodies at once."""

    def test_whole_bodies(self):
        self.withstand(whole_body)

    def test_bodies_that_stop_short_of_their_end(self):
        self.withstand(unfinished_body)

    def test_bodies_in_pieces_that_stop_short_of_their_end(self):
        self.withstand(unfinished_pieces)

    def test_large_chunks_that_stop_short_of_their_end(self):
        self.withstand(large_chunks)

    def test_small_chunks_that_stop_short_of_their_end(self):
        self.withstand(small_chunks)

    def test_chunks_of_one_byte_that_stop_short_of_their_end(self):
        self.withstand(single_byte_chunks)

    def test_requests_with_bodies_sent_ahead(self):
        self.withstand(bodies_ahead, clients=8)

    def test_one_large_request_is_served_in_calm(self):
        vm = self.cluster.vms["deep-0"]
        body = bytes(BODY_BYTES)
        status, *_ = self.request(vm, "/order/a", "large", body)
        self.assertEqual(200, status)
        self.assert_bounds()


class UnreadResponseTest(CrowdTest):
    """Many responses that their clients do not read."""

    response_bytes = 500_000

    def test_requests_sent_ahead_whose_responses_are_not_read(self):
        self.withstand(requests_ahead, clients=8)


class ConnectionCrowdTest(CrowdTest):
    """Many connections that do nothing."""

    def test_idle_connections(self):
        self.withstand(nothing, clients=2 * MAX_FDS, rounds=1)

    def test_unfinished_heads(self):
        self.withstand(unfinished_head, clients=2 * MAX_FDS, rounds=1)
