"""The part of a relay on its event loop: accepts connections, connects to the target, applies faults.

Every method here runs on that loop; tests use `Relay` and `RelayNetwork`, which pass the calls on to it.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from random import Random
from typing import Literal

from tests.support.faults.flow import DirectionFaults, Flow, StreamEnd, reset

Direction = Literal["forward", "reverse", "both"]  # forward: from the client to the target
Address = tuple[str, int]


class _Side(asyncio.Protocol):
    """The relay's socket to the client or the target: reads into `outgoing`, is written from `incoming`."""

    def __init__(
        self, outgoing: Flow, incoming: Flow, on_data: Callable[[], None], on_closed: Callable[[], None]
    ) -> None:
        self._outgoing, self._incoming, self._on_data, self._on_closed = (
            outgoing,
            incoming,
            on_data,
            on_closed,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._outgoing.source = self._incoming.sink = transport
        self._incoming.push()
        self._outgoing.push()

    def data_received(self, data: bytes) -> None:
        self._on_data()
        self._outgoing.feed(data)

    def eof_received(self) -> bool:
        self._outgoing.feed(StreamEnd.EOF)
        return True  # the other direction stays open until it ends too

    def connection_lost(self, exc: Exception | None) -> None:
        self._incoming.stop()
        self._outgoing.feed(StreamEnd.RESET)
        self._on_closed()

    def pause_writing(self) -> None:
        self._incoming.set_sink_full(True)

    def resume_writing(self) -> None:
        self._incoming.set_sink_full(False)


class _Connection:
    """A client's connection and the matching connection to the target."""

    def __init__(self, link: Link) -> None:
        self._link = link
        # Seeded by the connection's number, so that its faults don't depend on the timing of other
        # connections. The seeds' texts decide the draws: changing them changes every seeded run.
        seed = f"{link.seed}/{link.accepted}"
        self._loss_rng = Random(seed)
        self.forward = Flow(link.forward, Random(f"{seed}/there"), self._on_eof_sent)
        self.reverse = Flow(link.reverse, Random(f"{seed}/back"), self._on_eof_sent)
        self.connecting = False
        self._response_seen = True

    def client_side(self) -> _Side:
        return _Side(self.forward, self.reverse, self._on_client_data, self._on_closed)

    def target_side(self) -> _Side:
        return _Side(self.reverse, self.forward, self._on_target_data, self._on_closed)

    async def connect(self) -> None:
        """Connect to the target; the client sees a reset if that fails."""
        self.connecting = True
        try:
            target, _ = await asyncio.get_running_loop().create_connection(
                self.target_side, *self._link.target
            )
        except OSError:
            self.forward.stop()
            self.reverse.feed(StreamEnd.RESET)
            return
        if self.forward.stopped and self.reverse.stopped:  # the client disconnected meanwhile
            target.abort()

    def _on_client_data(self) -> None:
        """Treat the first bytes after a response as a new call; lose the call or its response by chance."""
        if (
            self._response_seen
            and not self.reverse.discards_data
            and self._loss_rng.random() < self._link.loss
        ):
            self._link.lost_calls += 1
            self.reverse.discards_data = True
            self.forward.discards_data = self._loss_rng.random() < 0.5
        self._response_seen = False

    def _on_target_data(self) -> None:
        self._response_seen = True

    def _on_eof_sent(self) -> None:
        if self.forward.eof_sent and self.reverse.eof_sent:
            self._end(lambda side: side.close())

    def abort(self) -> None:
        self._end(reset)

    def _end(self, end_side: Callable[[asyncio.Transport], None]) -> None:
        sides = [self.forward.source, self.reverse.source]
        self.forward.stop()
        self.reverse.stop()
        for side in sides:
            if side is not None:
                end_side(side)

    def _on_closed(self) -> None:
        if not self.connecting:
            self.forward.stop()  # without a connection to the target nothing can be delivered later
        if self.forward.stopped and self.reverse.stopped:
            self._link.connections.pop(self, None)


class Link:
    """A listening socket whose connections are relayed to the target, and the faults that apply to them."""

    def __init__(self, target: Address, seed: object = 0) -> None:
        self.target = target
        self.seed = seed
        self.forward, self.reverse = DirectionFaults(), DirectionFaults()
        self.loss = 0.0  # probability that a call is lost
        self.accepted = 0  # connections accepted so far
        self.lost_calls = 0
        self.connections: dict[_Connection, None] = {}  # in the order they were accepted
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self.address: Address = self._socket.getsockname()[:2]
        self._tasks: set[asyncio.Task[None]] = set()
        self._accept_task: asyncio.Task[None] | None = None

    def set_accepting(self, accepting: bool) -> None:
        """Accept connections or stop accepting; at most one more completes then, others time out."""
        self._socket.listen(128 if accepting else 0)
        if accepting and self._accept_task is None:
            self._accept_task = asyncio.get_running_loop().create_task(self._accept())
        elif not accepting and self._accept_task is not None:
            self._accept_task.cancel()
            self._accept_task = None

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._socket)
            self.accepted += 1
            connection = _Connection(self)
            self.connections[connection] = None
            await loop.connect_accepted_socket(connection.client_side, accepted)
            self._connect_waiting()

    def _connect_waiting(self) -> None:
        """Connect to the target for each connection that has none yet, unless either direction is blocked."""
        if self.forward.blocked or self.reverse.blocked:
            return
        for connection in self.connections:
            if not connection.connecting:
                task = asyncio.get_running_loop().create_task(connection.connect())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _faults_of(self, direction: Direction) -> list[DirectionFaults]:
        return {"forward": [self.forward], "reverse": [self.reverse], "both": [self.forward, self.reverse]}[
            direction
        ]

    def set_blocked(self, blocked: bool, direction: Direction = "both") -> None:
        for faults in self._faults_of(direction):
            faults.blocked = blocked
        self._connect_waiting()
        for connection in list(self.connections):
            connection.forward.push()
            connection.reverse.push()

    def delay(self, ms: float, jitter_ms: float = 0.0, direction: Direction = "both") -> None:
        for faults in self._faults_of(direction):
            faults.delay_ms, faults.jitter_ms = ms, jitter_ms

    def reset(self) -> None:
        for connection in list(self.connections):
            connection.abort()
        self.connections.clear()

    def heal(self) -> None:
        self.loss = 0.0
        self.delay(0.0)
        self.set_blocked(False)
        self.set_accepting(True)

    def close(self) -> None:
        self.set_accepting(False)
        for task in self._tasks:
            task.cancel()
        self.reset()
        # Closed in the loop's next iteration: the cancelled accept still has the socket registered with it.
        asyncio.get_running_loop().call_soon(self._socket.close)
