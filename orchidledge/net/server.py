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
        self._listener: socket.socket | None = None
        self._coming: set[asyncio.Task[object]] = set()  # accepted, and not yet among the connections
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
    def deserted(self) -> bool:
        """Whether no caller is connected, as far as has been accepted."""
        return not self.connections and not self._coming

    @property
    def address(self) -> tuple[str, int]:
        assert self._listener is not None
        host, port = self._listener.getsockname()[:2]
        return host, port

    async def listen(self, host: str, port: int, accept_fd: str | None = None) -> None:
        """Accept at this address, or from the listening socket that the platform holds for it."""
        self.shares_socket = accept_fd is not None
        # Guard: asyncio sets TCP_NODELAY on what comes of a socket that names its protocol, as one made
        # from a descriptor does. Else the last of an answer in pieces is held back, and lost to a reset.
        made = str(socket.create_server((host, port)).detach()) if accept_fd is None else accept_fd
        raw = inherited(made)
        raw.setblocking(False)
        raw.listen(BACKLOG)
        self._listener = raw
        self.loop.add_reader(raw, self._accept)
        self._sweep()

    def _accept(self) -> None:
        """Take in some of what the kernel has accepted; the rest has its turn in the loop's next ones."""
        # Guard: closed connections go a turn or two later: a burst of a few keeps within the descriptors.
        for _ in range(max(1, self.limit // 7)):
            if not self._accept_one():
                break

    def _accept_one(self) -> bool:
        """Whether there was one to take in."""
        assert self._listener is not None
        try:
            raw, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        # Guard: a transport that asyncio.Server makes for a connection fails once that server is closed,
        # and lost the requests of those accepted in the turn before.
        task = asyncio.create_task(self.loop.connect_accepted_socket(lambda: ServerConnection(self), raw))
        self._coming.add(task)
        task.add_done_callback(self._coming.discard)
        return True

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
        """Stop listening. What the kernel has accepted is taken in first, unless another process accepts from
        the same socket: the kernel resets what a closed listener leaves behind."""
        if self._listener is not None:
            while not self.shares_socket and self._accept_one():
                pass
            self._stop_listening()

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self.loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def close(self) -> None:
        self._stop_listening()
        if self._drain_timer is not None:
            self._drain_timer.cancel()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.expire(now)
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)

    def expire(self, now: float) -> None:
        """End the connections on which a request is overdue by now."""
        for connection in list(self.connections):
            self.expired += connection.expire(now)
