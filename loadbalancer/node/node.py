"""The node: assembles its components, starts them, drains, and shuts down."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

from loadbalancer.balancing import Balancer
from loadbalancer.balancing.events import Event
from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.admin.messages import AdminHandler, AdminResponse, ok_or_unavailable
from loadbalancer.node.admin.metrics import NodeMetrics
from loadbalancer.node.admin.server import AdminServer
from loadbalancer.node.attempt_dispatcher import AttemptDispatcher
from loadbalancer.node.balancer_driver import BalancerDriver
from loadbalancer.node.clock import Clock
from loadbalancer.node.component import Component
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.discovery.poll_policy import INITIAL_BACKOFF_S, PollPolicy
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.node.executed_ids import MIN_RETENTION_S, ExecutedIds
from loadbalancer.node.listener.listener import Listener
from loadbalancer.node.listener.request_translation import MAX_TIMEOUT_FACTOR
from loadbalancer.node.memory_budget import PROGRAM_BYTES, MemoryBudget
from loadbalancer.node.operator_ejections import OperatorEjections
from loadbalancer.node.periodic_tasks import PeriodicTasks
from loadbalancer.node.request_registry import RequestRegistry
from loadbalancer.node.shutdown import GracefulShutdown
from loadbalancer.node.sibling_process import SiblingProcess
from loadbalancer.node.state.ejections import EjectionStore
from loadbalancer.node.state.executed_id_log import MAX_FILES, ExecutedIdLog
from loadbalancer.node.state.handover import HandoverFiles
from loadbalancer.node.state_writer import StateWriter
from loadbalancer.node.upstream.pool import ConnectionPool

if TYPE_CHECKING:
    from loadbalancer.node.control import ControlPlane

RESERVED_DESCRIPTORS = 32  # for the listening sockets, discovery, standard streams and the event loop
MIN_CONNECTION_DESCRIPTORS = 16
# Fractions of the descriptors for connections. The rest absorbs a burst of new connections until idle ones
# have been closed.
INBOUND_FRACTION = 0.45
UPSTREAM_FRACTION = 0.35
POLL_WAIT_FRACTION = 0.5  # of the poll deadline; the rest is for the transfer of the response


class Node:
    """One process of a node.

    To add a component: list it in `components`, add its admin requests to the routes of `admin_server`, and
    register for attempt outcomes in `attempts.outcome_listeners`.
    """

    def __init__(self, config: NodeConfig, program_bytes: int = PROGRAM_BYTES) -> None:
        """`program_bytes` is the memory of the process before it serves clients."""
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.config = config
        self.memory = MemoryBudget(config.memory_mb, program_bytes)
        self.stopping = False
        self._executed_id_log: ExecutedIdLog | None = None
        self.event_counts: Counter[str] = Counter()  # since the last statistics line in the log
        self.metrics = NodeMetrics(service_class.name for service_class in config.settings.classes)
        self._build_data_path()
        self._build_endpoint_list()
        self._build_balancer()
        self._build_components()
        self._build_admin()

    def _build_data_path(self) -> None:
        """Build the path of a request: listener, request registry, attempt dispatcher, connection pool."""
        config = self.config
        usable = max(
            MIN_CONNECTION_DESCRIPTORS,
            config.max_descriptors - RESERVED_DESCRIPTORS - config.membership_descriptors,
        )
        self.listener = Listener(
            int(usable * INBOUND_FRACTION),
            lambda request: self.request_registry.receive(request),
            self.memory,
        )
        self.pool = ConnectionPool(
            int(usable * UPSTREAM_FRACTION),
            config.connection_idle_ms / 1000.0,
            config.connect_timeout_ms / 1000.0,
            self.metrics.count_attempt_sent,
            self.memory,
        )
        self.request_registry = RequestRegistry(
            config,
            self.clock,
            self.listener,
            self._executed_ids(),
            self.metrics,
            self.event_counts,
            self.handle_event,
        )
        self.attempts = AttemptDispatcher(
            config.settings,
            self.clock,
            self.request_registry,
            self.pool,
            self.event_counts,
            self.handle_event,
        )

    def _executed_ids(self) -> ExecutedIds:
        """Return the set of executed ids, shared with the other process if there may be one."""
        longest_ms = max(service_class.client_timeout_ms for service_class in self.config.settings.classes)
        # No client waits longer for a request, and so none sends it again.
        retention_s = max(MIN_RETENTION_S, MAX_TIMEOUT_FACTOR * longest_ms / 1000.0)
        folder = self.config.executed_ids_folder
        now = self.loop.time()
        if self.config.accept_fd is None or folder is None:
            return ExecutedIds(self.memory.executed_ids, retention_s, now)
        process = f"{os.getpid()}-{time.monotonic_ns()}"
        self._executed_id_log = ExecutedIdLog(
            folder, process, retention_s, self.memory.reserve_id_files(MAX_FILES)
        )
        return ExecutedIds(self.memory.executed_ids, retention_s, now, self._executed_id_log)

    def _build_endpoint_list(self) -> None:
        ejection_store = EjectionStore(self.config.ejections_folder)
        self.endpoint_list = EndpointList(
            ejection_store, self.clock, self.pool, self.listener, self.event_counts, self.handle_event
        )
        self.ejections = OperatorEjections(ejection_store, self.endpoint_list, self.clock)
        self.watcher = _watcher(self.config, self.endpoint_list)

    def _build_balancer(self) -> None:
        balancer = Balancer(self.config.settings, self.config.seed, self.clock.unix_ms())
        self.driver = BalancerDriver(
            balancer, self.clock, self.request_registry, self.attempts, self.watcher, self.event_counts
        )

    def _build_components(self) -> None:
        self.sibling_process = self._sibling_process()
        self.state_writer = self._state_writer()
        self.control_plane = self._control_plane()
        optional = (self.state_writer, self.control_plane)
        self.components: list[Component] = [component for component in optional if component is not None]
        self.periodic_tasks = PeriodicTasks(
            self.config.name,
            self._tick_tasks(),
            self.event_counts,
            self.request_registry,
            self.listener,
            self.pool,
            self.driver,
        )
        self._graceful_shutdown = GracefulShutdown(
            self.listener,
            self.pool,
            self.request_registry,
            self.components,
            max(service_class.client_timeout_ms for service_class in self.config.settings.classes),
            self._on_requests_ended,
        )

    def _build_admin(self) -> None:
        routes: dict[tuple[bytes, bytes], AdminHandler] = {
            (b"GET", b"/status"): lambda _: ok_or_unavailable(self.listener.accepts_clients),
            (b"GET", b"/status/metrics"): lambda _: AdminResponse(HTTPStatus.OK, self.render_metrics()),
            (b"PUT", b"/standby"): lambda _: ok_or_unavailable(self.standby()),
            (b"PUT", b"/active"): lambda _: ok_or_unavailable(self.active()),
            **self.ejections.admin_routes(),
        }
        if self.control_plane is not None:
            routes.update(self.control_plane.admin_routes())
        self.admin_server = AdminServer(routes)

    def _sibling_process(self) -> SiblingProcess | None:
        folder = self.config.handover_folder
        if self.config.accept_fd is None or folder is None:
            return None
        return SiblingProcess(HandoverFiles(folder, os.getpid()), self.clock, self.driver)

    def _state_writer(self) -> StateWriter | None:
        path = self.config.state_path
        if path is None:
            return None
        return StateWriter(
            path, self.config, self.clock, self.endpoint_list, self.ejections, self.watcher, self.driver
        )

    def _control_plane(self) -> ControlPlane | None:
        if self.config.membership is None:
            return None
        # Imported only if needed: its libraries cost memory and startup time.
        from loadbalancer.node.control import ControlPlane

        control_plane = ControlPlane(
            self.config, self.clock, self.endpoint_list, self.watcher, self.driver, self.memory
        )
        self.attempts.outcome_listeners.append(control_plane.freshness.record_outcome)
        return control_plane

    def _tick_tasks(self) -> list[Callable[[], None]]:
        tasks: list[Callable[[], None]] = []
        if self.config.admin_address is not None:  # the sibling process may have stored changes of ejections
            tasks.append(self.ejections.sync)
        if self.sibling_process is not None:
            tasks.append(self.sibling_process.exchange)
        return tasks

    def handle_event(self, event: Event) -> None:
        """Pass an event to the balancer and execute its actions."""
        self.driver.handle_event(event)

    def render_metrics(self) -> bytes:
        """Return the response body of GET /status/metrics: the node's lines, then those of each component."""
        node_lines = self.metrics.render(
            self.request_registry.in_progress,
            len(self.endpoint_list.endpoints),
            self.driver.balancer.ejected_count,
            {
                "closed_over_limit": self.listener.closed_over_limit,
                "closed_for_memory": self.listener.memory_denials,
                "closed_as_stalled": self.listener.closed_stalled,
            },
        )
        return node_lines + "".join(component.metrics() for component in self.components).encode()

    async def start(self) -> None:
        """Restore the balancer's state and begin to serve; raise OSError if an address is in use.

        Ejections are loaded first, so that an ejected endpoint gets no request. The sibling process's state
        is loaded after the state file because it is newer.
        """
        self.ejections.sync()
        self.endpoint_list.apply_update(EndpointListKind.CACHED, self.config.initial_list)
        if self.state_writer is not None:
            self.state_writer.restore()
        if self.sibling_process is not None:
            self.sibling_process.exchange(at_start=True)
        if self.config.admin_address is not None:
            await self.admin_server.open(self.config.admin_address)
        await self.listener.listen(*self.config.listen, self.config.accept_fd)
        self.watcher.start()
        self.periodic_tasks.start()
        for component in self.components:
            await component.start()

    async def stop(self) -> None:
        """Shut down gracefully: serve new and in-flight requests until the drain ends, then close."""
        self.stopping = True
        if self.control_plane is not None:
            self.control_plane.begin_drain()
        await self._graceful_shutdown.run()
        self.close()

    def standby(self) -> bool:
        """Drain for an operator: finish requests in flight, close client connections, keep running."""
        if not self.stopping:
            self.listener.drain()
            if self.state_writer is not None:
                self.state_writer.write_soon()
        return True

    def active(self) -> bool:
        """End the drain that `standby` began; return False if the node is shutting down."""
        if not self.stopping:
            self.listener.resume()
        return not self.stopping

    def close(self) -> None:
        """Release all resources immediately."""
        self._release_for_successor()
        self.admin_server.close()
        for component in self.components:
            component.close()
        self.listener.close()
        self.pool.close()
        self.periodic_tasks.close()

    def _on_requests_ended(self) -> None:
        self._release_for_successor()
        if self._executed_id_log is not None:
            retention_s = self.request_registry.executed_ids.retention_s
            self.loop.call_later(retention_s, self._executed_id_log.remove_files)

    def _release_for_successor(self) -> None:
        """Release what only new requests need, so that another process of this node may use it.

        Responses in progress continue. May be called more than once.
        """
        self.admin_server.stop_listening()
        self.watcher.close()
        self.driver.close()
        self.pool.disable_keep_alive()
        self.periodic_tasks.remove_tasks()
        if self.sibling_process is not None:
            self.sibling_process.close()
        self.request_registry.executed_ids.close()
        if self._executed_id_log is not None:
            self._executed_id_log.close()


def _watcher(config: NodeConfig, endpoint_list: EndpointList) -> EndpointListWatcher:
    max_wait_s = config.poll_deadline_ms * POLL_WAIT_FRACTION / 1000.0
    # A push agent runs on this machine for this node alone, so it needs no protection by a long backoff.
    max_backoff_s = max_wait_s if config.settings.poll_discovery else INITIAL_BACKOFF_S
    policy = PollPolicy(max_wait_s, max_backoff_s, Random(config.seed))
    return EndpointListWatcher(
        config.discovery, config.initial_list.revision, policy, endpoint_list.apply_update
    )
