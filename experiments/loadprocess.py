"""Runs the load generator in a process of its own.

Reads a plan as JSON from standard input and prints the results as one JSON
object. ``start_at`` of the plan is a time of the monotonic clock, which
all processes of a machine share.
"""

import gc
import json
import sys
import time

from flamingosail.load import LoadGenerator
from flamingosail.load import LoadKind
from flamingosail.load import LoadRequest
from flamingosail.load import NodeClient
from flamingosail.load import Phase
from flamingosail.reactorclock import use_monotonic_time
from standins.workload import is_valid_response

__all__ = ["main"]


def main():
    """Read the plan, send its load and print the results."""
    from twisted.internet import reactor

    use_monotonic_time(reactor)
    plan = json.load(sys.stdin)
    not_run: list[str] = []

    def on_end(request: LoadRequest):
        if request.last_outcome.verdict == "not-run":
            not_run.append(request.target)

    generator = LoadGenerator(
        clock=reactor,
        clients=[
            NodeClient(reactor=reactor, host="127.0.0.1", port=port)
            for port in plan["ports"]
        ],
        kinds=[LoadKind(**kind) for kind in plan["kinds"]],
        phases=[Phase(**phase) for phase in plan["phases"]],
        check=is_valid_response,
        seed=plan["seed"],
        retries=plan["retries"],
        attempt_timeout=plan["attempt_timeout"],
        on_end=on_end,
    )

    def start_load():
        gc.freeze()
        generator.start().addCallback(lambda _: reactor.stop())

    def schedule():
        reactor.callLater(
            max(0.0, plan["start_at"] - time.monotonic()), start_load
        )

    reactor.callWhenRunning(schedule)
    reactor.run()
    results = generator.results.as_dict()
    print(json.dumps({**results, "not_run": not_run}))


if __name__ == "__main__":
    main()
