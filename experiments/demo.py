"""Runs the whole path with stand-ins and checks what it promises.

    python -m experiments.demo

Progress goes to stderr. The last line on stdout is one JSON object. The
exit code is 1 if a promise was broken.
"""

import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from copy import deepcopy
from dataclasses import dataclass
from dataclasses import field
from http.client import HTTPConnection
from threading import Event
from threading import Lock

from experiments.deployments import helmet_ledger
from experiments.processes import get_json
from experiments.processes import NodeProcess
from experiments.processes import Platform
from experiments.processes import post_json
from standins.workload import is_valid_response

__all__ = ["main"]

CALLERS = 6
CALLS_PER_CALLER = 120
PAUSE_SECONDS = 0.05
CALLER_TIMEOUT_SECONDS = 10.0
WARM_UP_SECONDS = 1.0
DRAIN_WATCH_SECONDS = 4.0
POLL_SECONDS = 0.02
MAX_MANIFEST_SECONDS = 6.0
MAX_DRAIN_SECONDS = 3.0
NON_IDEMPOTENT = ("retire", "reorder")
KINDS = ("browse", "retire", "gate-check", "reorder", "browse")


@dataclass
class Count:
    """What the callers saw; shared by their threads."""

    sent: int = 0
    whole: int = 0
    wrong: int = 0
    unclear: int = 0
    refusals: Counter = field(default_factory=Counter)
    lock: Lock = field(default_factory=Lock)

    def add(self, status: int, headers: dict, body: bytes, target: str):
        """Sort one answer."""
        with self.lock:
            self.sent += 1
            if status == 200 and is_valid_response(body, target):
                self.whole += 1
            elif status == 200:
                self.wrong += 1
            elif is_refusal(headers, body):
                self.refusals[json.loads(body)["type"]] += 1
            else:
                self.unclear += 1


def is_refusal(headers: dict, body: bytes) -> bool:
    """Whether an answer is a refusal as the design page describes it."""
    try:
        problem = json.loads(body)
        return (
            headers.get("content-type") == "application/problem+json"
            and problem["type"].startswith("urn:flamingosail:")
            and problem["verdict"] == headers["flamingosail-verdict"]
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return False


def ask(
    node: NodeProcess, target: str, headers: dict
) -> tuple[int, dict, bytes]:
    """Send one request to a node; an error gives status 0."""
    connection = HTTPConnection(
        "127.0.0.1", node.callers_port, timeout=CALLER_TIMEOUT_SECONDS
    )
    try:
        connection.request("POST", target, b"", headers)
        answer = connection.getresponse()
        body = answer.read()
        names = {k.lower(): v for k, v in answer.getheaders()}
        return answer.status, names, body
    except OSError as error:
        return 0, {}, str(error).encode()
    finally:
        connection.close()


def issue_key(node: NodeProcess) -> str:
    """Return a fresh key of a node."""
    _, headers, _ = ask(node, "/flamingosail/keys", {})
    return headers["idempotency-key"]


def call(
    count: Count, node: NodeProcess, kind: str, target: str, key=None
) -> bytes:
    """Send one request, count its answer and return the body."""
    headers = {"Flamingosail-Kind": kind}
    if key is not None:
        headers["Idempotency-Key"] = key
    status, answer, body = ask(node, target, headers)
    count.add(status, answer, body, target)
    return body


def run_caller(
    number: int, count: Count, nodes: list[NodeProcess], stop: Event
):
    """Send requests to changing nodes until stopped or all are sent."""
    for turn in range(CALLS_PER_CALLER):
        if stop.is_set():
            return
        node = nodes[(number + turn * CALLERS) % len(nodes)]
        kind = KINDS[turn % len(KINDS)]
        key = issue_key(node) if kind in NON_IDEMPOTENT else None
        call(count, node, kind, f"/{kind}/{number}-{turn}", key)
        stop.wait(PAUSE_SECONDS)


def check_repeats(count: Count, nodes: list[NodeProcess]) -> bool:
    """Repeat a retirement at its node and in another failure domain.

    Returns whether all three answers are the same.
    """
    first = nodes[0]
    other = next(
        node for node in nodes if node.failure_domain != first.failure_domain
    )
    key = issue_key(first)
    bodies = {
        call(count, node, "retire", "/retire/repeated", key)
        for node in (first, first, other)
    }
    return len(bodies) == 1


def change_manifest(platform: Platform) -> float:
    """Publish another manifest; return seconds until all nodes have it."""
    document = deepcopy(platform.deployment.manifest)
    document["kinds"]["browse"]["importance"] = "low"
    return publish(platform, document)


def publish(platform: Platform, document: dict) -> float:
    """Publish; return seconds until all nodes have it in force.

    They include the start of the console script.

    :raises RuntimeError: if the manifest was not accepted.
    """
    begin = time.monotonic()
    report = platform.publish(document)
    if report["state"] != "accepted":
        raise RuntimeError(f"manifest was not accepted: {report}")
    platform.wait_for_manifest(report["version"])
    return time.monotonic() - begin


def started(node: NodeProcess) -> int:
    """Return how many requests the node's backend server has started."""
    counts = get_json(node.server_port, "/stats")["counts"]
    return counts.get("started", 0)


def drain(node: NodeProcess) -> float:
    """Drain a server; return seconds until its last new request."""
    known, last = started(node), 0.0
    begin = time.monotonic()
    post_json(node.server_port, "/control", {"drain": True})
    while (now := time.monotonic() - begin) < DRAIN_WATCH_SECONDS:
        seen = started(node)
        if seen > known:
            last = now
        known = seen
        time.sleep(POLL_SECONDS)
    return last


def say(text: str, begin: float):
    """Write a line of progress."""
    print(f"{time.monotonic() - begin:5.1f} s  {text}", file=sys.stderr)


def measure(platform: Platform, tell: Callable[[str], None]) -> dict:
    """Run the demo on an empty platform and return the last line."""
    tell("starting 13 nodes with their backend servers, and the log")
    platform.start()
    tell("all nodes are ready; publishing the manifest")
    first_seconds = publish(platform, platform.deployment.manifest)
    tell(f"in force everywhere after {first_seconds:.2f} s")
    count, stop = Count(), Event()
    nodes = list(platform.nodes.values())
    same = check_repeats(count, nodes)
    tell("a retirement was sent three times with one key")
    leaving = platform.nodes["histbook-0"]
    with ThreadPoolExecutor(CALLERS) as pool:
        callers = [
            pool.submit(run_caller, number, count, nodes, stop)
            for number in range(CALLERS)
        ]
        try:
            time.sleep(WARM_UP_SECONDS)
            tell(f"{count.sent} requests sent; changing the manifest")
            manifest_seconds = change_manifest(platform)
            before = started(leaving)
            tell(f"draining {leaving.name} after {before} requests")
            drain_seconds = drain(leaving)
            busy = not any(caller.done() for caller in callers)
        finally:
            stop.set()
        for caller in callers:
            caller.result()
    tell("callers ended; counting runs")
    runs = platform.runs()
    return {
        "sent": count.sent,
        "whole_answers": count.whole,
        "wrong_answers": count.wrong,
        "non_idempotent_duplicates": sum(runs.values()) - len(runs),
        "manifest_seconds": round(max(first_seconds, manifest_seconds), 2),
        "drain_seconds": round(drain_seconds, 2),
        "refusals": dict(count.refusals),
        "unclear": count.unclear,
        "repeats_agree": same,
        "load_until_end": busy and before > 0,
        "non_idempotent_runs": sum(runs.values()),
    }


def kept(result: dict) -> bool:
    """Whether all promises were kept."""
    return (
        result["wrong_answers"] == 0
        and result["non_idempotent_duplicates"] == 0
        and result["unclear"] == 0
        and result["whole_answers"] > 0
        and result["non_idempotent_runs"] > 0
        and result["manifest_seconds"] <= MAX_MANIFEST_SECONDS
        and result["drain_seconds"] <= MAX_DRAIN_SECONDS
        and result["repeats_agree"]
        and result["load_until_end"]
    )


def main() -> int:
    """Run the demo and return the exit code."""
    begin = time.monotonic()
    with Platform(helmet_ledger()) as platform:
        result = measure(platform, lambda text: say(text, begin))
    say("all processes ended", begin)
    print(json.dumps(result))
    return 0 if kept(result) else 1


if __name__ == "__main__":
    sys.exit(main())
