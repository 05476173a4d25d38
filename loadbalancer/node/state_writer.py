"""Keeping the state file: what it gives back at a start, and its writing while the node runs."""

from __future__ import annotations

import asyncio
from pathlib import Path

from loadbalancer.balancing.events import StateRestored
from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.balancer_driver import Driver
from loadbalancer.node.clock import Clock
from loadbalancer.node.config import Config
from loadbalancer.node.discovery.watcher import Watcher
from loadbalancer.node.endpoint_list import ServerList
from loadbalancer.node.state.snapshot import StateFile, encode, listing_of, read


class Keeper:
    """A part of the node (node/component.py) where the configuration names a state file."""

    def __init__(
        self,
        path: Path,
        config: Config,
        clock: Clock,
        servers: ServerList,
        watcher: Watcher,
        driver: Driver,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._file = StateFile(path)
        self._name = config.name
        self._known_rev = config.known.revision
        self._every_s = config.state_every_ms / 1000.0
        self._clock = clock
        self._servers = servers
        self._watcher = watcher
        self._driver = driver
        self._writing: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    def restore(self) -> None:
        """Take from the state file what its rules let through: bans, then the list, then the figures."""
        found = read(self._file.path, self._name, self._clock.ms(), self._known_rev)
        self._servers.restore_bans(found.out)
        if found.listing is not None:
            self._servers.on_list(EndpointListKind.CACHED, found.listing)
            self._watcher.told(found.listing.revision)
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
            f"proxy.state_bytes={kept.bytes}\nproxy.state_write_ms={kept.last_s * 1000.0:.3f}\n"
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
        servers, out = self._servers, self._servers.banned()
        # What the thread reads is made here and never changed after: copies of the figures and the list.
        learned, listing = (
            self._driver.balancer.learned_state(),
            listing_of(servers.listed, servers.listed_rev),
        )
        learned.class_latency_ms, name, now = dict(learned.class_latency_ms), self._name, self._clock.ms()
        await self._file.write(lambda: encode(name, now, learned, out, listing))
