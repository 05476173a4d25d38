"""A connection pool in front of a server of raw sockets.

Actions on the server's sockets reach the node's kernel at once, before the node's event loop runs.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.body import Body
from loadbalancer.node.http.client_connection import ClientConnection
from loadbalancer.node.http.response import Response
from loadbalancer.node.http.socket_buffer import readable
from loadbalancer.node.upstream.pool import ConnectionPool
from tests.support.loopback import http_response, wait_until

REQUEST = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"
LARGE_SIZE = 30_000_000  # bytes; exceeds the kernel's socket buffers
PARTIAL_HEAD = b"HTTP/1.1 2"
SERVER_ACTIONS = ["close", "reset", "partial response", "second response"]


class PoolEnvironment:
    """A pool with one endpoint "s", whose connections are raw sockets of the test."""

    def __init__(self, listener: socket.socket, limit: int) -> None:
        self.listener = listener
        self.pool = ConnectionPool(limit, 100.0, 20.0)
        self.pool.set_endpoint("s", listener.getsockname())
        self.results: list[AttemptResult] = []
        self.responses: list[Response] = []
        self.servers: list[socket.socket] = []

    def send(self, timeout_s: float = 20.0, data: bytes = REQUEST, body: Body | None = None) -> None:
        """Start an attempt; record its result and response."""

        def on_result(result: AttemptResult, response: Response | None) -> None:
            self.results.append(result)
            if response is not None:
                self.responses.append(response)

        self.pool.start_attempt("s", lambda wait: data, timeout_s, on_result, body)

    async def accept(self) -> socket.socket:
        """Accept a connection of the pool and return the server's socket."""
        async with asyncio.timeout(20):
            server, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        server.settimeout(20)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # sent data reaches the pool at once
        self.servers.append(server)
        return server

    async def receive_request(self) -> socket.socket:
        """Send a request on a new connection and receive it at the server's socket."""
        self.send()
        server = await self.accept()
        await receive(server)
        return server

    async def open_idle(self) -> tuple[socket.socket, ClientConnection]:
        """Open a connection that is idle in the pool after a response and past its reuse delay."""
        server = await self.receive_request()
        server.sendall(http_response())
        await wait_until(lambda: self.results)
        assert self.results.pop() is AttemptResult.OK
        self.responses.clear()
        connection = self.idle[-1]
        connection.idle_since -= 1.0
        return server, connection

    @property
    def idle(self) -> list[ClientConnection]:
        return self.pool._endpoints["s"].idle

    async def wait_for_results(self, count: int = 1) -> list[AttemptResult]:
        """Wait for at least `count` results and return all."""
        await wait_until(lambda: len(self.results) >= count)
        return self.results


async def receive(server: socket.socket, max_size: int = 1000) -> bytes:
    """Receive up to `max_size` bytes; return b"" if the connection was closed or reset."""
    with contextlib.suppress(ConnectionResetError):
        return await asyncio.to_thread(server.recv, max_size)
    return b""


@contextlib.asynccontextmanager
async def pool_environment(limit: int = 10) -> AsyncIterator[PoolEnvironment]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        env = PoolEnvironment(listener, limit)
        try:
            yield env
        finally:
            env.pool.close()
            for server in env.servers:
                server.close()


class PausingSink:
    """A body's sink that accepts data and pauses the source after the first write."""

    def __init__(self, body: Body) -> None:
        self.body = body
        self.size = 0
        self.calls: list[str] = []
        body.attach(self)

    def write(self, data: bytes) -> None:
        self.size += len(data)
        self.body.pause()

    def end(self) -> None:
        self.calls.append("end")

    def fail(self) -> None:
        self.calls.append("fail")


def perform(server: socket.socket, action: str, connection: ClientConnection) -> None:
    """Perform a server action; return once its effect is in the kernel, before the node's event loop runs."""
    if action == "partial response":
        server.sendall(PARTIAL_HEAD)
    elif action == "second response":
        server.sendall(http_response(200, b"stray"))
    else:
        close_socket(server, action == "reset")
    while not readable(connection._transport):
        pass


def close_socket(server: socket.socket, reset: bool) -> None:
    if reset:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    server.close()


class RecordingSource:
    """The source of a body that is still being received; records the calls it gets."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def pause(self) -> None:
        self.calls.append("pause")

    def resume(self) -> None:
        self.calls.append("resume")

    def abandon(self) -> None:
        self.calls.append("abandon")
