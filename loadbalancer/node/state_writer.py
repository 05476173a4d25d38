"""Restores the node's state from its state file at the start and writes that file while the node runs."""

from __future__ import annotations

import asyncio
from pathlib import Path

from loadbalancer.balancing.events import StateRestored
from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.balancer_driver import BalancerDriver
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.node.operator_ejections import OperatorEjections
from loadbalancer.node.state.restore import read_state
from loadbalancer.node.state.snapshot import encode_state
from loadbalancer.node.state.state_file import StateFile


class StateWriter:
    """A component of the node (node/component.py) that is used if the configuration names a state file."""

    def __init__(
        self,
        path: Path,
        config: NodeConfig,
        clock: Clock,
        endpoint_list: EndpointList,
        ejections: OperatorEjections,
        watcher: EndpointListWatcher,
        driver: BalancerDriver,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._file = StateFile(path)
        self._node_name = config.name
        self._configured_revision = config.initial_list.revision
        self._interval_s = config.state_write_interval_ms / 1000.0
        self._clock = clock
        self._endpoint_list = endpoint_list
        self._ejections = ejections
        self._watcher = watcher
        self._driver = driver
        self._writes: set[asyncio.Task[None]] = set()  # references that keep the tasks alive until they end
        self._timer: asyncio.TimerHandle | None = None

    def restore(self) -> None:
        """Apply the accepted parts of the state file: ejections, then the list, then the learned state."""
        restored = read_state(
            self._file.path, self._node_name, self._clock.unix_ms(), self._configured_revision
        )
        self._ejections.restore_from_state(restored.ejected_since_ms)
        if restored.endpoint_list is not None:
            self._endpoint_list.apply_update(EndpointListKind.CACHED, restored.endpoint_list)
            self._watcher.resume_from(restored.endpoint_list.revision)
        if restored.learned is not None:
            self._driver.handle_event(StateRestored(restored.learned, restored.age_ms))

    async def start(self) -> None:
        """Write the file now and periodically from now on."""
        self._write_periodically()

    async def stop(self) -> None:
        """Write the file one last time, and let another process write it."""
        self._cancel_timer()
        try:
            await self._write()
        finally:
            # In a worker thread, as it waits for a write in progress.
            self._loop.run_in_executor(None, self._file.close)

    def close(self) -> None:
        """Release the file and end the periodic writes."""
        self._file.close()
        self._cancel_timer()

    def metrics(self) -> str:
        """Return the state file's lines of GET /status/metrics."""
        file = self._file
        return (
            f"proxy.state_writes={file.writes}\nproxy.state_failures={file.failures}\n"
            f"proxy.state_bytes={file.last_write_bytes}\n"
            f"proxy.state_write_ms={file.last_write_s * 1000.0:.3f}\n"
        )

    def write_soon(self) -> None:
        """Start a write in its own task, independent of the periodic ones."""
        task = asyncio.create_task(self._write())
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _write_periodically(self) -> None:
        self.write_soon()
        self._timer = self._loop.call_later(self._interval_s, self._write_periodically)

    async def _write(self) -> None:
        # Copies, since the worker thread that encodes them must not read data that the event loop changes.
        ejected_since_ms = self._ejections.ejected_since_ms()
        learned = self._driver.balancer.learned_state()
        learned.class_latency_ms = dict(learned.class_latency_ms)
        endpoint_list = self._endpoint_list.complete_list()
        now_ms = self._clock.unix_ms()
        await self._file.write(
            lambda: encode_state(self._node_name, now_ms, learned, ejected_since_ms, endpoint_list)
        )
