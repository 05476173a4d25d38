"""What a relay does on its event loop: it takes connections, dials the target for each, and applies faults.

Every method here runs on that loop; tests use `Relay` and `Net`, which hand the calls over.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from random import Random
from typing import Literal

from tests.support.faults.flow import Ending, Flow, Way, reset

Ways = Literal["there", "back", "both"]
Address = tuple[str, int]


class _End(asyncio.Protocol):
    """The socket of one side: what it sends goes `out`, and what comes `into` it is sent."""

    def __init__(self, out: Flow, into: Flow, hear: Callable[[], None], gone: Callable[[], None]) -> None:
        self._out, self._into, self._hear, self._gone = out, into, hear, gone

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._out.source = self._into.sink = transport
        self._into.push()
        self._out.push()

    def data_received(self, data: bytes) -> None:
        self._hear()
        self._out.feed(data)

    def eof_received(self) -> bool:
        self._out.feed(Ending.EOF)
        return True  # the other way stays open until it ends too

    def connection_lost(self, exc: Exception | None) -> None:
        self._into.stop()
        self._out.feed(Ending.RESET)
        self._gone()

    def pause_writing(self) -> None:
        self._into.set_sink_full(True)

    def resume_writing(self) -> None:
        self._into.set_sink_full(False)


class _Connection:
    """A dialler's connection and the one to the target that answers to it."""

    def __init__(self, link: Link) -> None:
        self._link = link
        # Sources of their own, by the connection's number: its fate hangs on no other's pace.
        seed = f"{link.seed}/{link.opened}"
        self._chances = Random(seed)
        self.there = Flow(link.there, Random(f"{seed}/there"), self._eof_passed)
        self.back = Flow(link.back, Random(f"{seed}/back"), self._eof_passed)
        self.dialled = False
        self._answered = True

    def dialler(self) -> _End:
        return _End(self.there, self.back, self._asked, self._gone)

    def target(self) -> _End:
        return _End(self.back, self.there, self._heard_back, self._gone)

    async def dial(self) -> None:
        self.dialled = True
        try:
            dialled, _ = await asyncio.get_running_loop().create_connection(self.target, *self._link.target)
        except OSError:
            self.there.stop()
            self.back.feed(Ending.RESET)
            return
        if self.there.over and self.back.over:  # ended while it was dialled
            dialled.abort()

    def _asked(self) -> None:
        """The first bytes there after an answer are a new call, which may get lost: itself or its answer."""
        if self._answered and not self.back.lost and self._chances.random() < self._link.loss:
            self._link.lost_calls += 1
            self.back.lost = True
            self.there.lost = self._chances.random() < 0.5
        self._answered = False

    def _heard_back(self) -> None:
        self._answered = True

    def _eof_passed(self) -> None:
        if self.there.eof_passed and self.back.eof_passed:
            self._leave(lambda side: side.close())

    def abort(self) -> None:
        self._leave(reset)

    def _leave(self, how: Callable[[asyncio.Transport], None]) -> None:
        sides = [self.there.source, self.back.source]
        self.there.stop()
        self.back.stop()
        for side in sides:
            if side is not None:
                how(side)

    def _gone(self) -> None:
        if not self.dialled:
            self.there.stop()  # what was never set up brings nothing later
        if self.there.over and self.back.over:
            self._link.connections.pop(self, None)


class Link:
    def __init__(self, target: Address, seed: object = 0) -> None:
        self.target = target
        self.seed = seed
        self.there, self.back = Way(), Way()
        self.loss = 0.0
        self.opened = 0  # connections taken so far
        self.lost_calls = 0
        self.connections: dict[_Connection, None] = {}  # in the order of their opening
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self.address: Address = self._socket.getsockname()[:2]
        self._tasks: set[asyncio.Task[None]] = set()
        self._taking: asyncio.Task[None] | None = None

    def accept(self, taking: bool) -> None:
        """Stop taking connections (one at most completes; more get no answer), or take them again."""
        self._socket.listen(128 if taking else 0)
        if taking and self._taking is None:
            self._taking = asyncio.get_running_loop().create_task(self._take())
        elif not taking and self._taking is not None:
            self._taking.cancel()
            self._taking = None

    async def _take(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            taken, _ = await loop.sock_accept(self._socket)
            self.opened += 1
            connection = _Connection(self)
            self.connections[connection] = None
            await loop.connect_accepted_socket(connection.dialler, taken)
            self._dial()

    def _dial(self) -> None:
        """Dial the target for what waits for it; over a silent way nothing is set up."""
        if self.there.silent or self.back.silent:
            return
        for connection in self.connections:
            if not connection.dialled:
                task = asyncio.get_running_loop().create_task(connection.dial())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _ways(self, way: Ways) -> list[Way]:
        return {"there": [self.there], "back": [self.back], "both": [self.there, self.back]}[way]

    def silence(self, silent: bool, way: Ways = "both") -> None:
        for one in self._ways(way):
            one.silent = silent
        self._dial()
        for connection in list(self.connections):
            connection.there.push()
            connection.back.push()

    def delay(self, ms: float, jitter_ms: float = 0.0, way: Ways = "both") -> None:
        for one in self._ways(way):
            one.delay_ms, one.jitter_ms = ms, jitter_ms

    def reset(self) -> None:
        for connection in list(self.connections):
            connection.abort()
        self.connections.clear()

    def heal(self) -> None:
        self.loss = 0.0
        self.delay(0.0)
        self.silence(False)
        self.accept(True)

    def close(self) -> None:
        self.accept(False)
        for task in self._tasks:
            task.cancel()
        self.reset()
        # in a turn of its own: the accept just cancelled still has the socket registered with the loop
        asyncio.get_running_loop().call_soon(self._socket.close)
