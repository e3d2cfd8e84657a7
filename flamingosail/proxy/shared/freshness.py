"""How recently this node's configuration was known to be the newest.

A configuration may take away keys that it allowed before. Each node therefore
serves requests with keys on a lease: only while its configuration is proved to
have been the newest one shortly before. The proof comes from a read of the
metadata store, whose responses are linearizable, or from a node that has one.

A proof is a pair of a version and a time: no configuration that was written
before the time has a greater version. It holds for each greater version as
well, and never for a smaller one. The time is the one at which the request for
the proof was sent, less the age that the response states, so that neither a
delay nor a freeze makes a proof younger.
"""

from collections.abc import Callable
from math import inf

from logbook import Logger

__all__ = ["Freshness"]

# Part of the time to revoke a key that is left to differences between the
# rates of the VMs' clocks.
MARGIN_FRACTION = 0.02
# A proof older than this share of the lease is renewed from other nodes. Nodes
# look for that twice a second.
RENEWAL_SHARE = 0.25

log = Logger("proxy.freshness")


class Freshness:
    """The lease of this node on its configuration.

    ``seconds`` returns the time of a clock that also counts while the VM is
    suspended. ``revocation_seconds`` is the time after which a key that was
    taken away must not be accepted anywhere, None if there is no such bound;
    then there is no lease either. The configuration was the newest at
    ``proved_at``. ``pending_version`` and ``pending_at`` are a proof for a
    newer version than the one in force.
    """

    def __init__(
        self,
        *,
        seconds: Callable[[], float],
        config_version: Callable[[], int],
        revocation_seconds: float | None = None,
    ):
        self.seconds = seconds
        self.config_version = config_version
        self.lease_seconds = (
            inf
            if revocation_seconds is None
            else revocation_seconds * (1 - MARGIN_FRACTION)
        )
        self.proved_at = -inf
        self.pending_version = 0
        self.pending_at = -inf
        self.was_current = False

    @property
    def required(self) -> bool:
        """Whether requests with keys need a lease."""
        return self.lease_seconds < inf

    def observe(self, version: int, proved_at: float):
        """Use a proof that ``version`` was the newest at ``proved_at``.

        The time must not be later than that at which the proof was asked for.
        """
        if version <= self.config_version():
            self.proved_at = max(self.proved_at, proved_at)
        else:
            self.pending_version = max(self.pending_version, version)
            self.pending_at = max(self.pending_at, proved_at)

    def observe_age(
        self, version: int, age_ms: int | None, requested_at: float
    ):
        """Use the proof in the response to a request sent at that time.

        ``age_ms`` is the age of the other node's proof, None if it has none.
        """
        if age_ms is not None and age_ms >= 0:
            self.observe(version, requested_at - age_ms / 1000)

    def config_changed(self):
        """Use the proof that waited for a newer configuration."""
        if self.pending_version <= self.config_version():
            self.proved_at = max(self.proved_at, self.pending_at)
            self.pending_at = -inf

    def age_seconds(self) -> float:
        """Return the age of the proof, infinite if there is none."""
        return self.seconds() - self.proved_at

    def age_ms(self) -> int | None:
        """Return the age for another node, None without lease or proof."""
        if not self.required or self.proved_at == -inf:
            return None
        return int(self.age_seconds() * 1000) + 1

    def is_current(self) -> bool:
        """Return whether the lease allows requests with keys now."""
        return not self.required or self.age_seconds() < self.lease_seconds

    def needs_renewal(self) -> bool:
        """Return whether other nodes should be asked for a proof now."""
        return self.required and (
            self.age_seconds() > self.lease_seconds * RENEWAL_SHARE
        )

    def log_changes(self):
        """Log when the lease was lost or obtained."""
        current = self.is_current()
        if not self.required or current == self.was_current:
            return
        self.was_current = current
        fields = {
            "config_version": self.config_version(),
            "age_seconds": round(self.age_seconds(), 3),
        }
        if current:
            log.info("configuration lease obtained", extra=fields)
        else:
            log.warning("configuration lease lost", extra=fields)
