"""The callers' side: listens, and keeps their connections within their share of the descriptors."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from orchidledge.net.call import Call
from orchidledge.net.connection import ServerConnection

BACKLOG = 1024
DRAIN_OPEN_S = 0.5  # connections still come for up to 0.4 s after a drain began
DRAIN_STEP_S = 0.01
SWEEP_S = 0.1  # looked at so often, as a peer that sends no request is owed an error or a close within 3 s


def inherited(text: str) -> socket.socket:
    """The listening socket of this descriptor; OSError if it is nothing of the kind."""
    try:
        found = socket.socket(fileno=int(text))
    except (OSError, ValueError, OverflowError) as error:
        raise OSError(f"descriptor {text!r} is no socket: {error}") from error
    try:
        listening = found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listening = 0
    if listening and (found.family, found.type) == (socket.AF_INET, socket.SOCK_STREAM):
        return found
    found.detach()  # whatever it is, it is not the node's to close
    raise OSError(f"descriptor {text!r} is no listening TCP socket")


class Server:
    """Listens, and keeps the callers' connections within their share of the descriptors."""

    def __init__(self, limit: int, on_call: Callable[[Call], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.limit = limit
        self.on_call = on_call
        self.ready = False
        self.shares_socket = False  # another process may accept from the listening socket too
        self.draining = False  # answers end their connections
        self.expired = 0  # connections ended for want of a request
        self.connections: dict[ServerConnection, None] = {}  # in the order of their opening
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._drain_timer: asyncio.TimerHandle | None = None

    @property
    def takes_clients(self) -> bool:
        """What the front is told: whether new connections are welcome."""
        return self.ready and not self.draining

    @property
    def crowded(self) -> bool:
        return len(self.connections) > self.limit

    @property
    def address(self) -> tuple[str, int]:
        assert self._listener is not None
        host, port = self._listener.sockets[0].getsockname()[:2]
        return host, port

    async def listen(self, host: str, port: int, accept_fd: str | None = None) -> None:
        """Accept at this address, or from the listening socket that the platform holds for it."""
        self.shares_socket = accept_fd is not None
        raw = socket.create_server((host, port)) if accept_fd is None else inherited(accept_fd)
        # Guard: asyncio accepts as many as its `backlog` before it looks at any, and closed ones go a turn or
        # two later: a small one keeps a burst within the descriptors. The kernel's queue is then made long.
        self._listener = await self.loop.create_server(
            lambda: ServerConnection(self), sock=raw, backlog=max(1, self.limit // 7)
        )
        raw.listen(BACKLOG)
        self._sweep()

    def opened(self, connection: ServerConnection) -> None:
        self.connections[connection] = None
        if self.crowded:  # Guard: idle connections go first; accepting never stops
            idle = [other for other in self.connections if other.idle and other is not connection]
            for other in sorted(idle, key=lambda one: one.since):
                if other.close_if_idle():
                    break

    def closed(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)

    def drain(self, young_s: float = 0.0, open_s: float = DRAIN_OPEN_S) -> None:
        """Let go of the callers: the idle ones too, once the front has had time to look, but none of them
        so soon after its start that its first request may still be on its way."""
        if not self.draining:
            self.draining = True
            self._drain_timer = self.loop.call_later(open_s, self._close_idle, young_s)

    def resume(self) -> None:
        """End the drain."""
        self.draining = False
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None

    def _close_idle(self, young_s: float) -> None:
        before = self.loop.time() - young_s
        for connection in list(self.connections):
            if connection.opened_at <= before:
                connection.close_if_idle()
        self._drain_timer = self.loop.call_later(DRAIN_STEP_S, self._close_idle, young_s)

    def stop_accepting(self) -> None:
        """Leave what still comes to the process that accepts from the same socket."""
        if self._listener is not None:
            self._listener.close()

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        if self._drain_timer is not None:
            self._drain_timer.cancel()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def _sweep(self) -> None:
        self.expire(self.loop.time())
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)

    def expire(self, now: float) -> None:
        """End the connections on which a request is overdue by now."""
        for connection in list(self.connections):
            self.expired += connection.expire(now)
