"""The server list as the node has it, and which of its servers may be reached."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from loadbalancer.balancing.events import EndpointEjected, EndpointListUpdate, EndpointRestored, Event
from loadbalancer.endpoints import Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.node.address import Address
from loadbalancer.node.admin.server import Answer, Calls, yes_or_no
from loadbalancer.node.clock import Clock
from loadbalancer.node.discovery.watcher import Listing
from loadbalancer.node.listener.server import Server
from loadbalancer.node.state.ejections import Bans
from loadbalancer.node.upstream.pool import Pool


class ServerList:
    """What discovery lists, less what operators have taken out by hand. The module hears of each change; the
    pool reaches only what is up and in."""

    def __init__(
        self,
        bans: Bans,
        clock: Clock,
        pool: Pool,
        server: Server,
        counts: Counter[str],
        tell: Callable[[Event], None],
    ) -> None:
        self.bans = bans
        self._clock = clock
        self._pool = pool
        self._server = server
        self._counts = counts
        self._tell = tell
        self.listed: dict[str, tuple[Endpoint, Address]] = {}  # by name, whatever their state
        self.listed_rev = 0  # discovery's version of that list
        self.origin_rev = 0  # the list service's own revision of it; 0 where the agent tells none
        self.confirmed_ms = -math.inf  # when discovery last said that this list holds
        self.up: set[str] = set()  # those that the pool may reach

    def on_list(self, form: EndpointListKind, listing: Listing | None) -> None:
        """News of discovery; none if asking has failed."""
        self._counts[f"list {form.value}"] += 1
        if listing is None:
            self._tell(EndpointListUpdate(form))
            return
        self.listed_rev, self.origin_rev = listing.revision, listing.origin_rev
        if form is not EndpointListKind.CACHED:
            self.confirmed_ms = self._clock.ms()
        if form is not EndpointListKind.DELTA:
            self.listed = {}
        for server in listing.servers:
            if server.state is EndpointStatus.REMOVED:
                self.listed.pop(server.name, None)
            else:
                self.listed[server.name] = server, listing.endpoints[server.name]
        self.change(EndpointListUpdate(form, listing.servers))

    def change(self, event: Event) -> None:
        """Tell the module of a change of the servers, and let the pool reach those that it may."""
        up = {
            name
            for name, (server, _) in self.listed.items()
            if server.state is EndpointStatus.UP and not self.bans.out(name)
        }
        for name in up:
            server, endpoint = self.listed[name]
            self._pool.add(name, endpoint, server.launched_ms)
        self._tell(event)
        # The module hears of it first, so that what is withdrawn here is sent on by the new list.
        for name in self.up - up:
            self._pool.remove(name)
        self.up = up
        self._server.ready = self._server.ready or bool(self.up)  # once there is a server to send to

    # ------------------------------------------------------------------- maintenance

    def calls(self) -> Calls:
        """The operators' calls that take a server out and bring it back."""
        return {
            (b"PUT", b"/maintenance/enter"): lambda body: self._on_call(body, self.enter_maintenance),
            (b"PUT", b"/maintenance/exit"): lambda body: self._on_call(body, self.exit_maintenance),
        }

    def enter_maintenance(self, name: str) -> bool | None:
        """Take a server out by hand; None if nobody knows it, false if an upgrade would forget it."""
        self.read_bans()  # the other process may have been told something a moment ago
        if name not in self.listed and not self.bans.out(name):
            return None
        new = not self.bans.out(name)
        kept = self.bans.take_out(name, self._clock.ms())
        if new:
            self._on_ban(name)
        return kept

    def exit_maintenance(self, name: str) -> bool | None:
        """Let it serve again; None as above, false if it stays out as the end could not be written."""
        self.read_bans()
        if name not in self.listed and not self.bans.out(name):
            return None
        was_out = self.bans.out(name)
        kept = self.bans.bring_back(name, self._clock.ms())
        if was_out and kept:
            self._on_ban(name)
        return kept

    def read_bans(self) -> None:
        """Follow what another process of this node has been told."""
        for name in self.bans.read(self._clock.ms()):
            self._on_ban(name)

    def restore_bans(self, out: dict[str, float]) -> None:
        """Bans as the state file has them: names, and since when in Unix ms."""
        for name, since in out.items():
            if self.bans.get(name) is None:  # the folder of bans knows better where it has the server
                self.bans.take_out(name, since)
                self._on_ban(name)

    def banned(self) -> dict[str, float]:
        """Listed servers that are out by hand, and since when in Unix ms."""
        bans = ((name, self.bans.get(name)) for name in self.listed)
        return {name: ban.out_ms for name, ban in bans if ban is not None and ban.back_ms is None}

    def _on_call(self, body: bytes, change: Callable[[str], bool | None]) -> Answer:
        try:
            done = change(body.decode().strip())
        except UnicodeDecodeError:
            return Answer(400)
        return Answer(404) if done is None else yes_or_no(done)

    def _on_ban(self, name: str) -> None:
        ban = self.bans.get(name)
        assert ban is not None
        if ban.back_ms is None:
            self.change(EndpointEjected(name))
        else:
            self.change(EndpointRestored(name, ban.out_ms, ban.back_ms))
