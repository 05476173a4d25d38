"""An event loop whose nodes may be parted by region: what a node dials in another one stays silent.

The node that a task works for is a context variable, which tasks and timers inherit. A cut ends the
connections across it and leaves new ones hanging until their callers give up; only dialling is cut, so both
ends of a link have to be nodes of such loops, or instances of the list service.
"""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import Callable, Mapping
from contextvars import ContextVar
from typing import Any

HANG_S = 3_600.0  # over what any caller waits

region_of_task: ContextVar[str | None] = ContextVar("region_of_task", default=None)


class RegionLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        super().__init__()
        self.regions: Mapping[int, str] = {}  # by port
        self._parted = False
        self._across: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()

    def part(self, parted: bool) -> None:
        self._parted = parted
        if parted:
            for transport in list(self._across):
                transport.abort()

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        region = region_of_task.get()
        across = region is not None and port is not None and self.regions.get(port, region) != region
        if across and self._parted:
            await asyncio.sleep(HANG_S)
        transport, protocol = await super().create_connection(protocol_factory, host, port, **options)
        if across:
            self._across.add(transport)
            if self._parted:  # while it was being dialled
                transport.abort()
        return transport, protocol
