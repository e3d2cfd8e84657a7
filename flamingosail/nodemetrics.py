"""Registers the counters of the services under their metric names."""

from functools import partial

from flamingosail.callerhttp import CallerListener
from flamingosail.metrics import ANSWERS_BAD
from flamingosail.metrics import ANSWERS_LATE
from flamingosail.metrics import CALLS_DUPLICATE
from flamingosail.metrics import CALLS_EXPIRED
from flamingosail.metrics import CALLS_REFUSED
from flamingosail.metrics import CALLS_REFUSED_EARLY
from flamingosail.metrics import CALLS_RETRIED
from flamingosail.metrics import CALLS_SENT
from flamingosail.metrics import CALLS_SERVED
from flamingosail.metrics import KEYS_ISSUED
from flamingosail.metrics import MEMBERS_SUSPECTED
from flamingosail.metrics import Metrics
from flamingosail.metrics import ROOT_TIME
from flamingosail.metrics import ROOTS_ANSWERED
from flamingosail.metrics import ROOTS_ENTERED
from flamingosail.metrics import ROOTS_REFUSED
from flamingosail.metrics import SENDS_FAILED
from flamingosail.node import Node

__all__ = ["register_node_counters"]


def register_node_counters(
    metrics: Metrics, node: Node, callers: CallerListener
):
    """Register the counters of a node and its caller listener.

    They are read once a second, which adds no work to a call.
    """
    get = node.kernel.get
    egress, exchange, ingress = get("egress"), get("exchange"), node.ingress
    counters = {
        ROOTS_ENTERED: (node.entrance, "requests"),
        ROOTS_ANSWERED: (callers, "answered"),
        ROOTS_REFUSED: (callers, "refused"),
        CALLS_SENT: (egress, "attempts"),
        CALLS_RETRIED: (egress, "retried"),
        CALLS_REFUSED_EARLY: (egress.pressure, "refused"),
        CALLS_SERVED: (ingress, "served"),
        CALLS_REFUSED: (ingress.admission, "refused"),
        CALLS_EXPIRED: (ingress.queue, "expired"),
        CALLS_DUPLICATE: (ingress.replay, "duplicates"),
        ANSWERS_LATE: (exchange, "stray_answers"),
        ANSWERS_BAD: (exchange, "damaged_answers"),
        SENDS_FAILED: (node.transport, "failed_sends"),
        KEYS_ISSUED: (get("keys"), "issued"),
        MEMBERS_SUSPECTED: (node.gossip, "suspected"),
    }
    for name, (owner, attribute) in counters.items():
        metrics.register_counter(name, partial(getattr, owner, attribute))
    callers.on_finished = partial(metrics.timing, ROOT_TIME)
