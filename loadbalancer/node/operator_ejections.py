"""Ejection of endpoints by operators: admin requests, and changes to the endpoint list."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from http import HTTPStatus

from loadbalancer.balancing.events import EndpointEjected, EndpointRestored
from loadbalancer.node.admin.messages import AdminResponse, AdminRoutes
from loadbalancer.node.clock import Clock
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.node.state.ejections import EjectionStore


class EjectionResult(Enum):
    """Result of an operator's request; the value is the HTTP status of the response."""

    DONE = HTTPStatus.OK
    UNKNOWN_ENDPOINT = HTTPStatus.NOT_FOUND  # neither listed nor ejected
    NOT_STORED = HTTPStatus.SERVICE_UNAVAILABLE  # the sibling process would not learn of the change


class OperatorEjections:
    """Ejects and restores endpoints, and applies the changes that the sibling process has stored."""

    def __init__(self, store: EjectionStore, endpoint_list: EndpointList, clock: Clock) -> None:
        self._store = store
        self._endpoint_list = endpoint_list
        self._clock = clock

    def admin_routes(self) -> AdminRoutes:
        """Return the handlers of the admin requests that eject and restore an endpoint."""
        return {
            (b"PUT", b"/maintenance/enter"): lambda body: _respond(body, self.eject),
            (b"PUT", b"/maintenance/exit"): lambda body: _respond(body, self.restore),
        }

    def eject(self, name: str) -> EjectionResult:
        """Eject an endpoint; if storing the ejection fails, it still applies to this process."""
        self.sync()  # the sibling process may have just stored a change
        if not self._is_known(name):
            return EjectionResult.UNKNOWN_ENDPOINT
        is_new = not self._store.is_ejected(name)
        stored = self._store.eject(name, self._clock.unix_ms())
        if is_new:
            self._apply(name)
        return EjectionResult.DONE if stored else EjectionResult.NOT_STORED

    def restore(self, name: str) -> EjectionResult:
        """Restore an ejected endpoint; if storing the change fails, it stays ejected."""
        self.sync()
        if not self._is_known(name):
            return EjectionResult.UNKNOWN_ENDPOINT
        was_ejected = self._store.is_ejected(name)
        stored = self._store.restore(name, self._clock.unix_ms())
        if was_ejected and stored:
            self._apply(name)
        return EjectionResult.DONE if stored else EjectionResult.NOT_STORED

    def sync(self) -> None:
        """Apply the changes that the sibling process has stored."""
        for name in self._store.read_changes(self._clock.unix_ms()):
            self._apply(name)

    def restore_from_state(self, ejected_since_ms: dict[str, float]) -> None:
        """Apply the ejections in the state file: time of ejection in Unix ms by endpoint name.

        An ejection of the same endpoint in the shared folder, in force or ended, is newer and wins.
        """
        for name, since_ms in ejected_since_ms.items():
            if self._store.get(name) is None:
                self._store.eject(name, since_ms)
                self._apply(name)

    def ejected_since_ms(self) -> dict[str, float]:
        """Return the listed endpoints that are ejected: time of ejection in Unix ms by name."""
        ejections = ((name, self._store.get(name)) for name in self._endpoint_list.endpoints)
        return {
            name: ejection.ejected_ms
            for name, ejection in ejections
            if ejection is not None and ejection.in_force
        }

    def _is_known(self, name: str) -> bool:
        return name in self._endpoint_list.endpoints or self._store.is_ejected(name)

    def _apply(self, name: str) -> None:
        ejection = self._store.get(name)
        assert ejection is not None
        if ejection.restored_ms is None:
            self._endpoint_list.apply_change(EndpointEjected(name))
        else:
            self._endpoint_list.apply_change(
                EndpointRestored(name, ejection.ejected_ms, ejection.restored_ms)
            )


def _respond(body: bytes, change: Callable[[str], EjectionResult]) -> AdminResponse:
    try:
        name = body.decode().strip()
    except UnicodeDecodeError:
        return AdminResponse(HTTPStatus.BAD_REQUEST)
    return AdminResponse(change(name).value)
