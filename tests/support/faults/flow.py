"""One direction of a connection through a relay: data and stream end in order, delayed, blocked or lost."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

# Buffered bytes of one direction: above HIGH reading from its source pauses, below LOW it resumes.
HIGH, LOW = 256 * 1024, 64 * 1024


@dataclass(slots=True)
class DirectionFaults:
    """Faults that apply to all data in one direction of a relay."""

    blocked: bool = False  # data is delivered once unblocked, as TCP retransmits when a cable is plugged in
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # maximum extra delay, drawn for each chunk; order is preserved


class StreamEnd(Enum):
    """How the source's side of a connection ended."""

    EOF = "eof"  # the source sends no more
    RESET = "reset"  # the source's connection was reset or closed


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a TCP reset and discard its unsent data."""
    with contextlib.suppress(OSError):  # it is closed already
        linger = struct.pack("ii", 1, 0)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


class Flow:
    """Forwards one socket's data to the other, with the faults of its direction; runs on the relay's loop."""

    def __init__(self, faults: DirectionFaults, rng: Random, on_eof_sent: Callable[[], None]) -> None:
        self.faults = faults
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.discards_data = False  # further bytes are dropped; the end of the stream is still forwarded
        self.eof_sent = False
        self.stopped = False  # nothing is forwarded any more
        self._rng = rng
        self._on_eof_sent = on_eof_sent
        self._buffer: deque[tuple[float, bytes | StreamEnd]] = deque()
        self._size = 0
        self._last_due = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._sink_full = False
        self._paused = False

    def feed(self, chunk: bytes | StreamEnd) -> None:
        """Queue a chunk or the stream's end, and forward what is due."""
        if self.stopped or (self.discards_data and isinstance(chunk, bytes)):
            return
        delay_ms = self.faults.delay_ms
        if self.faults.jitter_ms:
            delay_ms += self._rng.uniform(0.0, self.faults.jitter_ms)
        due = asyncio.get_running_loop().time() + delay_ms / 1000.0 if delay_ms else 0.0
        self._last_due = max(self._last_due, due)
        self._buffer.append((self._last_due, chunk))
        if isinstance(chunk, bytes):
            self._size += len(chunk)
        self.push()

    def push(self) -> None:
        """Forward what is due; called again after a delay, an unblocking or the sink's connection."""
        if self.sink is not None:
            now = asyncio.get_running_loop().time()
            while self._buffer and not (self.faults.blocked or self.stopped):
                due, chunk = self._buffer[0]
                if due > now:
                    self._wake_at(due)
                    break
                if self.sink.is_closing():  # the source is notified by the sink's connection_lost
                    self.stop()
                    break
                self._buffer.popleft()
                self._forward(self.sink, chunk)
        self._update_reading()

    def _forward(self, sink: asyncio.Transport, chunk: bytes | StreamEnd) -> None:
        if isinstance(chunk, bytes):
            self._size -= len(chunk)
            sink.write(chunk)
        elif chunk is StreamEnd.RESET:
            self.stop()
            reset(sink)
        else:
            self.eof_sent = True
            with contextlib.suppress(OSError):  # it was reset meanwhile; connection_lost will handle that
                sink.write_eof()
            self._on_eof_sent()

    def _wake_at(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due, self.push)

    def set_sink_full(self, full: bool) -> None:
        """Apply the sink's flow control: while its write buffer is full, the source isn't read."""
        self._sink_full = full
        self._update_reading()

    def _update_reading(self) -> None:
        if self.source is None or self.source.is_closing():
            return
        if not self._paused and (self._sink_full or self._size > HIGH) and not self.stopped:
            self._paused = True
            self.source.pause_reading()
        elif self._paused and (self.stopped or (not self._sink_full and self._size < LOW)):
            self._paused = False
            self.source.resume_reading()

    def stop(self) -> None:
        """Discard the buffer and forward nothing more."""
        self.stopped = True
        self._buffer.clear()
        self._size = 0
        if self._timer is not None:
            self._timer.cancel()
        self._update_reading()
