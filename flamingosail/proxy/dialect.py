"""Names of the headers used between clients, nodes and backend servers.

The adapter of a platform supplies them.
"""

from dataclasses import dataclass

__all__ = ["Dialect"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """The names of a platform's headers, in lower case.

    ``deadline`` holds the remaining time in milliseconds, ``credential`` the
    key of a client account, ``tenant`` the name of the account that holds it,
    ``expected_instance`` the only server instance that may run the request,
    and ``caller_service`` the service of the VM at which the request entered.
    In responses, ``not_executed`` is present if the server did not run the
    request, ``signature`` if a server made the response; ``instance`` names
    the server, and ``load`` holds the numbers of running requests, waiting
    requests and slots, separated by commas. ``rate_limit`` holds the requests
    per second that the server accepts from all nodes together, and
    ``leaving`` is 1 if the server is about to stop.
    """

    request_id: bytes
    deadline: bytes
    expected_instance: bytes
    credential: bytes
    tenant: bytes
    caller_service: bytes
    not_executed: bytes
    signature: bytes
    load: bytes
    instance: bytes
    rate_limit: bytes
    leaving: bytes
