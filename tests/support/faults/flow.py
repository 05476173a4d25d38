"""One way of one connection through a relay: bytes and ends kept in order, late, held or lost."""

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

HIGH, LOW = 256 * 1024, 64 * 1024  # bytes held for one way: over HIGH its source waits, until under LOW


@dataclass(slots=True)
class Way:
    """What befalls all that goes one way through a relay."""

    silent: bool = False  # held until it is silent no more, as TCP sends again once a cable is joined
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # up to so much more, drawn for each piece; order is kept


class Ending(Enum):
    EOF = "eof"  # the source sends no more
    RESET = "reset"  # the source's connection is gone


def reset(transport: asyncio.Transport) -> None:
    """End a connection so that the other side sees a reset, with what it was still to be sent thrown away."""
    with contextlib.suppress(OSError):  # it is closed already
        linger = struct.pack("ii", 1, 0)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


class Flow:
    """Moves what one socket sends to the other one, as its way says; runs on the relay's loop."""

    def __init__(self, way: Way, rng: Random, ended: Callable[[], None]) -> None:
        self.way = way
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.lost = False  # bytes go nowhere from now on; an ending still passes
        self.eof_passed = False
        self.over = False  # nothing passes any more
        self._rng = rng
        self._ended = ended
        self._held: deque[tuple[float, bytes | Ending]] = deque()
        self._size = 0
        self._last_due = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._sink_full = False
        self._paused = False

    def feed(self, piece: bytes | Ending) -> None:
        if self.over or (self.lost and isinstance(piece, bytes)):
            return
        late_ms = self.way.delay_ms
        if self.way.jitter_ms:
            late_ms += self._rng.uniform(0.0, self.way.jitter_ms)
        due = asyncio.get_running_loop().time() + late_ms / 1000.0 if late_ms else 0.0
        self._last_due = max(self._last_due, due)
        self._held.append((self._last_due, piece))
        if isinstance(piece, bytes):
            self._size += len(piece)
        self.push()

    def push(self) -> None:
        """Pass on what is due; called again when its time comes, or the way or the sink opens."""
        if self.sink is not None:
            now = asyncio.get_running_loop().time()
            while self._held and not (self.way.silent or self.over):
                due, piece = self._held[0]
                if due > now:
                    self._wake_at(due)
                    break
                if self.sink.is_closing():  # its end is known, and comes to the source by connection_lost
                    self.stop()
                    break
                self._held.popleft()
                self._pass(self.sink, piece)
        self._mind_source()

    def _pass(self, sink: asyncio.Transport, piece: bytes | Ending) -> None:
        if isinstance(piece, bytes):
            self._size -= len(piece)
            sink.write(piece)
        elif piece is Ending.RESET:
            self.stop()
            reset(sink)
        else:
            self.eof_passed = True
            with contextlib.suppress(OSError):  # it was reset meanwhile, which connection_lost will tell
                sink.write_eof()
            self._ended()

    def _wake_at(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due, self.push)

    def set_sink_full(self, full: bool) -> None:
        self._sink_full = full
        self._mind_source()

    def _mind_source(self) -> None:
        if self.source is None or self.source.is_closing():
            return
        if not self._paused and (self._sink_full or self._size > HIGH) and not self.over:
            self._paused = True
            self.source.pause_reading()
        elif self._paused and (self.over or (not self._sink_full and self._size < LOW)):
            self._paused = False
            self.source.resume_reading()

    def stop(self) -> None:
        self.over = True
        self._held.clear()
        self._size = 0
        if self._timer is not None:
            self._timer.cancel()
        self._mind_source()
