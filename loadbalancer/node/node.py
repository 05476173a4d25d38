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
from loadbalancer.node.admin.metrics import NodeMetrics
from loadbalancer.node.admin.server import AdminResponse, AdminRoutes, AdminServer, ok_or_unavailable
from loadbalancer.node.attempts import Attempts
from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.clock import Clock
from loadbalancer.node.component import Component
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.discovery.watcher import INITIAL_BACKOFF_S, EndpointListWatcher, PollPolicy
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.node.listener.call import Call
from loadbalancer.node.listener.server import Server
from loadbalancer.node.periodic_tasks import PeriodicTasks
from loadbalancer.node.request_registry import Jobs
from loadbalancer.node.sibling_process import SiblingProcess
from loadbalancer.node.state.ejections import EjectionStore
from loadbalancer.node.state.handover import HandoverFiles
from loadbalancer.node.state_writer import StateWriter
from loadbalancer.node.upstream.pool import Pool

if TYPE_CHECKING:
    from loadbalancer.node.control import ControlPlane

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

    def __init__(self, config: NodeConfig) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.config = config
        self.stopping = False
        self.event_counts: Counter[str] = Counter()  # what has happened since the last line of figures
        self.metrics = NodeMetrics(kind.name for kind in config.settings.classes)
        usable = max(16, config.max_descriptors - SPARE_SOCKETS - config.membership_descriptors)
        self.server = Server(int(usable * INBOUND_SHARE), lambda call: self.request_registry.take(call))
        self.pool = Pool(
            int(usable * UPSTREAM_SHARE),
            config.connection_idle_ms / 1000.0,
            config.connect_timeout_ms / 1000.0,
            self.metrics.count_attempt_sent,
        )
        self.request_registry = Jobs(
            config, self.clock, self.server, self.metrics, self.event_counts, self.handle_event
        )
        self.attempts = Attempts(
            config.settings,
            self.clock,
            self.request_registry,
            self.pool,
            self.event_counts,
            self.handle_event,
        )
        bans = EjectionStore(config.ejections_folder)
        self.endpoint_list = EndpointList(
            bans, self.clock, self.pool, self.server, self.event_counts, self.handle_event
        )
        self.watcher = _watcher(config, self.endpoint_list)
        balancer = Balancer(config.settings, config.seed, self.clock.ms())
        self.driver = Driver(
            balancer, self.clock, self.request_registry, self.attempts, self.watcher, self.event_counts
        )
        self.sibling_process = self._sharing()
        self.state_writer = self._keeper()
        self.control_plane = self._fleet()
        self.components: list[Component] = [
            part for part in (self.state_writer, self.control_plane) if part is not None
        ]
        self.periodic_tasks = PeriodicTasks(
            config.name,
            self._each_beat(),
            self.event_counts,
            self.request_registry,
            self.server,
            self.pool,
            self.driver,
        )
        fleet = {} if self.control_plane is None else self.control_plane.admin_routes()
        self.admin_server = AdminServer({**self._calls(), **self.endpoint_list.admin_routes(), **fleet})

    def _sharing(self) -> SiblingProcess | None:
        folder = self.config.handover_folder
        if self.config.accept_fd is None or folder is None:
            return None
        return SiblingProcess(HandoverFiles(folder, os.getpid()), self.clock, self.driver)

    def _keeper(self) -> StateWriter | None:
        path = self.config.state_path
        if path is None:
            return None
        return StateWriter(path, self.config, self.clock, self.endpoint_list, self.watcher, self.driver)

    def _fleet(self) -> ControlPlane | None:
        if self.config.membership is None:
            return None
        # Only a node that is told of members pays for the libraries that it needs for them.
        from loadbalancer.node.control import ControlPlane

        part = ControlPlane(self.config, self.clock, self.endpoint_list, self.watcher, self.driver)
        self.attempts.on_outcome.append(part.freshness.record_outcome)
        return part

    def _each_beat(self) -> list[Callable[[], None]]:
        acts: list[Callable[[], None]] = []
        if self.config.admin_address is not None:  # another process of this node may have changed them
            acts.append(self.endpoint_list.sync_ejections)
        if self.sibling_process is not None:
            acts.append(self.sibling_process.exchange)
        return acts

    def _calls(self) -> AdminRoutes:
        return {
            (b"GET", b"/status"): lambda _: ok_or_unavailable(self.server.takes_clients),
            (b"GET", b"/status/metrics"): lambda _: AdminResponse(200, self.render_metrics()),
            (b"PUT", b"/standby"): lambda _: ok_or_unavailable(self.standby()),
            (b"PUT", b"/active"): lambda _: ok_or_unavailable(self.active()),
        }

    def handle_event(self, event: Event) -> None:
        """Give the module an event and carry out what it says."""
        self.driver.tell(event)

    def render_metrics(self) -> bytes:
        """The text of GET /status/metrics: the node's own lines, then those of each part."""
        own = self.metrics.render(
            self.request_registry.under_way,
            len(self.endpoint_list.endpoints),
            self.driver.balancer.ejected_count,
        )
        return own + "".join(part.metrics() for part in self.components).encode()

    async def start(self) -> None:
        """Tell the module what is known and begin to serve."""
        self.endpoint_list.sync_ejections()  # first, so that a server that is out is never sent anything
        self.endpoint_list.apply_update(EndpointListKind.CACHED, self.config.initial_list)
        if self.state_writer is not None:
            self.state_writer.restore()
        if self.sibling_process is not None:
            self.sibling_process.exchange(
                starts=True
            )  # what a process beside this one tells is newer than any file
        if self.config.admin_address is not None:
            await self.admin_server.open(self.config.admin_address)
        await self.server.listen(*self.config.listen, self.config.accept_fd)
        self.watcher.start()
        self.periodic_tasks.start()
        for part in self.components:
            await part.start()

    async def stop(self) -> None:
        """Leave service: take what still comes, finish what is held, and end in time."""
        began = self.loop.time()
        self.stopping = True
        if self.control_plane is not None:
            self.control_plane.begin_drain()
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
        stops = asyncio.gather(*(part.stop() for part in self.components), return_exceptions=True)
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
        self.request_registry.fail_all()
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
            if self.state_writer is not None:
                self.state_writer.write_soon()
        return True

    def active(self) -> bool:
        """End of the drain; too late once the process leaves service."""
        if not self.stopping:
            self.server.resume()
        return not self.stopping

    def close(self) -> None:
        """Let go of everything at once."""
        self.admin_server.close()
        if self.sibling_process is not None:
            self.sibling_process.close()
        for part in self.components:
            part.close()
        self.server.close()
        self.watcher.close()
        self.pool.close()
        self.periodic_tasks.close()
        self.driver.close()


def _refuse(call: Call) -> None:
    call.answer(503)


def _watcher(config: NodeConfig, servers: EndpointList) -> EndpointListWatcher:
    # Half of the time within which discovery has to be asked: the other half is for the call's way.
    share_s = config.poll_deadline_ms * WATCH_SHARE / 1000.0
    # An agent that pushes is this machine's own: it is not crowded, and what it gets counts at once.
    pause_s = share_s if config.settings.poll_discovery else INITIAL_BACKOFF_S
    patience = PollPolicy(share_s, pause_s, Random(config.seed))
    return EndpointListWatcher(config.discovery, config.initial_list.revision, patience, servers.apply_update)
