"""Runs the complete request path with stand-ins and checks its guarantees.

    python -m experiments.demo

Progress goes to stderr. The last line on stdout is one JSON object. The
exit code is 1 if a guarantee was violated.
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
CALL_INTERVAL_SECONDS = 0.05
CALLER_TIMEOUT_SECONDS = 10.0
LOAD_BEFORE_CHANGES_SECONDS = 1.0
DRAIN_WATCH_SECONDS = 4.0
POLL_INTERVAL_SECONDS = 0.02
MAX_MANIFEST_SECONDS = 6.0
MAX_DRAIN_SECONDS = 3.0
NON_IDEMPOTENT = ("retire", "reorder")
KINDS = ("browse", "retire", "gate-check", "reorder", "browse")


@dataclass
class ResponseCounts:
    """Counts of the responses that all callers got; safe to share by threads.

    ``complete`` counts correct responses, ``wrong`` damaged ones and those to
    another request, ``refusals`` refusals by type, and ``unclear`` all other
    responses and connection errors.
    """

    sent: int = 0
    complete: int = 0
    wrong: int = 0
    unclear: int = 0
    refusals: Counter = field(default_factory=Counter)
    lock: Lock = field(default_factory=Lock)

    def record(self, status: int, headers: dict, body: bytes, target: str):
        """Count one response to the request for a target."""
        with self.lock:
            self.sent += 1
            if status == 200 and is_valid_response(body, target):
                self.complete += 1
            elif status == 200:
                self.wrong += 1
            elif is_refusal(headers, body):
                self.refusals[json.loads(body)["type"]] += 1
            else:
                self.unclear += 1


def is_refusal(headers: dict, body: bytes) -> bool:
    """Whether a response has the form of a refusal (docs/design.md)."""
    try:
        problem = json.loads(body)
        return (
            headers.get("content-type") == "application/problem+json"
            and problem["type"].startswith("urn:flamingosail:")
            and problem["verdict"] == headers["flamingosail-verdict"]
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        return False


def send_request(
    node: NodeProcess, target: str, headers: dict
) -> tuple[int, dict, bytes]:
    """Send one request to a node; return status, headers and body.

    On a connection error, status is 0 and the body is the error message.
    """
    connection = HTTPConnection(
        "127.0.0.1", node.callers_port, timeout=CALLER_TIMEOUT_SECONDS
    )
    try:
        connection.request("POST", target, b"", headers)
        response = connection.getresponse()
        body = response.read()
        lower_headers = {k.lower(): v for k, v in response.getheaders()}
        return response.status, lower_headers, body
    except OSError as error:
        return 0, {}, str(error).encode()
    finally:
        connection.close()


def issue_key(node: NodeProcess) -> str:
    """Return a new idempotency key issued by a node."""
    _, headers, _ = send_request(node, "/flamingosail/keys", {})
    return headers["idempotency-key"]


def call(
    counts: ResponseCounts, node: NodeProcess, kind: str, target: str, key=None
) -> bytes:
    """Send one request, count the response and return its body."""
    headers = {"Flamingosail-Kind": kind}
    if key is not None:
        headers["Idempotency-Key"] = key
    status, response_headers, body = send_request(node, target, headers)
    counts.record(status, response_headers, body, target)
    return body


def run_caller(
    number: int, counts: ResponseCounts, nodes: list[NodeProcess], stop: Event
):
    """Send requests to all nodes in turn until all are sent or stopped."""
    for sequence in range(CALLS_PER_CALLER):
        if stop.is_set():
            return
        node = nodes[(number + sequence * CALLERS) % len(nodes)]
        kind = KINDS[sequence % len(KINDS)]
        key = issue_key(node) if kind in NON_IDEMPOTENT else None
        call(counts, node, kind, f"/{kind}/{number}-{sequence}", key)
        stop.wait(CALL_INTERVAL_SECONDS)


def repeats_agree(counts: ResponseCounts, nodes: list[NodeProcess]) -> bool:
    """Send a retirement three times with one key.

    The third time it goes to a node in another failure domain. Returns
    whether all three responses are the same.
    """
    first = nodes[0]
    other = next(
        node for node in nodes if node.failure_domain != first.failure_domain
    )
    key = issue_key(first)
    bodies = {
        call(counts, node, "retire", "/retire/repeated", key)
        for node in (first, first, other)
    }
    return len(bodies) == 1


def publish_change(platform: Platform) -> float:
    """Publish a changed manifest; return seconds until all nodes use it."""
    document = deepcopy(platform.deployment.manifest)
    document["kinds"]["browse"]["importance"] = "low"
    return publish(platform, document)


def publish(platform: Platform, document: dict) -> float:
    """Publish a manifest; return seconds until all nodes use it.

    They include the start of the publisher process.

    :raises RuntimeError: if the manifest was not accepted.
    """
    begin = time.monotonic()
    report = platform.publish(document)
    if report["state"] != "accepted":
        raise RuntimeError(f"manifest was not accepted: {report}")
    platform.wait_for_manifest(report["version"])
    return time.monotonic() - begin


def count_started(node: NodeProcess) -> int:
    """Return the number of requests a node's backend server has started."""
    counts = get_json(node.server_port, "/stats")["counts"]
    return counts.get("started", 0)


def drain(node: NodeProcess) -> float:
    """Drain a server; return seconds until it started its last request."""
    previous, last_increase = count_started(node), 0.0
    begin = time.monotonic()
    post_json(node.server_port, "/control", {"drain": True})
    while (now := time.monotonic() - begin) < DRAIN_WATCH_SECONDS:
        current = count_started(node)
        if current > previous:
            last_increase = now
        previous = current
        time.sleep(POLL_INTERVAL_SECONDS)
    return last_increase


def log_progress(text: str, begin: float):
    """Print a line of progress with the seconds since ``begin``."""
    print(f"{time.monotonic() - begin:5.1f} s  {text}", file=sys.stderr)


def run_demo(platform: Platform, log: Callable[[str], None]) -> dict:
    """Run the demo on a platform; return the values to print."""
    log("starting 13 nodes with their backend servers, and the log service")
    platform.start()
    log("all nodes are ready; publishing the manifest")
    first_seconds = publish(platform, platform.deployment.manifest)
    log(f"in force everywhere after {first_seconds:.2f} s")
    counts, stop = ResponseCounts(), Event()
    nodes = list(platform.nodes.values())
    same_responses = repeats_agree(counts, nodes)
    log("sent a retirement three times with one key")
    drain_target = platform.nodes["histbook-0"]
    with ThreadPoolExecutor(CALLERS) as pool:
        callers = [
            pool.submit(run_caller, number, counts, nodes, stop)
            for number in range(CALLERS)
        ]
        try:
            time.sleep(LOAD_BEFORE_CHANGES_SECONDS)
            log(f"{counts.sent} requests sent; changing the manifest")
            manifest_seconds = publish_change(platform)
            before = count_started(drain_target)
            log(f"draining {drain_target.name} after {before} requests")
            drain_seconds = drain(drain_target)
            callers_busy = not any(caller.done() for caller in callers)
        finally:
            stop.set()
        for caller in callers:
            caller.result()
    log("callers ended; counting runs")
    runs = platform.runs()
    return {
        "sent": counts.sent,
        "whole_answers": counts.complete,
        "wrong_answers": counts.wrong,
        "non_idempotent_duplicates": sum(runs.values()) - len(runs),
        "manifest_seconds": round(max(first_seconds, manifest_seconds), 2),
        "drain_seconds": round(drain_seconds, 2),
        "refusals": dict(counts.refusals),
        "unclear": counts.unclear,
        "repeats_agree": same_responses,
        "load_until_end": callers_busy and before > 0,
        "non_idempotent_runs": sum(runs.values()),
    }


def guarantees_kept(result: dict) -> bool:
    """Whether the printed values show that all guarantees hold."""
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
    """Run the demo; return the exit code."""
    begin = time.monotonic()
    with Platform(helmet_ledger()) as platform:
        result = run_demo(platform, lambda text: log_progress(text, begin))
    log_progress("all processes ended", begin)
    print(json.dumps(result))
    return 0 if guarantees_kept(result) else 1


if __name__ == "__main__":
    sys.exit(main())
