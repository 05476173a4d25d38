"""The server list as the node has it, and which of its servers may be reached."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from loadbalancer.balancing.events import EndpointEjected, EndpointListUpdate, EndpointRestored, Event
from loadbalancer.endpoints import Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.node.address import Address
from loadbalancer.node.admin.server import AdminResponse, AdminRoutes, ok_or_unavailable
from loadbalancer.node.clock import Clock
from loadbalancer.node.discovery.watcher import DiscoveryResponse
from loadbalancer.node.listener.server import Server
from loadbalancer.node.state.ejections import EjectionStore
from loadbalancer.node.upstream.pool import Pool


class EndpointList:
    """What discovery lists, less what operators have taken out by hand. The module hears of each change; the
    pool reaches only what is up and in."""

    def __init__(
        self,
        bans: EjectionStore,
        clock: Clock,
        pool: Pool,
        server: Server,
        counts: Counter[str],
        tell: Callable[[Event], None],
    ) -> None:
        self.ejections = bans
        self._clock = clock
        self._pool = pool
        self._server = server
        self._counts = counts
        self._handle_event = tell
        self.endpoints: dict[str, tuple[Endpoint, Address]] = {}  # by name, whatever their state
        self.revision = 0  # discovery's version of that list
        self.service_revision = 0  # the list service's own revision of it; 0 where the agent tells none
        self.confirmed_ms = -math.inf  # when discovery last said that this list holds
        self.available: set[str] = set()  # those that the pool may reach

    def apply_update(self, form: EndpointListKind, listing: DiscoveryResponse | None) -> None:
        """News of discovery; none if asking has failed."""
        self._counts[f"list {form.value}"] += 1
        if listing is None:
            self._handle_event(EndpointListUpdate(form))
            return
        self.revision, self.service_revision = listing.revision, listing.service_revision
        if form is not EndpointListKind.CACHED:
            self.confirmed_ms = self._clock.ms()
        if form is not EndpointListKind.DELTA:
            self.endpoints = {}
        for server in listing.endpoints:
            if server.state is EndpointStatus.REMOVED:
                self.endpoints.pop(server.name, None)
            else:
                self.endpoints[server.name] = server, listing.addresses[server.name]
        self.apply_change(EndpointListUpdate(form, listing.endpoints))

    def apply_change(self, event: Event) -> None:
        """Tell the module of a change of the servers, and let the pool reach those that it may."""
        up = {
            name
            for name, (server, _) in self.endpoints.items()
            if server.state is EndpointStatus.UP and not self.ejections.is_ejected(name)
        }
        for name in up:
            server, endpoint = self.endpoints[name]
            self._pool.add(name, endpoint, server.launched_ms)
        self._handle_event(event)
        # The module hears of it first, so that what is withdrawn here is sent on by the new list.
        for name in self.available - up:
            self._pool.remove(name)
        self.available = up
        self._server.ready = self._server.ready or bool(self.available)  # once there is a server to send to

    # ------------------------------------------------------------------- maintenance

    def admin_routes(self) -> AdminRoutes:
        """The operators' calls that take a server out and bring it back."""
        return {
            (b"PUT", b"/maintenance/enter"): lambda body: self._on_call(body, self.eject),
            (b"PUT", b"/maintenance/exit"): lambda body: self._on_call(body, self.restore),
        }

    def eject(self, name: str) -> bool | None:
        """Take a server out by hand; None if nobody knows it, false if an upgrade would forget it."""
        self.sync_ejections()  # the other process may have been told something a moment ago
        if name not in self.endpoints and not self.ejections.is_ejected(name):
            return None
        new = not self.ejections.is_ejected(name)
        kept = self.ejections.eject(name, self._clock.ms())
        if new:
            self._apply_ejection(name)
        return kept

    def restore(self, name: str) -> bool | None:
        """Let it serve again; None as above, false if it stays out as the end could not be written."""
        self.sync_ejections()
        if name not in self.endpoints and not self.ejections.is_ejected(name):
            return None
        was_out = self.ejections.is_ejected(name)
        kept = self.ejections.restore(name, self._clock.ms())
        if was_out and kept:
            self._apply_ejection(name)
        return kept

    def sync_ejections(self) -> None:
        """Follow what another process of this node has been told."""
        for name in self.ejections.read_changes(self._clock.ms()):
            self._apply_ejection(name)

    def restore_ejections(self, out: dict[str, float]) -> None:
        """Bans as the state file has them: names, and since when in Unix ms."""
        for name, since in out.items():
            if self.ejections.get(name) is None:  # the folder of bans knows better where it has the server
                self.ejections.eject(name, since)
                self._apply_ejection(name)

    def ejected_since_ms(self) -> dict[str, float]:
        """Listed servers that are out by hand, and since when in Unix ms."""
        bans = ((name, self.ejections.get(name)) for name in self.endpoints)
        return {name: ban.ejected_ms for name, ban in bans if ban is not None and ban.restored_ms is None}

    def _on_call(self, body: bytes, change: Callable[[str], bool | None]) -> AdminResponse:
        try:
            done = change(body.decode().strip())
        except UnicodeDecodeError:
            return AdminResponse(400)
        return AdminResponse(404) if done is None else ok_or_unavailable(done)

    def _apply_ejection(self, name: str) -> None:
        ban = self.ejections.get(name)
        assert ban is not None
        if ban.restored_ms is None:
            self.apply_change(EndpointEjected(name))
        else:
            self.apply_change(EndpointRestored(name, ban.ejected_ms, ban.restored_ms))
