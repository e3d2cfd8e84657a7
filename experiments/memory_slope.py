"""Measures how the memory of a node's tables and sockets grows.

Run as ``python -m experiments.memory_slope``. Each table is filled to several
sizes, each in a new interpreter; a JSON line states the resident memory at
each size and the slope in bytes per entry.
"""

import json
import os
import subprocess
import sys
from collections.abc import Callable
from random import Random

from twisted.internet import reactor
from twisted.internet.task import Clock

from flamingosail.keys import Key
from flamingosail.keys import KeyTable
from flamingosail.membership import MemberTable
from flamingosail.messages import Cancel
from flamingosail.messages import MemberRecord
from flamingosail.replay import ReplayWindow
from flamingosail.request import Answer
from flamingosail.routing import Router
from flamingosail.verdict import Verdict
from flamingosail.zmqtransport import ZmqTransport

__all__ = ["main"]

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
ANSWER_BODY_BYTES = 200


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def record(index: int) -> MemberRecord:
    """Return a member record with names of realistic length."""
    return MemberRecord(
        node=f"failure-domain-{index % 5}-service-{index % 82}-{index}",
        incarnation=f"failure-domain-{index % 5}-service-{index % 82}-"
        f"{index}~{index:016x}",
        version=2,
        address=f"10.0.{index // 250}.{index % 250}:7400",
        failure_domain=f"failure-domain-{index % 5}",
        region=f"region-{index % 2}",
        service=f"service-{index % 82}",
        state="ready",
    )


def fill_keys(number: int):
    """Start a run for each of many keys and store a small response."""
    table = KeyTable(clock=Clock(), random=Random(1), incarnation="node-1~1")
    for index in range(number):
        key = Key.parse(table.issue())
        _, entry = table.get_or_create(key, f"{index:016x}")
        entry.start_run()
        body = index.to_bytes(4, "big") * (ANSWER_BODY_BYTES // 4)
        table.finish(Answer(verdict=Verdict.RAN, status=200, body=body), entry)
    return table


def fill_replay_window(number: int):
    """Accept 9 calls from each of many senders."""
    window = ReplayWindow()
    for index in range(number):
        for call_id in range(5000, 5000 + 9 * 400, 400):
            window.accept(record(index).incarnation, call_id)
    return window


def fill_members(number: int):
    """Fill a member table and keep load statistics of each server."""
    table = MemberTable(own_record=record(0), clock=Clock())
    table.merge([record(index) for index in range(1, number)])
    router = Router(
        clock=Clock(),
        random=Random(1),
        members=table,
        failure_domain="failure-domain-0",
        region="region-0",
    )
    for member in table.live():
        router.record_sent(member)
        router.record_finished(
            member, seconds=0.01, failed=False, refused=False
        )
    return router


def fill_sockets(number: int):
    """Open connections to many addresses that share one PULL socket."""
    receiver = ZmqTransport(reactor=reactor, address="0.0.0.0:0")
    receiver.start()
    port = receiver.address.rpartition(":")[2]
    sender = ZmqTransport(reactor=reactor, address="127.0.0.1:0")
    sender.start()
    for index in range(number):
        address = f"127.0.{index // 250}.{index % 250 + 1}:{port}"
        sender.send(address, Cancel(sender="node-1~1", call_id=index))
    reactor.callLater(2.0, reactor.stop)
    reactor.run()
    return receiver, sender


SLOPES: dict[str, tuple[Callable, tuple[int, ...]]] = {
    "keys": (fill_keys, (0, 10_000, 25_000, 50_000)),
    "replay_senders": (fill_replay_window, (0, 100, 250, 500)),
    "members": (fill_members, (1, 100, 250, 500)),
    "peer_sockets": (fill_sockets, (0, 25, 50, 100, 200)),
}


def measure(name: str, number: int):
    """Print the resident memory with a table of the given size, and exit."""
    fill, _ = SLOPES[name]
    table = fill(number)
    print(resident_bytes())
    del table
    sys.stdout.flush()
    os._exit(0)


def slope(sizes: tuple[int, ...], values: list[int]) -> float:
    """Return the least-squares slope of values over sizes."""
    mean_x = sum(sizes) / len(sizes)
    mean_y = sum(values) / len(values)
    pairs = list(zip(sizes, values, strict=True))
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in pairs)
    return covariance / sum((x - mean_x) ** 2 for x in sizes)


def main():
    """Measure all slopes, or one point if a child process is asked to."""
    if len(sys.argv) == 3:
        measure(sys.argv[1], int(sys.argv[2]))
        return
    for name, (_, sizes) in SLOPES.items():
        values = [
            int(
                subprocess.run(
                    [sys.executable, "-m", __spec__.name, name, str(size)],
                    check=True,
                    capture_output=True,
                    text=True,
                ).stdout
            )
            for size in sizes
        ]
        print(
            json.dumps(
                {
                    "table": name,
                    "sizes": sizes,
                    "resident_mb": [round(v / 1e6, 1) for v in values],
                    "bytes_per_entry": round(slope(sizes, values)),
                }
            )
        )


if __name__ == "__main__":
    main()
