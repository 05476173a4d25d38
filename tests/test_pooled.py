"""Pooled connections at rare moments: what comes between two steps of the node, put there by a raw socket."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

from loopback import reply, until

from orchidledge.interface import Result
from orchidledge.net.body import HIGH_WATER, Body
from orchidledge.net.http import ClientConnection, Response
from orchidledge.net.upstream import Pool

DATA = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"


class Bed:
    """A pool before one server, whose connections are raw sockets: what they do is in the kernel at once."""

    def __init__(self, listener: socket.socket, limit: int) -> None:
        self.listener = listener
        self.pool = Pool(limit, 100.0, 20.0)
        self.pool.add("s", listener.getsockname())
        self.ends: list[Result] = []
        self.answers: list[Response] = []
        self.peers: list[socket.socket] = []

    def send(self, timeout_s: float = 20.0, data: bytes = DATA, body: Body | None = None) -> None:
        def on_result(result: Result, response: Response | None) -> None:
            self.ends.append(result)
            if response is not None:
                self.answers.append(response)

        self.pool.send("s", lambda wait: data, timeout_s, on_result, body)

    async def accept(self) -> socket.socket:
        peer, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        peer.settimeout(20)
        self.peers.append(peer)
        return peer

    async def asked(self) -> socket.socket:
        """Send a request on a new connection and take it there."""
        self.send()
        peer = await self.accept()
        await asyncio.get_running_loop().run_in_executor(None, peer.recv, 1000)
        return peer

    async def rested(self) -> tuple[socket.socket, ClientConnection]:
        """A connection in the pool that has settled after an answer."""
        peer = await self.asked()
        peer.sendall(reply())
        await until(lambda: self.ends)
        assert self.ends.pop() is Result.OK
        self.answers.clear()
        (connection,) = self.idle
        connection.idle_since -= 1.0
        return peer, connection

    @property
    def idle(self) -> list[ClientConnection]:
        return self.pool._servers["s"].idle

    async def end(self, count: int = 1) -> list[Result]:
        await until(lambda: len(self.ends) >= count)
        return self.ends


@contextlib.asynccontextmanager
async def bed(limit: int = 10) -> AsyncIterator[Bed]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        made = Bed(listener, limit)
        try:
            yield made
        finally:
            made.pool.close()
            for peer in made.peers:
                peer.close()


class Full:
    """A sink that takes what comes and holds its source from the first byte on."""

    def __init__(self, body: Body) -> None:
        self.body = body
        self.size = 0
        self.said: list[str] = []
        body.attach(self)

    def write(self, data: bytes) -> None:
        self.size += len(data)
        self.body.hold()

    def end(self) -> None:
        self.said.append("end")

    def broken(self) -> None:
        self.said.append("broken")


def test_a_connection_whose_last_answer_was_held_to_its_end_is_read_on():
    """A slow reader may stop the reading with the very last bytes; nobody would start it again."""

    async def main():
        async with bed() as here:
            peer = await here.asked()
            peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (HIGH_WATER + 1))
            peer.sendall(bytes(HIGH_WATER))
            await here.end()
            sink = Full(here.answers[0].rest)
            assert sink.size
            sink.body.release()  # the reader has taken that
            peer.sendall(b"x")
            await until(lambda: sink.said == ["end"])
            assert sink.size == HIGH_WATER + 1
            (connection,) = here.idle
            assert connection._transport.is_reading()
            connection.idle_since -= 1.0
            here.send()
            assert peer.recv(1000) == DATA
            peer.sendall(reply())
            assert await here.end(2) == [Result.OK, Result.OK]

    asyncio.run(main())
