"""An event loop that can partition its nodes by region: connections to another region then hang.

The region of a task's node is a context variable, which tasks and timers inherit. A partition aborts
connections to other regions and lets new ones hang until they time out. Only outgoing connections are
affected, so both ends of a link have to be nodes on such loops, or instances of the list service.
"""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import Callable, Mapping
from contextvars import ContextVar
from typing import Any

HANG_S = 3_600.0  # longer than any connect timeout

region_of_task: ContextVar[str | None] = ContextVar("region_of_task", default=None)


class RegionLoop(asyncio.SelectorEventLoop):
    """The event loop of a process of hollow nodes."""

    def __init__(self) -> None:
        super().__init__()
        self.regions: Mapping[int, str] = {}  # by port
        self._partitioned = False
        self._cross_region: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()

    def partition(self, partitioned: bool) -> None:
        self._partitioned = partitioned
        if partitioned:
            for transport in list(self._cross_region):
                transport.abort()

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        region = region_of_task.get()
        cross_region = region is not None and port is not None and self.regions.get(port, region) != region
        if cross_region and self._partitioned:
            await asyncio.sleep(HANG_S)
        transport, protocol = await super().create_connection(protocol_factory, host, port, **options)
        if cross_region:
            self._cross_region.add(transport)
            if self._partitioned:  # the partition began while it was connecting
                transport.abort()
        return transport, protocol
