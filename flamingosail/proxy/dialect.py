"""Headers by which clients, nodes and backend servers understand each other.

An adapter supplies them.
"""

from dataclasses import dataclass

__all__ = ["Dialect"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Header names, in lower case.

    ``deadline`` holds the milliseconds the sender still waits,
    ``expected_instance`` the only server that may run the request,
    ``caller_service`` the service of the VM where the request began,
    ``not_executed`` is present if the server did not run the request,
    ``proof`` marks answers that a server made, and ``load`` holds running
    requests, waiting requests and slots, separated by commas.
    """

    request_id: bytes
    deadline: bytes
    expected_instance: bytes
    caller_service: bytes
    not_executed: bytes
    proof: bytes
    load: bytes
    instance: bytes
