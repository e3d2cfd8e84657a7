"""A registry of services with an ordered start and stop."""

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.defer import maybeDeferred

from flamingosail.errors import FlamingosailError

__all__ = ["Kernel", "Service"]


class Service:
    """Base class of the services in a kernel.

    Other services look it up by ``name``. ``start`` and ``stop`` may return
    a Deferred.
    """

    name = "service"

    def start(self) -> Deferred | None:
        """Start; all services are already registered."""

    def stop(self) -> Deferred | None:
        """Stop and release resources."""

    def dump(self) -> dict:
        """Return the state of the service as JSON values."""
        return {}


class Kernel:
    """Starts services in order of registration, stops them in reverse."""

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

        :raises FlamingosailError: if none is registered under it.
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

        A service that fails to stop does not keep the others running.

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
            return dump_service(self.get(name))
        return {key: dump_service(item) for key, item in self.services.items()}


def dump_service(service: Service) -> dict:
    """Return the state of a service, or the error that its dump raised.

    A broken service must not hide the state of the others.
    """
    try:
        return service.dump()
    except Exception as error:
        return {"dump_error": f"{type(error).__name__}: {error}"}
