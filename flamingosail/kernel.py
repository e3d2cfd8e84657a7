"""The micro-kernel: services that find each other by name."""

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.defer import maybeDeferred

from flamingosail.errors import FlamingosailError

__all__ = ["Kernel", "Service"]


class Service:
    """Base of the services in a kernel.

    ``name`` is how other services find it. ``start`` and ``stop`` may
    return a Deferred.
    """

    name = "service"

    def start(self) -> Deferred | None:
        """Begin work; all services are registered by then."""

    def stop(self) -> Deferred | None:
        """End work and release resources."""

    def dump(self) -> dict:
        """Return the service's state as plain JSON values."""
        return {}


class Kernel:
    """Holds services by name, starts them in order, stops in reverse."""

    def __init__(self):
        self.services: dict[str, Service] = {}
        self.started: list[Service] = []

    def add(self, service: Service) -> Service:
        """Register a service under its name and return it.

        :raises FlamingosailError: if the name is taken.
        """
        if service.name in self.services:
            raise FlamingosailError(
                f"service {service.name!r} is already registered"
            )
        self.services[service.name] = service
        return service

    def get(self, name: str) -> Service:
        """Return the service with the given name.

        :raises FlamingosailError: if there is none.
        """
        try:
            return self.services[name]
        except KeyError:
            raise FlamingosailError(
                f"service {name!r} is not registered"
            ) from None

    @inlineCallbacks
    def start(self):
        """Start all services in the order of registration."""
        for service in list(self.services.values()):
            yield maybeDeferred(service.start)
            self.started.append(service)

    @inlineCallbacks
    def stop(self):
        """Stop the started services in reverse order.

        All are stopped even if some fail.

        :raises ExceptionGroup: with the errors of those that failed.
        """
        errors = []
        while self.started:
            service = self.started.pop()
            try:
                yield maybeDeferred(service.stop)
            except Exception as error:
                errors.append(error)
        if errors:
            raise ExceptionGroup("services failed to stop", errors)

    def dump(self, name: str | None = None) -> dict:
        """Return the state of one service, or of all by name."""
        if name is not None:
            return dump_of(self.get(name))
        return {key: dump_of(item) for key, item in self.services.items()}


def dump_of(service: Service) -> dict:
    """Return the state of a service, or the error that dumping it raised.

    The dump of the others is needed most when one service is broken.
    """
    try:
        return service.dump()
    except Exception as error:
        return {"dump_error": f"{type(error).__name__}: {error}"}
