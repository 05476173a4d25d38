"""How bytes flow on a caller's connection: when it is read, whether the caller reads, and the last moment."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from loadbalancer.node.http.socket_buffer import readable

LINGER_S = (
    1.0  # how long after a fatal answer, and after the last that a caller still sends, that is dropped,
)
MAX_LINGER_S = 5.0  # at the most
WRITE_STALL_TIMEOUT_S = 10.0  # a caller that takes nothing of its answer for so long has given up reading


class ReadControl:
    """Whether the connection is read, as the source of its requests' bodies: not while a body has to wait,
    nor while a request stands behind the one being answered."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, transport: asyncio.Transport, on_held: Callable[[float], None]
    ) -> None:
        self._loop = loop
        self._transport = transport
        self._on_held = on_held  # told for how long a body had to wait
        self._held_at: float | None = None  # the loop's time since when one has had to
        self._full = False
        self._stopped_at: float | None = None  # the loop's time since when nothing is read
        self._unread_since: float | None = None  # what is read next came after this, while nothing was

    @property
    def body_paused(self) -> bool:
        return self._held_at is not None

    def pause(self) -> None:
        if self._held_at is None:
            self._held_at = self._loop.time()
            self._apply()

    def resume(self) -> None:
        if self._held_at is not None:
            self._on_held(self._loop.time() - self._held_at)
            self._held_at = None
            self._apply()

    def abandon(self) -> None:
        """The rest is read and dropped."""
        self.resume()

    def set_backlogged(self, full: bool) -> None:
        """Whether enough has been read to go on with; the rest is left in the kernel."""
        self._full = full
        self._apply()

    def earliest_arrival(self, now: float) -> float:
        """The earliest moment at which what is read now may have come."""
        since, self._unread_since = self._unread_since, None
        return now if since is None else since

    def _apply(self) -> None:
        if self._full or self._held_at is not None:
            if self._stopped_at is None:
                self._stopped_at = self._loop.time()
            self._transport.pause_reading()
            return
        if self._stopped_at is not None and readable(self._transport):
            self._unread_since = self._stopped_at
        self._stopped_at = None
        self._transport.resume_reading()


class WriteControl:
    """What waits for the caller to read it."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self.full = False  # so much that nothing more is to be begun for this caller
        self._unsent = 0  # at the last look,
        self._since = 0.0  # and the loop's time since when it has been so much

    @property
    def unsent(self) -> int:
        return self._transport.get_write_buffer_size()

    def stalled(self, now: float) -> bool:
        """Whether the caller has taken nothing of it for too long."""
        unsent = self.unsent
        if unsent != self._unsent or not unsent:
            self._unsent, self._since = unsent, now
        return now - self._since >= WRITE_STALL_TIMEOUT_S

    def set_reset(self, on: bool) -> None:
        """Whether a close, the process's end too, is to reset the connection."""
        linger = struct.pack("ii", on, 0)
        self._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class LingeringClose:
    """The reading on after the end of the sending: to close over unread bytes would reset the answer away."""

    def __init__(self, now: float) -> None:
        self._heard_at = now
        self._until = now + MAX_LINGER_S

    def on_data(self, now: float) -> None:
        self._heard_at = now

    def is_over(self, now: float, unsent: int) -> bool:
        """Whether it was enough: all has left, and the caller sends no more, or has for too long."""
        if unsent:
            self._heard_at, self._until = now, now + MAX_LINGER_S
        return now >= min(self._heard_at + LINGER_S, self._until)
