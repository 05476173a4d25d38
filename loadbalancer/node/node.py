"""The node: the assembly of its parts, and how they come into service and leave it."""

from __future__ import annotations

import asyncio
import logging
import os
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.events import Event
from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.admin.metrics import Figures
from loadbalancer.node.admin.server import Answer, Calls, Door, yes_or_no
from loadbalancer.node.attempts import Attempts
from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.clock import Clock
from loadbalancer.node.component import Part
from loadbalancer.node.config import Config
from loadbalancer.node.discovery.watcher import PAUSE_S, Patience, Watcher
from loadbalancer.node.endpoint_list import ServerList
from loadbalancer.node.listener.call import Call
from loadbalancer.node.listener.server import Server
from loadbalancer.node.periodic_tasks import Clockwork
from loadbalancer.node.request_registry import Jobs
from loadbalancer.node.sibling_process import Sharing
from loadbalancer.node.state.ejections import Bans
from loadbalancer.node.state.handover import Handover
from loadbalancer.node.state_writer import Keeper
from loadbalancer.node.upstream.pool import Pool

if TYPE_CHECKING:
    from loadbalancer.node.control import FleetPart

log = logging.getLogger("loadbalancer")

SPARE_SOCKETS = 32  # for the listener, discovery, standard streams and the event loop
INBOUND_SHARE = 0.45  # of the other descriptors: callers' connections;
UPSTREAM_SHARE = 0.35  # servers'; what is left takes in a burst before idle ones have been closed
WATCH_SHARE = 0.5  # of the time within which discovery has to be asked
STOP_LEAST_S = 0.6
STOP_SLACK_S = 0.6  # SIGKILL comes 0.7 s after the longest deadline at the soonest
STOP_STEP_S = 0.01
PARTS_S = 1.0  # for what parts have to say and to write when all answers are out
FAREWELL_S = 5.0  # what SIGKILL finds unanswered is no loss, as what the process leaves at its own end is
LONGEST_DEADLINE_S = 3.0
HANDOVER_S = 1.5  # idle callers may send one more request, as one that crosses a close is turned back unheard
YOUNG_S = 0.5  # in standby a connection so new is left open for its first request


class Node:
    """Everything of one process of a node. A further part is listed in `parts`, its operators' calls are
    merged in where `door` is made, and `attempts.on_outcome` lets it hear of outcomes."""

    def __init__(self, config: Config) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.config = config
        self.stopping = False
        self.counts: Counter[str] = Counter()  # what has happened since the last line of figures
        self.figures = Figures(kind.name for kind in config.settings.classes)
        usable = max(16, config.sockets - SPARE_SOCKETS - config.member_sockets)
        self.server = Server(int(usable * INBOUND_SHARE), lambda call: self.jobs.take(call))
        self.pool = Pool(
            int(usable * UPSTREAM_SHARE),
            config.conn_idle_ms / 1000.0,
            config.connect_timeout_ms / 1000.0,
            self.figures.sent,
        )
        self.jobs = Jobs(config, self.clock, self.server, self.figures, self.counts, self.tell)
        self.attempts = Attempts(config.settings, self.clock, self.jobs, self.pool, self.counts, self.tell)
        bans = Bans(config.maintenance)
        self.servers = ServerList(bans, self.clock, self.pool, self.server, self.counts, self.tell)
        self.watcher = _watcher(config, self.servers)
        balancer = Balancer(config.settings, config.seed, self.clock.ms())
        self.driver = Driver(balancer, self.clock, self.jobs, self.attempts, self.watcher, self.counts)
        self.sharing = self._sharing()
        self.keeper = self._keeper()
        self.fleet = self._fleet()
        self.parts: list[Part] = [part for part in (self.keeper, self.fleet) if part is not None]
        self.clockwork = Clockwork(
            config.name, self._each_beat(), self.counts, self.jobs, self.server, self.pool, self.driver
        )
        fleet = {} if self.fleet is None else self.fleet.calls()
        self.door = Door({**self._calls(), **self.servers.calls(), **fleet})

    def _sharing(self) -> Sharing | None:
        folder = self.config.handover
        if self.config.accept_fd is None or folder is None:
            return None
        return Sharing(Handover(folder, os.getpid()), self.clock, self.driver)

    def _keeper(self) -> Keeper | None:
        path = self.config.state
        if path is None:
            return None
        return Keeper(path, self.config, self.clock, self.servers, self.watcher, self.driver)

    def _fleet(self) -> FleetPart | None:
        if self.config.members is None:
            return None
        # Only a node that is told of members pays for the libraries that it needs for them.
        from loadbalancer.node.control import FleetPart

        part = FleetPart(self.config, self.clock, self.servers, self.watcher, self.driver)
        self.attempts.on_outcome.append(part.sight.saw)
        return part

    def _each_beat(self) -> list[Callable[[], None]]:
        acts: list[Callable[[], None]] = []
        if self.config.operator is not None:  # another process of this node may have changed them
            acts.append(self.servers.read_bans)
        if self.sharing is not None:
            acts.append(self.sharing.share)
        return acts

    def _calls(self) -> Calls:
        return {
            (b"GET", b"/status"): lambda _: yes_or_no(self.server.takes_clients),
            (b"GET", b"/status/metrics"): lambda _: Answer(200, self.metrics()),
            (b"PUT", b"/standby"): lambda _: yes_or_no(self.standby()),
            (b"PUT", b"/active"): lambda _: yes_or_no(self.active()),
        }

    def tell(self, event: Event) -> None:
        """Give the module an event and carry out what it says."""
        self.driver.tell(event)

    def metrics(self) -> bytes:
        """The text of GET /status/metrics: the node's own lines, then those of each part."""
        own = self.figures.text(
            self.jobs.under_way, len(self.servers.listed), self.driver.balancer.ejected_count
        )
        return own + "".join(part.metrics() for part in self.parts).encode()

    async def start(self) -> None:
        """Tell the module what is known and begin to serve."""
        self.servers.read_bans()  # first, so that a server that is out is never sent anything
        self.servers.on_list(EndpointListKind.CACHED, self.config.known)
        if self.keeper is not None:
            self.keeper.restore()
        if self.sharing is not None:
            self.sharing.share(starts=True)  # what a process beside this one tells is newer than any file
        if self.config.operator is not None:
            await self.door.open(self.config.operator)
        await self.server.listen(*self.config.listen, self.config.accept_fd)
        self.watcher.start()
        self.clockwork.start()
        for part in self.parts:
            await part.start()

    async def stop(self) -> None:
        """Leave service: take what still comes, finish what is held, and end in time."""
        began = self.loop.time()
        self.stopping = True
        if self.fleet is not None:
            self.fleet.drains()
        self.server.resume()  # a standby before it has other times
        if self.server.shares_socket:
            self.server.stop_accepting()
            self.pool.retire()
            self.server.drain(open_s=HANDOVER_S)
        else:
            self.server.drain()
        longest = max(kind.client_timeout_ms for kind in self.config.settings.classes) / 1000.0
        latest = began + min(longest, LONGEST_DEADLINE_S) + STOP_SLACK_S
        while self.loop.time() < latest and not self._all_served(began + STOP_LEAST_S):
            await asyncio.sleep(STOP_STEP_S)
        self.server.stop_accepting()
        if not self.server.deserted:
            await self._turn_away()
        await self._stop_parts()
        self.close()

    async def _stop_parts(self) -> None:
        # Guard: a part that hangs or fails in its stop must keep neither the others from theirs nor the
        # process from its orderly end.
        stops = asyncio.gather(*(part.stop() for part in self.parts), return_exceptions=True)
        try:
            async with asyncio.timeout(PARTS_S):
                found = await stops
        except TimeoutError as error:
            found = [error]
        for fault in found:
            if fault is not None:
                log.error("a part has not stopped as it should", exc_info=fault)

    async def _turn_away(self) -> None:
        """The time is over: what is held is failed, what still comes is refused, and the process stays for
        as long as a caller has yet to get its answer, or to see the end of its connection."""
        self.server.on_call = _refuse
        self.server.resume()
        self.server.drain(open_s=0.0)  # at once, where it was to wait for longer
        self.server.turn_away()
        self.jobs.fail_all()
        until = self.loop.time() + FAREWELL_S
        while not self.server.deserted and self.loop.time() < until:
            await asyncio.sleep(STOP_STEP_S)
            self.server.stop_accepting()

    def _all_served(self, least: float) -> bool:
        """Whether no caller is left, nor any to come, as none is from this time of the loop on."""
        if self.loop.time() >= least and self.server.deserted:
            self.server.stop_accepting()  # before the last look at who is there
            return self.server.deserted
        return False

    def standby(self) -> bool:
        """The operators' drain: what is held is finished, callers go elsewhere, the process runs on."""
        if not self.stopping:
            self.server.drain(YOUNG_S)
            if self.keeper is not None:
                self.keeper.write_soon()
        return True

    def active(self) -> bool:
        """End of the drain; too late once the process leaves service."""
        if not self.stopping:
            self.server.resume()
        return not self.stopping

    def close(self) -> None:
        """Let go of everything at once."""
        self.door.close()
        if self.sharing is not None:
            self.sharing.close()
        for part in self.parts:
            part.close()
        self.server.close()
        self.watcher.close()
        self.pool.close()
        self.clockwork.close()
        self.driver.close()


def _refuse(call: Call) -> None:
    call.answer(503)


def _watcher(config: Config, servers: ServerList) -> Watcher:
    # Half of the time within which discovery has to be asked: the other half is for the call's way.
    share_s = config.ask_within_ms * WATCH_SHARE / 1000.0
    # An agent that pushes is this machine's own: it is not crowded, and what it gets counts at once.
    pause_s = share_s if config.settings.poll_discovery else PAUSE_S
    patience = Patience(share_s, pause_s, Random(config.seed))
    return Watcher(config.discovery, config.known.revision, patience, servers.on_list)
