"""Flow control of a client connection: pausing reads, detecting stalled writes, and the lingering close."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from loadbalancer.node.http.receive_progress import ReceiveProgress
from loadbalancer.node.http.socket_buffer import delivery, readable

LINGER_S = 1.0  # time until the close after the last response, or after the client's last byte since then
MIN_LINGER_S = 0.2  # at capacity, from the last response to the close
MAX_LINGER_S = 5.0  # upper bound after the last response, even if the client keeps sending
WRITE_STALL_TIMEOUT_S = 10.0  # a client that receives no byte of its response for this time is disconnected
MAX_FINAL_STALL_S = 5.0  # the same while the process ends; a client that reads 64 kB/s pauses for up to 4 s


def _ignore(_paused_s: float) -> None:
    pass


class ReadControl:
    """Pauses and resumes reading from a client connection; acts as the source of its request bodies.

    Reading is paused while a body is paused, and while another request is queued behind the one in progress.
    `on_resumed` is called with the duration (s) for which a body was paused.
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
        self._stopped_at: float | None = None  # loop time (s) at which reading was paused
        self._unread_since: float | None = None  # loop time (s); unread data arrived after this time

    @property
    def body_paused(self) -> bool:
        """Whether a body is paused."""
        return self._body_paused_at is not None

    def pause(self) -> None:
        """Stop reading, as the consumer of a body is not ready for more."""
        if self._body_paused_at is None:
            self._body_paused_at = self._loop.time()
            self._apply()

    def resume(self) -> None:
        """Resume a paused body."""
        if self._body_paused_at is not None:
            self._on_resumed(self._loop.time() - self._body_paused_at)
            self._body_paused_at = None
            self._apply()

    def abandon(self) -> None:
        """Resume reading, as the rest of the body is discarded."""
        self.resume()

    def close(self) -> None:
        """Drop the reference to the connection, which has been closed."""
        self._on_resumed = _ignore

    def set_backlogged(self, backlogged: bool) -> None:
        """Set whether reading pauses because enough requests are queued; further data stays in the kernel."""
        self._backlogged = backlogged
        self._apply()

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest loop time (s) at which the bytes read at `now` may have arrived.

        Bytes that are still unread may have arrived as early.
        """
        since = self._unread_since
        if since is None:
            return now
        if not readable(self._transport):
            self._unread_since = None
        return since

    def restart_arrival(self) -> None:
        """Take unread bytes as arriving from now on, as their request is dispatched now."""
        self._unread_since = None
        if self._stopped_at is not None:
            self._stopped_at = self._loop.time()

    def unread_since(self, now: float) -> float:
        """Return the earliest loop time (s) at which unread bytes may have arrived, or `now`."""
        since = self._stopped_at if self._unread_since is None else self._unread_since
        if since is None or not readable(self._transport):
            return now
        return since

    def _apply(self) -> None:
        if self._backlogged or self._body_paused_at is not None:
            if self._stopped_at is None:
                self._stopped_at = self._loop.time()
            self._transport.pause_reading()
            return
        if self._unread_since is None and self._stopped_at is not None and readable(self._transport):
            self._unread_since = self._stopped_at
        self._stopped_at = None
        self._transport.resume_reading()


class WriteControl:
    """Observes a client connection's write buffer, and sets whether a close resets the connection.

    With over `max_unsent_bytes` in the buffer, no response is started and a streamed one pauses.
    """

    def __init__(self, transport: asyncio.Transport, max_unsent_bytes: int) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=max_unsent_bytes)
        self.full = False  # while True, no response is started
        self._full_buffer_progress = ReceiveProgress()  # while bytes are unsent
        self._final_progress = ReceiveProgress()

    @property
    def unsent(self) -> int:
        """The number of bytes in the write buffer."""
        return self._transport.get_write_buffer_size()

    def stalled(self, now: float) -> bool:
        """Whether, at loop time `now` (s), the client has received nothing for `WRITE_STALL_TIMEOUT_S`."""
        if not self.unsent:
            self._full_buffer_progress.restart()
            return False
        silent_s = self._full_buffer_progress.silent_s(now, delivery(self._transport))
        return silent_s >= WRITE_STALL_TIMEOUT_S

    def receives(self, now: float) -> bool:
        """Whether, at loop time `now` (s), the client has received something in the last `MAX_FINAL_STALL_S`,
        or all that was sent.

        Called at short intervals while the process ends.
        """
        return self._final_progress.silent_s(now, delivery(self._transport)) < MAX_FINAL_STALL_S

    def set_reset(self, on: bool) -> None:
        """Set whether a close resets the connection, including the close at process exit."""
        linger = struct.pack("ii", on, 0)
        self._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class LingeringClose:
    """Timing of a lingering close, which reads on after the sending side has been shut down.

    Closing a connection with unread bytes would send a reset, and the client could lose the response.
    """

    def __init__(self, now: float) -> None:
        self._last_data_at = now
        self._until = now + MAX_LINGER_S

    def on_data(self, now: float) -> None:
        """Record that the client sent data at loop time `now` (s)."""
        self._last_data_at = now

    def has_lasted(self, now: float) -> bool:
        """Whether, at loop time `now` (s), the client has had `MIN_LINGER_S` to read its last response."""
        return now >= self._until - MAX_LINGER_S + MIN_LINGER_S

    def is_over(self, now: float, unsent: int) -> bool:
        """Whether the connection may close: everything has been sent, and the client has been silent for
        `LINGER_S` or has kept sending for `MAX_LINGER_S`."""
        if unsent:
            self._last_data_at, self._until = now, now + MAX_LINGER_S
        return now >= min(self._last_data_at + LINGER_S, self._until)
