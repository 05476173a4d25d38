"""Timers of the fleet's HTTP server and client: they end no connection whose peer makes progress."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loadbalancer.node.http import service_client
from loadbalancer.node.http.service_client import MAX_PAUSE_S, send_request
from loadbalancer.node.http.service_server import (
    MAX_STALL_S,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerLimits,
    serve,
)
from tests.support.clocks import run
from tests.support.loopback import read_message

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_BYTES = 24 * 1024 * 1024  # more than the kernel's buffers hold


async def respond_at_length(_request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, bytes(LONG_BYTES))


async def respond(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, b"%d" % len(request.body))


async def connect(server: HttpServer) -> socket.socket:
    client = socket.create_connection(server.sockets[0].getsockname()[:2])
    client.setblocking(False)
    await asyncio.get_running_loop().sock_sendall(client, REQUEST)
    await asyncio.sleep(0.5)
    return client


def test_server_that_ends_completes_the_response_of_a_slow_client():
    """Regression: a list service that was told to end cut off the list that an agent was reading."""

    async def main():
        loop = asyncio.get_running_loop()
        server = await serve(("127.0.0.1", 0), respond_at_length)
        client, received = await connect(server), 0
        server.close()
        ending = asyncio.create_task(server.complete_responses())
        while piece := await loop.sock_recv(client, 1 << 20):
            received += len(piece)
            await asyncio.sleep(2.0 * len(piece) / (1 << 20))
        assert received > LONG_BYTES  # with the head
        await ending
        client.close()

    run(main())


def test_server_that_ends_waits_neither_for_idle_clients_nor_long_for_hanging_ones():
    async def main():
        loop = asyncio.get_running_loop()
        server = await serve(("127.0.0.1", 0), respond_at_length)
        idle = socket.create_connection(server.sockets[0].getsockname()[:2])
        hanging = await connect(server)
        server.close()
        began = loop.time()
        await server.complete_responses()
        assert loop.time() - began < MAX_STALL_S + 0.5
        idle.setblocking(False)
        assert await loop.sock_recv(idle, 1) == b""
        hanging.close()
        idle.close()

    run(main())


@pytest.mark.parametrize(("pause_s", "expected"), [(0.2, b"HTTP/1.1 200"), (1.7, b"")])
def test_idle_timeout_does_not_end_a_request_that_arrives_slowly(pause_s: float, expected: bytes):
    """Regression: a connection without a complete request was closed after the idle timeout."""

    async def main():
        server = await serve(("127.0.0.1", 0), respond, ServerLimits(idle_s=0.5))
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n")
        start = asyncio.create_task(reader.read(12))
        for _ in range(10):
            await asyncio.sleep(pause_s)
            if not start.done():
                writer.write(b"x")
        assert await start == expected
        writer.close()
        server.close()

    run(main())


def test_idle_timeout_ends_a_request_that_takes_longer_than_the_lowest_rate_allows():
    async def main():
        loop = asyncio.get_running_loop()
        server = await serve(("127.0.0.1", 0), respond, ServerLimits(body=96_000, idle_s=0.5))
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        began = loop.time()
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n")
        ended = asyncio.create_task(reader.read())
        while not ended.done():
            writer.write(b"x")
            await asyncio.sleep(0.2)
        assert loop.time() - began < 0.5 + 2.0 + 0.5 + 0.3
        writer.close()
        server.close()

    run(main())


@pytest.mark.parametrize(("max_transfer_s", "complete"), [(0.0, False), (5.0, True), (1.0, False)])
def test_response_that_arrives_slowly_may_take_longer_than_its_timeout(max_transfer_s: float, complete: bool):
    """Regression: a long list that arrived slowly was given up, however often it was called for."""

    async def main():
        async def send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
            for _ in range(10):
                await asyncio.sleep(0.3)
                writer.write(b"x")

        server = await asyncio.start_server(send, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        call = send_request(address, "GET", "/", timeout_s=1.0, max_transfer_s=max_transfer_s)
        if complete:
            assert (await call).body == b"x" * 10
        else:
            with pytest.raises(TimeoutError):
                await call
        server.close()

    run(main())


@pytest.mark.parametrize("begins", [True, False])
def test_response_that_stops_is_given_up_as_soon_as_before(begins: bool):
    async def main():
        async def send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            if begins:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
            await reader.read()
            writer.close()

        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(send, "127.0.0.1", 0)
        began = loop.time()
        with pytest.raises(TimeoutError):
            await send_request(
                server.sockets[0].getsockname()[:2], "GET", "/", timeout_s=2.0, max_transfer_s=9.0
            )
        assert loop.time() - began < 2.0 + MAX_PAUSE_S
        server.close()

    run(main())


def test_time_for_connecting_does_not_prolong_the_timeout_of_a_response(monkeypatch: pytest.MonkeyPatch):
    connect_at_once = service_client._connect

    async def connect_late(address):
        await asyncio.sleep(0.6)
        return await connect_at_once(address)

    monkeypatch.setattr(service_client, "_connect", connect_late)

    async def main():
        async def send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
            await reader.read()
            writer.close()

        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(send, "127.0.0.1", 0)
        began = loop.time()
        with pytest.raises(TimeoutError):
            await send_request(server.sockets[0].getsockname()[:2], "GET", "/", timeout_s=1.0)
        assert loop.time() - began == pytest.approx(1.0, abs=0.1)
        server.close()

    run(main())
