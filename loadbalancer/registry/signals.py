"""The stop signals of the list service's programs."""

from __future__ import annotations

import asyncio
import signal


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()
