"""Requests that come in pieces: the time of what waits unread behind another, or for its server, runs too."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from loadbalancer.node.node import Node
from tests.support.callers import connect
from tests.support.clocks import run
from tests.support.loopback import (
    BlockedServer,
    Message,
    StubServer,
    http_response,
    request,
    running_node,
    targets,
    wait_until,
)

DEADLINE_S = 1.0
LATE_S = 0.5  # past its time by so much a request is lost, by the operators' terms
DATA = b"".join(request(name=f"q{at}", Req_Deadline_Ms="1000") for at in range(4))
CUT = len(request(name="q0", Req_Deadline_Ms="1000")) + 30  # the first request and a part of the second


@pytest.mark.parametrize("answered_at_s", [0.3, 0.8, None], ids=["early", "late", "never"])
def test_the_time_of_a_request_runs_while_it_waits_unread_behind_another(answered_at_s: float | None):
    """Guard: it had its whole time once more when it was read, and its answer came a second too late."""

    async def main():
        first_is_due = asyncio.Event()

        async def hang_after_the_first(message: Message) -> bytes:
            await (first_is_due if message.headers["req-id"] == "q0" else asyncio.Event()).wait()
            return http_response()

        server = StubServer(hang_after_the_first)
        async with running_node(server) as node:
            caller, loop = connect(node), asyncio.get_running_loop()
            caller.setblocking(False)
            await loop.sock_sendall(caller, DATA[:CUT])
            await wait_until(lambda: server.seen)
            (connection,) = node.listener.connections
            assert not connection._transport.is_reading()
            await loop.sock_sendall(caller, DATA[CUT:])
            began = loop.time()
            if answered_at_s is not None:
                await asyncio.sleep(answered_at_s)
                first_is_due.set()
            read = b""
            while read.count(b"HTTP/1.1 ") < 4:
                read += await asyncio.wait_for(loop.sock_recv(caller, 65_536), 20.0)
            assert loop.time() - began < DEADLINE_S + LATE_S / 2
            left_ms = 1000 * (DEADLINE_S - (answered_at_s or 0.0))
            assert all(int(message.headers["req-deadline-ms"]) <= left_ms for message in server.seen[1:])
            assert len(server.seen) == (1 if answered_at_s is None else 2)
            caller.close()

    run(main())


def test_a_request_that_comes_after_the_reading_goes_on_has_its_whole_time():
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller, loop = connect(node), asyncio.get_running_loop()
            caller.setblocking(False)
            await loop.sock_sendall(caller, DATA[:CUT])
            await wait_until(lambda: server.seen)
            await asyncio.sleep(0.8 * DEADLINE_S)
            server.release.set()  # nothing has come meanwhile: the reading goes on, and then comes the rest
            await wait_until(lambda: node.event_counts["responses 200"])
            (connection,) = node.listener.connections
            await wait_until(connection._transport.is_reading)
            await loop.sock_sendall(caller, DATA[CUT:])
            await wait_until(lambda: len(server.seen) == 4)
            assert int(server.seen[1].headers["req-deadline-ms"]) > 950
            caller.close()

    run(main())


# ----------------------------------------------------------------- long requests

LONG = request("post", "q1", bytes(100 * 1024), Req_Deadline_Ms="1000")
LONGER = request("post", "q1", bytes(300 * 1024), Req_Deadline_Ms="1000")  # than the kernels on the way hold
PART = 70_000  # of either: too much to be held whole


async def send_long(caller: socket.socket, node: Node) -> None:
    """All of it, in two pieces: the second waits unread while nobody takes the first."""
    loop = asyncio.get_running_loop()
    caller.setblocking(False)
    await loop.sock_sendall(caller, LONG[:PART])
    await wait_until(lambda: node.request_registry.active)
    await loop.sock_sendall(caller, LONG[PART:])


async def status(caller: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    return (await asyncio.wait_for(loop.sock_recv(caller, 65_536), 20.0)).split(b" ")[1]


def test_the_time_of_a_long_request_runs_while_its_server_is_late_to_connect():
    """Guard: it ran from when the last byte was read, and the answer came 0.8 s after the caller's time."""

    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            opened = node.pool.open_connection

            async def late(endpoint):
                await asyncio.sleep(0.8)
                return await opened(endpoint)

            node.pool.open_connection = late
            caller = connect(node)
            began = node.loop.time()
            await send_long(caller, node)
            assert await status(caller) == b"504"
            assert len(server.seen) == 1
            assert node.loop.time() - began < DEADLINE_S + LATE_S / 2
            caller.close()

    run(main())


class StoppingServer:
    """Takes so much of one request, and the rest when it is told; then it answers. The kernels on the way to
    it hold little."""

    def __init__(self, takes: int) -> None:
        self._takes = takes
        self.taken = asyncio.Event()
        self.go_on = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(self._takes)
        self.taken.set()
        await self.go_on.wait()
        with contextlib.suppress(TimeoutError):  # until no more comes
            while await asyncio.wait_for(reader.read(1024), 0.05):
                pass
        writer.write(http_response())

    @contextlib.asynccontextmanager
    async def before(self) -> AsyncIterator[Node]:
        """A node in front of it."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(self._serve, sock=sock, limit=1024)
        endpoint = f"127.0.0.1:{sock.getsockname()[1]}"
        async with running_node(known=targets(s0=(endpoint, "Ready"))) as node:
            opened = node.pool.open_connection

            async def small(endpoint):
                connection = await opened(endpoint)
                its_socket = connection._transport.get_extra_info("socket")
                its_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                return connection

            node.pool.open_connection = small
            yield node
        server.close()


def test_a_long_request_that_its_server_does_not_take_is_answered_in_time():
    """Guard: for 10 s nobody looked, and the caller's time was over after one."""

    async def main():
        async with StoppingServer(0).before() as node:
            caller = connect(node)
            began = node.loop.time()
            await send_long(caller, node)
            assert await status(caller) == b"503"  # it has not run
            assert node.loop.time() - began < DEADLINE_S + LATE_S / 2
            caller.close()

    run(main())


def test_a_server_that_stops_taking_for_a_moment_is_waited_for():
    """Guard: the time in which nothing had come to be sent counted as its own."""

    async def main():
        server = StoppingServer(PART - 1000)
        async with server.before() as node:
            caller, loop = connect(node), asyncio.get_running_loop()
            caller.setblocking(False)
            began = node.loop.time()
            await loop.sock_sendall(caller, LONGER[:PART])
            await server.taken.wait()
            await asyncio.sleep(0.9)  # so far all was taken at once
            await loop.sock_sendall(caller, LONGER[PART:])
            await asyncio.sleep(0.3)
            assert node.loop.time() - began > DEADLINE_S
            server.go_on.set()
            assert await status(caller) == b"200"
            caller.close()

    run(main())
