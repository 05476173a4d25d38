"""A pool before a server of raw sockets: what they do is in the node's kernel at once, not in its loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.body import Body
from loadbalancer.node.http.client_connection import ClientConnection, Response
from loadbalancer.node.http.socket_buffer import readable
from loadbalancer.node.upstream.pool import ConnectionPool
from tests.support.loopback import http_response, wait_until

DATA = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"
BIG = 30_000_000  # more than the kernel's buffers take
HALF = b"HTTP/1.1 2"
ACTS = ["end", "reset", "half", "second"]


class Bed:
    """A pool before one server, whose connections are raw sockets: what they do is in the kernel at once."""

    def __init__(self, listener: socket.socket, limit: int) -> None:
        self.listener = listener
        self.pool = ConnectionPool(limit, 100.0, 20.0)
        self.pool.set_endpoint("s", listener.getsockname())
        self.ends: list[AttemptResult] = []
        self.answers: list[Response] = []
        self.peers: list[socket.socket] = []

    def send(self, timeout_s: float = 20.0, data: bytes = DATA, body: Body | None = None) -> None:
        def on_result(result: AttemptResult, response: Response | None) -> None:
            self.ends.append(result)
            if response is not None:
                self.answers.append(response)

        self.pool.start_attempt("s", lambda wait: data, timeout_s, on_result, body)

    async def accept(self) -> socket.socket:
        async with asyncio.timeout(20):
            peer, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        peer.settimeout(20)
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is sent is at the other end
        self.peers.append(peer)
        return peer

    async def asked(self) -> socket.socket:
        """Send a request on a new connection and take it there."""
        self.send()
        peer = await self.accept()
        await heard(peer)
        return peer

    async def rested(self) -> tuple[socket.socket, ClientConnection]:
        """A connection in the pool that has settled after an answer."""
        peer = await self.asked()
        peer.sendall(http_response())
        await wait_until(lambda: self.ends)
        assert self.ends.pop() is AttemptResult.OK
        self.answers.clear()
        connection = self.idle[-1]
        connection.idle_since -= 1.0
        return peer, connection

    @property
    def idle(self) -> list[ClientConnection]:
        return self.pool._endpoints["s"].idle

    async def end(self, count: int = 1) -> list[AttemptResult]:
        await wait_until(lambda: len(self.ends) >= count)
        return self.ends


async def heard(peer: socket.socket, most: int = 1000) -> bytes:
    """What comes next at the server's end; nothing is an end, or a reset."""
    with contextlib.suppress(ConnectionResetError):
        return await asyncio.to_thread(peer.recv, most)
    return b""


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
        self.body.pause()

    def end(self) -> None:
        self.said.append("end")

    def fail(self) -> None:
        self.said.append("broken")


def act(peer: socket.socket, how: str, connection: ClientConnection) -> None:
    """Do this at the server's end; when it returns, the node's kernel has it and its event loop does not."""
    if how == "half":
        peer.sendall(HALF)
    elif how == "second":
        peer.sendall(http_response(200, b"stray"))
    else:
        close(peer, how == "reset")
    while not readable(connection._transport):
        pass


def close(peer: socket.socket, reset: bool) -> None:
    if reset:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


class Coming:
    """The source of a body that is still on its way."""

    def __init__(self) -> None:
        self.said: list[str] = []

    def pause(self) -> None:
        self.said.append("pause")

    def resume(self) -> None:
        self.said.append("resume")

    def abandon(self) -> None:
        self.said.append("abandoned")
