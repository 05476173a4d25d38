"""The callers' side: listens, and keeps their connections within their share of the descriptors."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable, Iterable
from itertools import islice

from loadbalancer.node.listener.connection import ServerConnection
from loadbalancer.node.listener.connection_states import ClosableConnection
from loadbalancer.node.listener.inbound_request import InboundRequest

log = logging.getLogger("loadbalancer")

BACKLOG = 1024
ACCEPT_PAUSE_S = 0.002  # while there is no room: a connection that is closed goes a turn of the loop later
DRAIN_OPEN_S = 0.5  # connections still come for up to 0.4 s after a drain began
DRAIN_STEP_S = 0.01
SWEEP_INTERVAL_S = (
    0.1  # looked at so often, as a peer that sends no request is owed an error or a close within 3 s
)

# What goes first where callers are too many, and where their descriptors are. Accepting never stops.
_Ending = Callable[[ClosableConnection], bool]
_END_FOR_REQUESTS: tuple[_Ending, ...] = (
    ClosableConnection.close_if_idle,
    ClosableConnection.reject_partial_request,
)
_END_FOR_DESCRIPTORS: tuple[_Ending, ...] = (ClosableConnection.close_lingering, *_END_FOR_REQUESTS)


def inherited_socket(text: str) -> socket.socket:
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


class Listener:
    """Listens, and keeps the callers' connections within their share of the descriptors."""

    def __init__(self, limit: int, on_call: Callable[[InboundRequest], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.request_limit = limit  # of connections that take requests
        self._burst = max(1, limit // 7)  # of those accepted in one turn of the loop
        self.max_connections = limit + 3 * limit // 7  # of all, those that are being ended too
        self.on_request = on_call
        self.ready = False
        self.shares_socket = False  # another process may accept from the listening socket too
        self.draining = False  # answers end their connections
        self.expired = 0  # connections ended for want of a request
        self.connections: dict[ClosableConnection, None] = {}  # in the order of their opening
        self._socket: socket.socket | None = None
        self._accepting: set[asyncio.Task[object]] = set()  # accepted, and not yet among the connections
        self._short = False  # the last connection could not be accepted for want of a descriptor
        self._accept_timer: asyncio.TimerHandle | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._drain_timer: asyncio.TimerHandle | None = None

    @property
    def accepts_clients(self) -> bool:
        """What the front is told: whether new connections are welcome."""
        return self.ready and not self.draining

    @property
    def over_limit(self) -> bool:
        return self._excess() > 0

    def _excess(self) -> int:
        """How many of the connections that take requests are over the limit."""
        many = len(self.connections) - self.request_limit
        return many if many <= 0 else sum(not one.is_closing for one in self.connections) - self.request_limit

    @property
    def has_no_clients(self) -> bool:
        """Whether no caller is connected, as far as has been accepted."""
        return not self.connections and not self._accepting

    @property
    def address(self) -> tuple[str, int]:
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    async def listen(self, host: str, port: int, accept_fd: str | None = None) -> None:
        """Accept at this address, or from the listening socket that the platform holds for it."""
        self.shares_socket = accept_fd is not None
        # Guard: asyncio sets TCP_NODELAY on what comes of a socket that names its protocol, as one made
        # from a descriptor does. Else the last of an answer in pieces is held back, and lost to a reset.
        made = str(socket.create_server((host, port)).detach()) if accept_fd is None else accept_fd
        raw = inherited_socket(made)
        raw.setblocking(False)
        raw.listen(BACKLOG)
        self._socket = raw
        self.loop.add_reader(raw, self._accept)
        self._sweep()

    @property
    def at_capacity(self) -> bool:
        """Guard: callers may never take the descriptors that servers and discovery need."""
        return len(self.connections) + len(self._accepting) >= self.max_connections

    def _accept(self) -> None:
        """Take in some of what the kernel has accepted; the rest has its turn in the loop's next ones."""
        for _ in range(self._burst):
            if self.at_capacity:
                self._accept_later()
            elif self._accept_one():
                continue
            break

    def _accept_later(self) -> None:
        """End connections to make room, and go on with accepting once they have gone."""
        if self._socket is not None and self.loop.remove_reader(self._socket):
            self._close_surplus(_END_FOR_DESCRIPTORS, self._burst)
            self._accept_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._accept_again)

    def _accept_again(self) -> None:
        if self._socket is not None:
            self.loop.add_reader(self._socket, self._accept)

    def _accept_one(self) -> bool:
        """Whether there was one to take in."""
        assert self._socket is not None
        try:
            raw, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:  # Guard: the platform's limit is lower than the configuration says
            if not self._short:  # once for each stretch: it is tried again hundreds of times a second
                log.error("a connection can't be accepted yet: %s", error)
            self._short = True
            self._accept_later()
            return False
        self._short = False
        # Guard: a transport that asyncio.Server makes for a connection fails once that server is closed,
        # and lost the requests of those accepted in the turn before.
        task = asyncio.create_task(self.loop.connect_accepted_socket(lambda: ServerConnection(self), raw))
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)
        return True

    def opened(self, connection: ClosableConnection) -> None:
        self.connections[connection] = None
        self._close_surplus(_END_FOR_REQUESTS, self._excess(), connection)

    def _close_surplus(
        self, ways: Iterable[_Ending], count: int, but: ClosableConnection | None = None
    ) -> None:
        """End so many connections, the first of these ways first, and those longest at rest. None of them has
        a whole request, as far as has been read."""
        if count > 0:
            others = sorted(
                (one for one in self.connections if one is not but), key=lambda one: one.last_activity_at
            )
            ended = (one for end in ways for one in others if end(one))
            deque(islice(ended, count), maxlen=0)

    def closed(self, connection: ClosableConnection) -> None:
        self.connections.pop(connection, None)

    def drain(self, young_s: float = 0.0, open_s: float = DRAIN_OPEN_S) -> None:
        """Let go of the callers: the idle ones too, once the front has had time to look, but none of them
        so soon after its start that its first request may still be on its way."""
        if not self.draining:
            self.draining = True
            self._drain_timer = self.loop.call_later(open_s, self._close_idle, young_s)

    def reject_partial_requests(self) -> None:
        """Refuse what has come in part."""
        for connection in list(self.connections):
            connection.reject_partial_request()

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
        the same socket: the kernel resets what a closed listener leaves behind. It goes on listening while
        there is no room for all of it."""
        if self._socket is not None:
            while not self.shares_socket:
                if self.at_capacity:
                    return
                if not self._accept_one():
                    break
            self._stop_listening()

    def _stop_listening(self) -> None:
        if self._accept_timer is not None:
            self._accept_timer.cancel()
        if self._socket is not None:
            self.loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

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
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def expire(self, now: float) -> None:
        """End the connections on which a request is overdue by now."""
        for connection in list(self.connections):
            self.expired += connection.expire(now)
