"""Servers and clients of the fleet's programs bound what a peer makes them hold and do at once."""

from __future__ import annotations

import asyncio
import gc

import pytest

from loadbalancer.node.http.service_client import ExchangeError, send_request
from loadbalancer.node.http.service_server import (
    MAX_QUEUED_REQUESTS,
    HttpRequest,
    HttpResponse,
    ServerLimits,
    serve,
)
from loadbalancer.node.memory_budget import MemoryPool
from tests.support.loopback import wait_until

TINY_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
TINY_REQUESTS = 20_000


async def respond(_request: HttpRequest) -> HttpResponse:
    return HttpResponse(200)


def requests_in_memory() -> int:
    return sum(isinstance(found, HttpRequest) for found in gc.get_objects())


def test_requests_sent_at_once_are_not_all_held_in_memory():
    async def main():
        released, received = asyncio.Event(), []

        async def handle(request: HttpRequest) -> HttpResponse:
            received.append(request.path)
            await released.wait()
            return HttpResponse(200)

        server = await serve(("127.0.0.1", 0), handle)
        before = requests_in_memory()
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        writer.write(TINY_REQUEST * TINY_REQUESTS)
        await wait_until(lambda: received)
        await asyncio.sleep(0.1)
        assert requests_in_memory() - before <= MAX_QUEUED_REQUESTS + 2
        released.set()
        count = 0
        async with asyncio.timeout(20):
            while count < TINY_REQUESTS:
                count += (await reader.read(65_536)).count(b"HTTP/1.1 200")
        assert len(received) == TINY_REQUESTS
        writer.close()
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("where", ["head", "trailer"])
def test_request_with_very_many_fields_gets_400(where: str):
    async def main():
        server = await serve(("127.0.0.1", 0), respond)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        head = b"POST / HTTP/1.1\r\n"
        if where == "trailer":
            head += b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
        writer.write(head + b"".join(b"%x:\r\n" % index for index in range(300)) + b"\r\n")
        async with asyncio.timeout(5):
            assert (await reader.read()).startswith(b"HTTP/1.1 400 ")
        writer.close()
        server.close()

    asyncio.run(main())


def test_requests_beyond_the_memory_of_the_server_get_503():
    async def main():
        pool = MemoryPool("calls", 100_000)
        server = await serve(("127.0.0.1", 0), respond, ServerLimits(memory=pool))
        address = server.sockets[0].getsockname()[:2]
        half = b"POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n" + bytes(60_000)
        first_reader, first = await asyncio.open_connection(*address)
        first.write(half)
        await wait_until(lambda: pool.reserved_bytes > 60_000)
        second_reader, second = await asyncio.open_connection(*address)
        second.write(half)
        async with asyncio.timeout(5):
            assert (await second_reader.read()).startswith(b"HTTP/1.1 503 ")
        first.write(bytes(30_000))
        async with asyncio.timeout(5):
            assert (await first_reader.readline()).startswith(b"HTTP/1.1 200 ")
        await wait_until(lambda: pool.reserved_bytes == 0)
        for writer in (first, second):
            writer.close()
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\n" + b"".join(b"%x:\r\n" % index for index in range(300)),
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * 200_000,
    ],
    ids=["many fields", "long field"],
)
def test_response_whose_head_has_no_end_is_malformed(response: bytes):
    async def main():
        async def send(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(response)

        server = await asyncio.start_server(send, "127.0.0.1", 0)
        with pytest.raises(ExchangeError):
            await send_request(server.sockets[0].getsockname()[:2], "GET", "/", timeout_s=3.0)
        server.close()

    asyncio.run(main())
