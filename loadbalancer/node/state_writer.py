"""Keeping the state file: what it gives back at a start, and its writing while the node runs."""

from __future__ import annotations

import asyncio
from pathlib import Path

from loadbalancer.balancing.events import StateRestored
from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.discovery.watcher import EndpointListWatcher
from loadbalancer.node.endpoint_list import EndpointList
from loadbalancer.node.state.snapshot import StateFile, complete_list, encode_state, read_state


class StateWriter:
    """A part of the node (node/component.py) where the configuration names a state file."""

    def __init__(
        self,
        path: Path,
        config: NodeConfig,
        clock: Clock,
        servers: EndpointList,
        watcher: EndpointListWatcher,
        driver: Driver,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._file = StateFile(path)
        self._name = config.name
        self._known_rev = config.initial_list.revision
        self._every_s = config.state_write_interval_ms / 1000.0
        self._clock = clock
        self._servers = servers
        self._watcher = watcher
        self._driver = driver
        self._writing: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    def restore(self) -> None:
        """Take from the state file what its rules let through: bans, then the list, then the figures."""
        found = read_state(self._file.path, self._name, self._clock.ms(), self._known_rev)
        self._servers.restore_ejections(found.ejected_since_ms)
        if found.endpoint_list is not None:
            self._servers.apply_update(EndpointListKind.CACHED, found.endpoint_list)
            self._watcher.resume_from(found.endpoint_list.revision)
        if found.learned is not None:
            self._driver.tell(StateRestored(found.learned, found.age_ms))

    async def start(self) -> None:
        self._keep()

    async def stop(self) -> None:
        await self._write()

    def close(self) -> None:
        self._file.close()
        if self._timer is not None:
            self._timer.cancel()

    def metrics(self) -> str:
        kept = self._file
        return (
            f"proxy.state_writes={kept.writes}\nproxy.state_failures={kept.failures}\n"
            f"proxy.state_bytes={kept.last_write_bytes}\n"
            f"proxy.state_write_ms={kept.last_write_s * 1000.0:.3f}\n"
        )

    def write_soon(self) -> None:
        """Write now, beside the period; never on a request's path."""
        task = asyncio.create_task(self._write())
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)

    def _keep(self) -> None:
        self.write_soon()
        self._timer = self._loop.call_later(self._every_s, self._keep)

    async def _write(self) -> None:
        servers, out = self._servers, self._servers.ejected_since_ms()
        # What the thread reads is made here and never changed after: copies of the figures and the list.
        learned, listing = (
            self._driver.balancer.learned_state(),
            complete_list(servers.endpoints, servers.revision),
        )
        learned.class_latency_ms, name, now = dict(learned.class_latency_ms), self._name, self._clock.ms()
        await self._file.write(lambda: encode_state(name, now, learned, out, listing))
