"""Flow control on a client's connection: when it is read, whether the client reads, the lingering close."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from loadbalancer.node.http.socket_buffer import readable

LINGER_S = 1.0  # from the last response, and from the last byte that the client still sends, to the close
MAX_LINGER_S = 5.0  # from the last response, whatever the client sends
WRITE_STALL_TIMEOUT_S = 10.0  # a client that takes nothing of its response for so long is disconnected


class ReadControl:
    """Whether the connection is read, as the source of its requests' bodies: not while a body is paused, nor
    while a request is queued behind the one that is being answered.

    `on_resumed` is called with the time (s) for which a body was paused.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.Transport,
        on_resumed: Callable[[float], None],
    ) -> None:
        self._loop = loop
        self._transport = transport
        self._on_resumed = on_resumed
        self._body_paused_at: float | None = None  # loop time (s)
        self._backlogged = False
        self._stopped_at: float | None = None  # loop time (s) since when nothing is read
        self._unread_since: float | None = None  # what is read next came after this, while nothing was read

    @property
    def body_paused(self) -> bool:
        """Whether a body is paused."""
        return self._body_paused_at is not None

    def pause(self) -> None:
        """Stop reading, as a body can't be taken."""
        if self._body_paused_at is None:
            self._body_paused_at = self._loop.time()
            self._apply()

    def resume(self) -> None:
        """End the pause of a body."""
        if self._body_paused_at is not None:
            self._on_resumed(self._loop.time() - self._body_paused_at)
            self._body_paused_at = None
            self._apply()

    def abandon(self) -> None:
        """Read on, as the rest of the body is dropped."""
        self.resume()

    def set_backlogged(self, backlogged: bool) -> None:
        """Set whether enough has been read to go on with; the rest is left in the kernel."""
        self._backlogged = backlogged
        self._apply()

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest loop time (s) at which the bytes that are read now may have arrived."""
        since, self._unread_since = self._unread_since, None
        return now if since is None else since

    def _apply(self) -> None:
        if self._backlogged or self._body_paused_at is not None:
            if self._stopped_at is None:
                self._stopped_at = self._loop.time()
            self._transport.pause_reading()
            return
        if self._stopped_at is not None and readable(self._transport):
            self._unread_since = self._stopped_at
        self._stopped_at = None
        self._transport.resume_reading()


class WriteControl:
    """The write buffer of a client's connection, and whether the client takes what is in it."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self.full = False  # no response is begun then
        self._last_unsent = 0  # bytes at the last check
        self._unchanged_since = 0.0  # loop time (s) since when the buffer has held so much

    @property
    def unsent(self) -> int:
        """The number of bytes that have not left."""
        return self._transport.get_write_buffer_size()

    def stalled(self, now: float) -> bool:
        """Whether the client has taken nothing for too long at this loop time (s)."""
        unsent = self.unsent
        if unsent != self._last_unsent or not unsent:
            self._last_unsent, self._unchanged_since = unsent, now
        return now - self._unchanged_since >= WRITE_STALL_TIMEOUT_S

    def set_reset(self, on: bool) -> None:
        """Set whether a close, also by the end of the process, resets the connection."""
        linger = struct.pack("ii", on, 0)
        self._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class LingeringClose:
    """Reads on after the end of the sending side: a close over unread bytes would reset the response away."""

    def __init__(self, now: float) -> None:
        self._last_data_at = now
        self._until = now + MAX_LINGER_S

    def on_data(self, now: float) -> None:
        """Take note that the client has sent something at this loop time (s)."""
        self._last_data_at = now

    def is_over(self, now: float, unsent: int) -> bool:
        """Whether the connection may close: all has left, and the client sends nothing more, or has sent for
        too long."""
        if unsent:
            self._last_data_at, self._until = now, now + MAX_LINGER_S
        return now >= min(self._last_data_at + LINGER_S, self._until)
