"""The node's endpoint list, and the endpoints in it that may receive requests."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from loadbalancer.balancing.events import EndpointListUpdate, Event
from loadbalancer.endpoints import Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.node.address import Address
from loadbalancer.node.clock import Clock
from loadbalancer.node.discovery.response import DiscoveryResponse
from loadbalancer.node.launch_times import LaunchTimes
from loadbalancer.node.listener.listener import Listener
from loadbalancer.node.state.ejections import EjectionStore
from loadbalancer.node.upstream.pool import ConnectionPool


class EndpointList:
    """The endpoint list from discovery, and its available endpoints.

    The balancer receives an event for each change. An endpoint is available if it is up and not ejected by an
    operator; the connection pool connects only to available endpoints.
    """

    def __init__(
        self,
        ejections: EjectionStore,
        clock: Clock,
        pool: ConnectionPool,
        listener: Listener,
        event_counts: Counter[str],
        handle_event: Callable[[Event], None],
    ) -> None:
        self._ejections = ejections
        self._clock = clock
        self._pool = pool
        self._listener = listener
        self._event_counts = event_counts
        self._handle_event = handle_event
        self._launch_times = LaunchTimes(clock)
        self.endpoints: dict[str, tuple[Endpoint, Address]] = {}  # by name, also those not up
        self.revision = 0  # discovery's revision of the list
        self.service_revision = 0  # the list service's revision of the list; 0 if the agent gives none
        self.confirmed_ms = -math.inf  # Unix time when discovery last sent or confirmed the list
        self.available: set[str] = set()  # endpoints to which the pool may connect

    def apply_update(self, kind: EndpointListKind, response: DiscoveryResponse | None) -> None:
        """Apply an update from discovery; `response` is None if a poll has failed."""
        self._event_counts[f"list {kind.value}"] += 1
        if response is None:
            self._handle_event(EndpointListUpdate(kind))
            return
        self.revision, self.service_revision = response.revision, response.service_revision
        if kind is not EndpointListKind.CACHED:
            self.confirmed_ms = self._clock.unix_ms()
        if kind is not EndpointListKind.DELTA:
            self.endpoints = {}
        for endpoint in response.endpoints:
            if endpoint.state is EndpointStatus.REMOVED:
                self.endpoints.pop(endpoint.name, None)
            else:
                self.endpoints[endpoint.name] = endpoint, response.addresses[endpoint.name]
        self._launch_times.retain(set(self.endpoints))
        self.apply_change(EndpointListUpdate(kind, self._launch_times.convert(response.endpoints)))

    def apply_change(self, event: Event) -> None:
        """Notify the balancer of a change of the endpoints, and set the pool's endpoints.

        Endpoints are removed from the pool only after the balancer has handled the event, so that attempts
        withdrawn from them are sent to endpoints of the new list.
        """
        available = self._find_available()
        for name in available:
            endpoint, address = self.endpoints[name]
            self._pool.set_endpoint(name, address, endpoint.launched_ms)
        self._handle_event(event)
        for name in self.available - available:
            self._pool.remove_endpoint(name)
        self.available = available
        self._listener.ready = self._listener.ready or bool(available)  # ready from the first endpoint on

    def complete_list(self) -> DiscoveryResponse:
        """Return a copy of the current list, in the form of a complete response of discovery."""
        return DiscoveryResponse(
            self.revision,
            True,
            tuple(endpoint for endpoint, _ in self.endpoints.values()),
            {name: address for name, (_, address) in self.endpoints.items()},
        )

    def _find_available(self) -> set[str]:
        return {
            name
            for name, (endpoint, _) in self.endpoints.items()
            if endpoint.state is EndpointStatus.UP and not self._ejections.is_ejected(name)
        }
