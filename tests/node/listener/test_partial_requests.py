"""Client timeouts of requests received in parts: time spent unread, or waiting for the server, counts."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from loadbalancer.node.node import Node
from tests.support.clocks import run
from tests.support.loopback import (
    BlockedServer,
    Message,
    StubServer,
    http_response,
    loopback_node,
    request,
    targets,
    wait_until,
)
from tests.support.raw_clients import connect

DEADLINE_S = 1.0
LATE_S = 0.5  # a response that is this late counts as lost by the operators' rules
REQUESTS = b"".join(request(name=f"q{at}", Req_Deadline_Ms="1000") for at in range(4))
FIRST_PART = len(request(name="q0", Req_Deadline_Ms="1000")) + 30  # the first request, part of the second


@pytest.mark.parametrize("response_at_s", [0.3, 0.8, None], ids=["early", "late", "never"])
def test_client_timeout_includes_time_unread_behind_another_request(response_at_s: float | None):
    """Regression: the timeout started when the request was read, so its response came 1 s too late."""

    async def main():
        respond_to_first = asyncio.Event()

        async def hang_after_first(message: Message) -> bytes:
            await (respond_to_first if message.headers["req-id"] == "q0" else asyncio.Event()).wait()
            return http_response()

        server = StubServer(hang_after_first)
        async with loopback_node(server) as node:
            client, loop = connect(node), asyncio.get_running_loop()
            client.setblocking(False)
            await loop.sock_sendall(client, REQUESTS[:FIRST_PART])
            await wait_until(lambda: server.seen)
            (connection,) = node.listener.connections
            assert not connection._transport.is_reading()
            await loop.sock_sendall(client, REQUESTS[FIRST_PART:])
            started_at = loop.time()
            if response_at_s is not None:
                await asyncio.sleep(response_at_s)
                respond_to_first.set()
            read = b""
            while read.count(b"HTTP/1.1 ") < 4:
                read += await asyncio.wait_for(loop.sock_recv(client, 65_536), 20.0)
            assert loop.time() - started_at < DEADLINE_S + LATE_S / 2
            remaining_ms = 1000 * (DEADLINE_S - (response_at_s or 0.0))
            assert all(int(message.headers["req-deadline-ms"]) <= remaining_ms for message in server.seen[1:])
            assert len(server.seen) == (1 if response_at_s is None else 2)
            client.close()

    run(main())


def test_request_that_arrives_after_reading_resumed_has_its_full_timeout():
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client, loop = connect(node), asyncio.get_running_loop()
            client.setblocking(False)
            await loop.sock_sendall(client, REQUESTS[:FIRST_PART])
            await wait_until(lambda: server.seen)
            await asyncio.sleep(0.8 * DEADLINE_S)
            server.release.set()  # reading resumes with nothing unread; the rest is sent later
            await wait_until(lambda: node.event_counts["responses 200"])
            (connection,) = node.listener.connections
            await wait_until(connection._transport.is_reading)
            await loop.sock_sendall(client, REQUESTS[FIRST_PART:])
            await wait_until(lambda: len(server.seen) == 4)
            assert int(server.seen[1].headers["req-deadline-ms"]) > 950
            client.close()

    run(main())


# ----------------------------------------------------------------- long requests

LONG = request("post", "q1", bytes(100 * 1024), Req_Deadline_Ms="1000")
LONGER = request("post", "q1", bytes(300 * 1024), Req_Deadline_Ms="1000")  # exceeds the socket buffers
PART = 70_000  # bytes sent first; more than the node buffers, so the request is dispatched


async def send_long(client: socket.socket, node: Node) -> None:
    """Send LONG in two parts; the second stays unread while the first is not consumed."""
    loop = asyncio.get_running_loop()
    client.setblocking(False)
    await loop.sock_sendall(client, LONG[:PART])
    await wait_until(lambda: node.request_registry.active)
    await loop.sock_sendall(client, LONG[PART:])


async def status(client: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    return (await asyncio.wait_for(loop.sock_recv(client, 65_536), 20.0)).split(b" ")[1]


def test_client_timeout_of_long_request_includes_slow_connect():
    """Regression: the timeout started when the last byte was read, so the response came 0.8 s too late."""

    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            open_connection = node.pool.open_connection

            async def open_late(endpoint):
                await asyncio.sleep(0.8)
                return await open_connection(endpoint)

            node.pool.open_connection = open_late
            client = connect(node)
            started_at = node.loop.time()
            await send_long(client, node)
            assert await status(client) == b"504"
            assert len(server.seen) == 1
            assert node.loop.time() - started_at < DEADLINE_S + LATE_S / 2
            client.close()

    run(main())


class StoppingServer:
    """Reads `size` bytes of one request, reads the rest once `resume` is set, then responds.

    The socket buffers on both sides are small.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self.paused = asyncio.Event()
        self.resume = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(self._size)
        self.paused.set()
        await self.resume.wait()
        with contextlib.suppress(TimeoutError):  # until no more data arrives
            while await asyncio.wait_for(reader.read(1024), 0.05):
                pass
        writer.write(http_response())

    @contextlib.asynccontextmanager
    async def running_node(self) -> AsyncIterator[Node]:
        """Run a node in front of this server."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(self._serve, sock=sock, limit=1024)
        endpoint = f"127.0.0.1:{sock.getsockname()[1]}"
        async with loopback_node(known=targets(s0=(endpoint, "Ready"))) as node:
            open_connection = node.pool.open_connection

            async def open_with_small_buffer(endpoint):
                connection = await open_connection(endpoint)
                raw_socket = connection._transport.get_extra_info("socket")
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                return connection

            node.pool.open_connection = open_with_small_buffer
            yield node
        server.close()


def test_long_request_that_its_server_does_not_read_gets_a_response_in_time():
    """Regression: upload progress was first checked after 10 s, but the client timeout is 1 s."""

    async def main():
        async with StoppingServer(0).running_node() as node:
            client = connect(node)
            started_at = node.loop.time()
            await send_long(client, node)
            assert await status(client) == b"503"  # not executed
            assert node.loop.time() - started_at < DEADLINE_S + LATE_S / 2
            client.close()

    run(main())


def test_server_that_pauses_reading_for_a_moment_is_not_given_up():
    """Regression: time in which the node had nothing to send counted as a stall of the server."""

    async def main():
        server = StoppingServer(PART - 1000)
        async with server.running_node() as node:
            client, loop = connect(node), asyncio.get_running_loop()
            client.setblocking(False)
            started_at = node.loop.time()
            await loop.sock_sendall(client, LONGER[:PART])
            await server.paused.wait()
            await asyncio.sleep(0.9)  # until now everything was read at once
            await loop.sock_sendall(client, LONGER[PART:])
            await asyncio.sleep(0.3)
            assert node.loop.time() - started_at > DEADLINE_S
            server.resume.set()
            assert await status(client) == b"200"
            client.close()

    run(main())
