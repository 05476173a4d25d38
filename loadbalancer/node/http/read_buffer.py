"""Bounded reads: the protocols of a process share one buffer, so that no read takes more than it holds."""

from __future__ import annotations

import asyncio

READ_BYTES = 64 * 1024  # default size of the buffer


class BoundedReadProtocol(asyncio.BufferedProtocol):
    """A protocol that gets at most `len(read_buffer)` bytes for each event of the loop.

    The buffer may be shared, because `data_received` gets a copy and is called before the next read.
    """

    def __init__(self, read_buffer: bytearray) -> None:
        self._read_buffer = read_buffer

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that the event loop reads into."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that the event loop has read."""
        self.data_received(bytes(memoryview(self._read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
