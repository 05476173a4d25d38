"""Accepts client connections, and limits their number to reserve descriptors for endpoints and discovery."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable, Container, Iterable
from enum import Enum
from itertools import islice

from loadbalancer.node.http.turn_scheduler import TurnScheduler
from loadbalancer.node.listener.connection import ServerConnection
from loadbalancer.node.listener.connection_states import ClosableConnection
from loadbalancer.node.listener.inbound_request import InboundRequest
from loadbalancer.node.listener.inherited_socket import inherited_socket
from loadbalancer.node.memory_budget import MemoryBudget

log = logging.getLogger("loadbalancer")

MAX_ACCEPTS = 16  # connections accepted in one loop iteration
BACKLOG = 1024  # connections queued in the kernel until they are accepted
ACCEPT_PAUSE_S = 0.002  # used at capacity; a closed connection frees its descriptor one iteration later
CLOSE_IDLE_AFTER_S = 0.5  # from the start of a drain; clients open new connections for up to 0.4 s
DRAIN_INTERVAL_S = 0.01
NEW_CONNECTION_GRACE_S = 0.5  # time for the first request of a connection, which clients don't retry
SWEEP_INTERVAL_S = 0.1  # a client that sends no request must get an error or a close within 3 s
# The limit of connections that accept requests is divided into 7 parts. Up to one part may be accepted per
# loop iteration. Three more parts are reserved for connections that are being closed.
LIMIT_PARTS = 7
CLOSING_PARTS = 3

# The methods by which connections are closed, in order of preference: when more than `limit` connections
# accept requests, and when the listener is at capacity. Closing some keeps the pauses of accepting short.
# The first request of a new connection may be in transit, and clients don't retry it.
_CloseMethod = Callable[[ClosableConnection], bool]


def _close_settled(connection: ClosableConnection) -> bool:
    return connection.age_s >= NEW_CONNECTION_GRACE_S and connection.close_if_idle()


_CLOSE_OVER_LIMIT: tuple[_CloseMethod, ...] = (
    _close_settled,
    ClosableConnection.reject_partial_request,
    ClosableConnection.close_if_idle,
)
_CLOSE_AT_CAPACITY: tuple[_CloseMethod, ...] = (
    ClosableConnection.close_lingering,
    ClosableConnection.close_lingering_sender,
    *_CLOSE_OVER_LIMIT,
)


class _AcceptResult(Enum):
    """The result of one attempt to accept a queued connection."""

    ACCEPTED = "a connection was accepted"
    NONE_QUEUED = "no connection was queued"
    FAILED = "the attempt failed; connections may be queued"


class Listener:
    """Accepts client connections and passes their requests to `on_request`.

    If more than `limit` connections accept requests, others are closed.
    """

    def __init__(
        self, limit: int, on_request: Callable[[InboundRequest], None], memory: MemoryBudget
    ) -> None:
        parts = LIMIT_PARTS + CLOSING_PARTS
        limit = max(1, min(limit, memory.max_client_connections * LIMIT_PARTS // parts))
        self.loop = asyncio.get_running_loop()
        self.request_limit = limit  # desired maximum of connections that accept requests
        self._burst = max(1, min(MAX_ACCEPTS, limit // LIMIT_PARTS))
        self.max_connections = limit + CLOSING_PARTS * limit // LIMIT_PARTS  # including those being closed
        self.on_request = on_request
        self.memory = memory
        self.ready = False
        self.shares_socket = False  # another process may also accept from the listening socket
        self.draining = False  # each response closes its connection
        self.expired = 0  # number of connections ended because a request was overdue
        self.malformed_requests = 0  # number of connections ended because the received data was invalid
        self.closed_over_limit = 0  # number of connections closed because there were too many
        self.memory_denials = 0  # number of connections ended because of the memory budget
        self.accept_failures = 0  # number of accepts that failed for lack of a resource
        self.closed_stalled = 0  # number of connections closed because the client read nothing
        self._turns = TurnScheduler()
        self._opened: set[ClosableConnection] = set()  # over the limit, since connections were last closed
        self.connections: dict[ClosableConnection, None] = {}  # in the order in which they were opened
        self._socket: socket.socket | None = None
        self._accepting: set[asyncio.Task[object]] = set()  # accepted, but not yet in `connections`
        self._accept_failing = False  # the last accept has failed
        self._accept_timer: asyncio.TimerHandle | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._drain_timer: asyncio.TimerHandle | None = None

    @property
    def accepts_clients(self) -> bool:
        """Whether the readiness check reports that new connections are accepted."""
        return self.ready and not self.draining

    @property
    def over_limit(self) -> bool:
        """Whether the connections that accept requests exceed the limit."""
        return self._excess() > 0

    def _excess(self) -> int:
        """Return by how many the connections that accept requests exceed the limit."""
        excess = len(self.connections) - self.request_limit
        if excess <= 0:
            return excess
        return sum(not connection.is_closing for connection in self.connections) - self.request_limit

    @property
    def has_no_clients(self) -> bool:
        """Whether no accepted connection is open; connections queued in the kernel don't count."""
        return not self.connections and not self._accepting

    @property
    def has_ended(self) -> bool:
        """Whether the listener has stopped listening and no accepted connection is open."""
        return self._socket is None and self.has_no_clients

    @property
    def is_listening(self) -> bool:
        """Whether new connections may still be accepted."""
        return self._socket is not None

    @property
    def at_capacity(self) -> bool:
        """Whether another connection would use a descriptor reserved for endpoints and discovery."""
        return len(self.connections) + len(self._accepting) >= self.max_connections

    @property
    def address(self) -> tuple[str, int]:
        """The host and port that the listener listens on."""
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    async def listen(self, host: str, port: int, accept_fd: str | None = None) -> None:
        """Listen on this address, or on the inherited socket `accept_fd`; raise OSError on failure.

        The socket is created from its descriptor in both cases: only then does it report its protocol, and
        asyncio sets TCP_NODELAY only on connections of sockets that do. Without TCP_NODELAY the last segment
        of a response would be delayed, and a reset would discard it.
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
        """Accept up to `_burst` queued connections; the others wait for the next loop iterations."""
        for _ in range(self._burst):
            if self.at_capacity:
                self._free_capacity()
                self._accept_later()
            elif self._accept_one() is _AcceptResult.ACCEPTED:
                continue
            break

    def _free_capacity(self) -> None:
        """Close connections, so that their descriptors are free when accepting is resumed."""
        self._close_surplus(_CLOSE_AT_CAPACITY, self._burst)

    def _accept_later(self) -> None:
        """Pause accepting."""
        if self._socket is not None and self.loop.remove_reader(self._socket):
            self._accept_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._accept_again)

    def _accept_again(self) -> None:
        if self._socket is not None:
            self.loop.add_reader(self._socket, self._accept)

    def _accept_one(self) -> _AcceptResult:
        """Accept a queued connection."""
        assert self._socket is not None
        try:
            accepted, _ = self._socket.accept()
        except BlockingIOError:
            return _AcceptResult.NONE_QUEUED
        except (InterruptedError, ConnectionAbortedError):
            return _AcceptResult.FAILED
        except OSError as error:
            self._on_accept_failure(error)
            return _AcceptResult.FAILED
        self._accept_failing = False
        # asyncio.Server isn't used: closing it fails connections accepted in the previous loop iteration.
        task = asyncio.create_task(
            self.loop.connect_accepted_socket(lambda: ServerConnection(self), accepted)
        )
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)
        return _AcceptResult.ACCEPTED

    def _on_accept_failure(self, error: OSError) -> None:
        """Log the first of consecutive failures, and pause accepting.

        Connections are closed only if the platform allows fewer descriptors than configured; a lack of
        another resource would not end with them.
        """
        if not self._accept_failing:
            log.error("failed to accept a connection: %s", error)
        self._accept_failing = True
        self.accept_failures += 1
        if error.errno == errno.EMFILE:
            self._free_capacity()
        self._accept_later()

    # ---------------------------------------------------------------- connections

    def parse_later(self, connection: ClosableConnection) -> None:
        """Call the connection's `parse_unparsed` once in a later iteration of the event loop, in turn."""
        self._turns.add(connection)

    def on_malformed_request(self) -> None:
        """Count a connection that ends because the received data was invalid."""
        self.malformed_requests += 1

    def on_memory_denied(self) -> None:
        """Count a connection that ends because its requests don't fit into the memory budget."""
        self.memory_denials += 1

    def on_stalled(self) -> None:
        """Count a connection that is closed because the client reads nothing."""
        self.closed_stalled += 1

    def opened(self, connection: ClosableConnection) -> None:
        """Add a connection; others are closed once per loop iteration if the limit is exceeded."""
        self.connections[connection] = None
        if len(self.connections) > self.request_limit:
            if not self._opened:
                self.loop.call_soon(self._close_excess)
            self._opened.add(connection)

    def _close_excess(self) -> None:
        """Close as many connections as the limit is exceeded by, but none that has just been opened."""
        opened, self._opened = self._opened, set()
        self._close_surplus(_CLOSE_OVER_LIMIT, self._excess(), opened)

    def closed(self, connection: ClosableConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)
        self._turns.discard(connection)

    def _close_surplus(
        self, close_methods: Iterable[_CloseMethod], count: int, excluded: Container[ClosableConnection] = ()
    ) -> None:
        """Close up to `count` connections, trying the methods in order, longest inactive connections first.

        A connection that has a complete request is not closed.
        """
        if count > 0:
            others = sorted(
                (connection for connection in self.connections if connection not in excluded),
                key=lambda connection: connection.last_activity_at,
            )
            closed = (connection for close in close_methods for connection in others if close(connection))
            self.closed_over_limit += sum(1 for _ in islice(closed, count))

    def reject_partial_requests(self) -> None:
        """Respond with 503 to all requests that are being received."""
        for connection in list(self.connections):
            connection.reject_partial_request()

    def undelivered(self, now: float) -> list[ClosableConnection]:
        """Return the connections that carry no response which makes progress at loop time `now` (s)."""
        return [connection for connection in self.connections if not connection.is_delivering(now)]

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self.expire(now)
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def expire(self, now: float) -> None:
        """End the connections on which a request is overdue at loop time `now` (s)."""
        for connection in list(self.connections):
            self.expired += connection.expire(now)

    # ---------------------------------------------------------------- drain and close

    def drain(
        self, grace_s: float = NEW_CONNECTION_GRACE_S, close_idle_after_s: float = CLOSE_IDLE_AFTER_S
    ) -> None:
        """Close each connection with its next response; close idle ones after `close_idle_after_s`.

        Idle connections younger than `grace_s` stay open, as their first request may be in transit.
        """
        if not self.draining:
            self.draining = True
            self._drain_timer = self.loop.call_later(close_idle_after_s, self._drain_idle, grace_s)

    def resume(self) -> None:
        """End the drain."""
        self.draining = False
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None

    def _drain_idle(self, grace_s: float) -> None:
        self._close_idle(grace_s)
        self._drain_timer = self.loop.call_later(DRAIN_INTERVAL_S, self._drain_idle, grace_s)

    def _close_idle(self, grace_s: float) -> None:
        opened_by = self.loop.time() - grace_s
        for connection in list(self.connections):
            if connection.opened_at <= opened_by:
                connection.close_if_idle()

    def stop_accepting(self) -> None:
        """Accept the connections queued in the kernel, then stop listening.

        The kernel resets connections that are queued when the listening socket closes, unless another process
        accepts from the same socket. At capacity, or if an accept fails, the listener keeps listening;
        call this method again then.
        """
        if self._socket is not None:
            while not self.shares_socket:
                if self.at_capacity:
                    return
                result = self._accept_one()
                if result is _AcceptResult.FAILED:
                    return
                if result is _AcceptResult.NONE_QUEUED:
                    break
            self.stop_listening()

    def stop_listening(self) -> None:
        """Stop listening, even if connections are queued in the kernel."""
        if self._accept_timer is not None:
            self._accept_timer.cancel()
        if self._socket is not None:
            self.loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def close(self) -> None:
        """Stop listening and cancel all timers."""
        self.stop_listening()
        if self._drain_timer is not None:
            self._drain_timer.cancel()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
