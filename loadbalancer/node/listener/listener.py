"""Listens for clients, and keeps their connections within their share of the descriptors."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable, Iterable
from itertools import islice

from loadbalancer.node.listener.connection import ServerConnection
from loadbalancer.node.listener.connection_states import ClosableConnection
from loadbalancer.node.listener.errors import InheritedSocketError
from loadbalancer.node.listener.inbound_request import InboundRequest

log = logging.getLogger("loadbalancer")

BACKLOG = 1024  # connections that the kernel holds until they are accepted
ACCEPT_PAUSE_S = 0.002  # at capacity: a connection that is closed is gone a turn of the loop later
DRAIN_OPEN_S = 0.5  # clients still open connections for up to 0.4 s after the start of a drain
DRAIN_INTERVAL_S = 0.01
NEW_CONNECTION_GRACE_S = 0.5  # for the first request of a connection, which its client would not send again
SWEEP_INTERVAL_S = 0.1  # a client without a request is owed an error or a close within 3 s
# The limit of connections that take requests has 7 parts. One of them may be accepted in a turn of the loop;
# three more are for connections that are being closed.
LIMIT_PARTS = 7
CLOSING_PARTS = 3

# What is closed first where connections exceed the limit, and where they exceed the descriptors. Accepting
# never stops for long.
_Close = Callable[[ClosableConnection], bool]
_CLOSE_OVER_LIMIT: tuple[_Close, ...] = (
    ClosableConnection.close_if_idle,
    ClosableConnection.reject_partial_request,
)
_CLOSE_AT_CAPACITY: tuple[_Close, ...] = (ClosableConnection.close_lingering, *_CLOSE_OVER_LIMIT)


def inherited_socket(descriptor: str) -> socket.socket:
    """Return the listening socket of this descriptor; raise InheritedSocketError if it is none."""
    try:
        found = socket.socket(fileno=int(descriptor))
    except (OSError, ValueError, OverflowError) as error:
        raise InheritedSocketError(descriptor, f"no socket: {error}") from error
    try:
        listening = found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listening = 0
    if listening and (found.family, found.type) == (socket.AF_INET, socket.SOCK_STREAM):
        return found
    found.detach()  # it is not the node's to close
    raise InheritedSocketError(descriptor, "no listening TCP socket")


class Listener:
    """Accepts clients' connections, `limit` of which may take requests, and passes these to `on_request`."""

    def __init__(self, limit: int, on_request: Callable[[InboundRequest], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.request_limit = limit  # of connections that take requests
        self._burst = max(1, limit // LIMIT_PARTS)  # of connections accepted in one turn of the loop
        self.max_connections = limit + CLOSING_PARTS * limit // LIMIT_PARTS  # with those being closed
        self.on_request = on_request
        self.ready = False
        self.shares_socket = False  # another process may accept from the listening socket too
        self.draining = False  # each response closes its connection
        self.expired = 0  # connections ended with an overdue request
        self.connections: dict[ClosableConnection, None] = {}  # in the order of their opening
        self._socket: socket.socket | None = None
        self._accepting: set[asyncio.Task[object]] = set()  # accepted, and not yet in `connections`
        self._lacks_descriptors = False  # the last attempt to accept has failed
        self._accept_timer: asyncio.TimerHandle | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._drain_timer: asyncio.TimerHandle | None = None

    @property
    def accepts_clients(self) -> bool:
        """Whether new connections are welcome, as the readiness check reports."""
        return self.ready and not self.draining

    @property
    def over_limit(self) -> bool:
        """Whether more connections take requests than may."""
        return self._excess() > 0

    def _excess(self) -> int:
        """Return by how many the connections that take requests exceed the limit."""
        excess = len(self.connections) - self.request_limit
        if excess <= 0:
            return excess
        return sum(not connection.is_closing for connection in self.connections) - self.request_limit

    @property
    def has_no_clients(self) -> bool:
        """Whether no client is connected, as far as connections have been accepted."""
        return not self.connections and not self._accepting

    @property
    def at_capacity(self) -> bool:
        """Whether another connection would take a descriptor that endpoints and discovery need."""
        return len(self.connections) + len(self._accepting) >= self.max_connections

    @property
    def address(self) -> tuple[str, int]:
        """The address that it listens at."""
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    async def listen(self, host: str, port: int, accept_fd: str | None = None) -> None:
        """Accept at this address, or from the listening socket that the platform holds; raise OSError.

        The socket is made from its descriptor either way: such a one names its protocol, and asyncio sets
        TCP_NODELAY only on connections of those that do. Without that, the last piece of a response would be
        held back, and lost to a reset.
        """
        self.shares_socket = accept_fd is not None
        descriptor = str(socket.create_server((host, port)).detach()) if accept_fd is None else accept_fd
        listening = inherited_socket(descriptor)
        listening.setblocking(False)
        listening.listen(BACKLOG)
        self._socket = listening
        self.loop.add_reader(listening, self._accept)
        self._sweep()

    # ---------------------------------------------------------------- accepting

    def _accept(self) -> None:
        """Accept some of the connections that the kernel holds; the others wait for the loop's next turns."""
        for _ in range(self._burst):
            if self.at_capacity:
                self._accept_later()
            elif self._accept_one():
                continue
            break

    def _accept_later(self) -> None:
        """Close connections, and go on with accepting once they are gone."""
        if self._socket is not None and self.loop.remove_reader(self._socket):
            self._close_surplus(_CLOSE_AT_CAPACITY, self._burst)
            self._accept_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._accept_again)

    def _accept_again(self) -> None:
        if self._socket is not None:
            self.loop.add_reader(self._socket, self._accept)

    def _accept_one(self) -> bool:
        """Accept a connection; return whether there was one."""
        assert self._socket is not None
        try:
            accepted, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as error:  # the platform allows fewer descriptors than the configuration says
            if not self._lacks_descriptors:  # logged once, as it is retried hundreds of times a second
                log.error("a connection could not be accepted: %s", error)
            self._lacks_descriptors = True
            self._accept_later()
            return False
        self._lacks_descriptors = False
        # Not an asyncio.Server: once that is closed, connections accepted in the turn before would fail.
        task = asyncio.create_task(
            self.loop.connect_accepted_socket(lambda: ServerConnection(self), accepted)
        )
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)
        return True

    # ---------------------------------------------------------------- connections

    def opened(self, connection: ClosableConnection) -> None:
        """Count a connection, and close others where that makes too many."""
        self.connections[connection] = None
        self._close_surplus(_CLOSE_OVER_LIMIT, self._excess(), connection)

    def closed(self, connection: ClosableConnection) -> None:
        """Forget a connection."""
        self.connections.pop(connection, None)

    def _close_surplus(
        self, ways: Iterable[_Close], count: int, excluded: ClosableConnection | None = None
    ) -> None:
        """Close so many connections, by these ways in their order, those inactive for longest first. None of
        them has a complete request that has been read."""
        if count > 0:
            others = sorted(
                (connection for connection in self.connections if connection is not excluded),
                key=lambda connection: connection.last_activity_at,
            )
            closed = (connection for close in ways for connection in others if close(connection))
            deque(islice(closed, count), maxlen=0)

    def reject_partial_requests(self) -> None:
        """Respond 503 to all requests that are being received."""
        for connection in list(self.connections):
            connection.reject_partial_request()

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.expire(now)
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def expire(self, now: float) -> None:
        """End the connections on which a request is overdue at this loop time (s)."""
        for connection in list(self.connections):
            self.expired += connection.expire(now)

    # ---------------------------------------------------------------- drain and close

    def drain(self, young_s: float = NEW_CONNECTION_GRACE_S, open_s: float = DRAIN_OPEN_S) -> None:
        """Close each connection with its next response, and from `open_s` on when it is idle.

        One younger than `young_s` stays open, as its first request may be on its way.
        """
        if not self.draining:
            self.draining = True
            self._drain_timer = self.loop.call_later(open_s, self._drain_idle, young_s)

    def resume(self) -> None:
        """End the drain."""
        self.draining = False
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None

    def _drain_idle(self, young_s: float) -> None:
        self._close_idle(young_s)
        self._drain_timer = self.loop.call_later(DRAIN_INTERVAL_S, self._drain_idle, young_s)

    def _close_idle(self, young_s: float) -> None:
        opened_by = self.loop.time() - young_s
        for connection in list(self.connections):
            if connection.opened_at <= opened_by:
                connection.close_if_idle()

    def stop_accepting(self) -> None:
        """Stop listening, once what the kernel holds has been accepted.

        The kernel resets what a closed listener leaves behind, unless another process accepts from the same
        socket. At capacity the listener goes on, and this has to be called again.
        """
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
        """Stop listening, and cancel all timers."""
        self._stop_listening()
        if self._drain_timer is not None:
            self._drain_timer.cancel()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
