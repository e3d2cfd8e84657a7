"""Clients that come back after a refusal at the entry node.

A refused client repeats its request once, on a new connection and with a new
id. It is recognized by the fingerprint of its request, so that it is not
refused again in favour of a new arrival. Each refusal reserves at most one
admission, however often the same request is sent.
"""

from collections import deque
from random import Random

from twisted.internet.interfaces import IReactorTime

__all__ = ["ReturningClients"]

# Bounds the memory; the oldest reservations are dropped.
MAX_RESERVATIONS = 10_000
# Clients come back up to this long after the time they were given, because of
# connection setup and their own timers.
GRACE_SECONDS = 0.5
# A client that comes back sooner than this part of Retry-After counts as new.
EARLY_SHARE = 0.8
# Reserved admissions take at most this part of a route's admitted requests.
# With more, every client of a long overload would be refused once first.
RETURN_SHARE = 0.5
# Clients wait for at most a third of the time they have left.
MAX_WAIT_SHARE = 0.33
# Where clients expect an answer within a time, they return within this part
# of it, unless hardly any request of the route is admitted now.
TARGET_WAIT_SHARE = 0.6
SCARCE_SHARE = 0.1
# A client with a reservation returns soon, so that its answer is still of use.
MAX_RESERVED_SECONDS = 1.0
MIN_WAIT_SECONDS = 0.02


class ReturningClients:
    """Return times of refused clients and the admissions reserved for them.

    ``by_fingerprint`` holds the times ``(earliest, latest)`` between which
    each reservation can be used.
    """

    def __init__(self, *, clock: IReactorTime, random: Random):
        self.clock = clock
        self.random = random
        self.by_fingerprint: dict[int, deque[tuple[float, float]]] = {}
        self.order: deque[tuple[float, int]] = deque()
        self.credits: dict[int, float] = {}
        self.reserved = 0
        self.redeemed = 0

    def __len__(self) -> int:
        return len(self.order)

    def invite(
        self,
        key: int,
        fingerprint: int,
        *,
        share: float,
        remaining: float,
        target: float | None = None,
    ) -> float:
        """Return how many seconds a refused client should wait.

        ``key`` is that of the route, ``share`` its admitted share and
        ``remaining`` the seconds that the client has left. ``target`` is the
        time in seconds within which it expects an answer, if known. As many
        clients as the route has room for get a reservation; the others wait
        as long as they can, since no room is expected sooner.
        """
        longest = max(0.0, remaining) * MAX_WAIT_SHARE
        if target is not None and share >= SCARCE_SHARE:
            longest = min(longest, target * TARGET_WAIT_SHARE)
        credit = self.credits.get(key, 0.0) + min(
            1.0, RETURN_SHARE * share / max(0.01, 1.0 - share)
        )
        if credit < 1.0:
            self.credits[key] = credit
            return max(
                MIN_WAIT_SECONDS, longest * self.random.uniform(0.6, 1.0)
            )
        self.credits[key] = credit - 1.0
        wait = max(
            MIN_WAIT_SECONDS,
            min(MAX_RESERVED_SECONDS, longest) * self.random.uniform(0.3, 1.0),
        )
        self.reserve(fingerprint, wait)
        return wait

    def reserve(self, fingerprint: int, wait: float):
        """Reserve an admission for a client that returns after ``wait`` s."""
        self.expire()
        now = self.clock.seconds()
        latest = now + wait + GRACE_SECONDS
        self.by_fingerprint.setdefault(fingerprint, deque()).append(
            (now + EARLY_SHARE * wait, latest)
        )
        self.order.append((latest, fingerprint))
        self.reserved += 1
        while len(self.order) > MAX_RESERVATIONS:
            self.drop_oldest()

    def redeem(self, fingerprint: int) -> bool:
        """Use up a reservation; return False if there is none now."""
        now = self.clock.seconds()
        reservations = self.by_fingerprint.get(fingerprint, ())
        for i, (earliest, latest) in enumerate(reservations):
            if earliest <= now <= latest:
                del reservations[i]
                self.redeemed += 1
                return True
        return False

    def expire(self):
        """Forget reservations whose time is over.

        They are ordered by their making, so that one with a long wait keeps
        later ones for up to its own time.
        """
        now = self.clock.seconds()
        while self.order and self.order[0][0] < now:
            self.drop_oldest()

    def drop_oldest(self):
        """Forget the reservation that was made first."""
        latest, fingerprint = self.order.popleft()
        reservations = self.by_fingerprint.get(fingerprint)
        if reservations and reservations[0][1] <= latest:
            reservations.popleft()
        if not reservations:
            self.by_fingerprint.pop(fingerprint, None)
