"""No limit turns away a client that keeps to the protocol, also with the least memory."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.node.http.body import MAX_BODY_BYTES
from tests.support.loopback import Client, StubServer, http_response, loopback_node, request
from tests.support.raw_clients import MIB

KIB = 1024
SLOW_HEAD_S = 2.0  # a client may take this long for a head
SLOW_BODY_BYTES_PER_S = 64_000.0
LEAST_MEMORY_MB = 32


def with_fields(number: int, size: int) -> bytes:
    """Return a request with this many more headers, each of `size` bytes."""
    head, _, rest = request("post", "q1", b"body").partition(b"\r\n")
    fields = b"".join(b"X-%03d: %b\r\n" % (index, b"v" * (size - 9)) for index in range(number))
    return head + b"\r\n" + fields + rest


def chunked(body: bytes, size: int) -> bytes:
    """Return a request whose body has chunks of this size and a trailer."""
    head = b"POST /post/x HTTP/1.1\r\nReq-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks = (body[at : at + size] for at in range(0, len(body), size))
    return head + b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\nEnd: 1\r\n\r\n"


REQUESTS = {
    "100 headers": with_fields(100, 40),
    "200 headers": with_fields(200, 40),
    "long headers": with_fields(14, 1000),
    "body of 64 KiB": request("post", "q1", bytes(64 * KIB)),
    "chunked body of 64 KiB": chunked(bytes(64 * KIB), 1000),
    "chunks of one byte": chunked(bytes(4000), 1),
    "body of 32 MB": request("post", "q1", bytes(MAX_BODY_BYTES)),
}


class BodyServer(StubServer):
    """A stub server that also reads chunked requests, and responds to each with 200."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                if b"transfer-encoding: chunked" in head:
                    while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
                        await reader.readexactly(size + 2)
                    while (await reader.readuntil(b"\n")).strip():
                        pass
                elif b"content-length: " in head:
                    await reader.readexactly(int(head.split(b"content-length: ")[1].split(b"\r\n")[0]))
                size = (
                    int(head.split(b"answer-bytes: ")[1].split(b"\r\n")[0]) if b"answer-bytes" in head else 4
                )
                writer.write(http_response(body=bytes(size)))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, 192])
@pytest.mark.parametrize("piece", [None, 700])
@pytest.mark.parametrize("name", REQUESTS)
def test_large_request_is_served(name: str, piece: int | None, memory_mb: int):
    async def main():
        limits = {"cores": 1, "memory_mb": memory_mb, "sockets": 1024}
        async with loopback_node(BodyServer(), limits=limits) as node:
            client, data = await Client.connect(node), REQUESTS[name]
            if piece is None or len(data) > MIB:
                client.writer.write(data)
            else:
                for at in range(0, len(data), piece):
                    client.writer.write(data[at : at + piece])
                    await asyncio.sleep(0.001)
            assert (await client.read_response()).status == 200
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, 192])
@pytest.mark.parametrize("size", [60 * KIB, 64 * KIB + 1, MAX_BODY_BYTES])
def test_long_response_is_complete(size: int, memory_mb: int):
    async def main():
        limits = {"cores": 1, "memory_mb": memory_mb, "sockets": 1024}
        async with loopback_node(BodyServer(), limits=limits) as node:
            client = await Client.connect(node)
            response = await client.exchange(request(Answer_Bytes=str(size)))
            assert (response.status, len(response.body)) == (200, size)
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, 192])
@pytest.mark.parametrize("body", [0, 9000])
def test_requests_sent_at_once_are_all_served(body: int, memory_mb: int):
    async def main():
        limits = {"cores": 1, "memory_mb": memory_mb, "sockets": 1024}
        async with loopback_node(BodyServer(), limits=limits) as node:
            client = await Client.connect(node)
            client.writer.write(b"".join(request("post", f"q{index}", bytes(body)) for index in range(100)))
            for _ in range(100):
                assert (await client.read_response()).status == 200
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("memory_mb", [LEAST_MEMORY_MB, 192])
def test_slow_head_and_slow_upload_are_served(memory_mb: int):
    async def main():
        limits = {"cores": 1, "memory_mb": memory_mb, "sockets": 1024}
        async with loopback_node(BodyServer(), limits=limits) as node:
            client = await Client.connect(node)
            data = request("post", "q1", bytes(300_000))
            head = data.index(b"\r\n\r\n") + 4
            for at in range(10):
                client.writer.write(data[at * head // 10 : (at + 1) * head // 10])
                await asyncio.sleep(0.95 * SLOW_HEAD_S / 10)
            for at in range(head, len(data), 6400):
                client.writer.write(data[at : at + 6400])
                await asyncio.sleep(6400 / SLOW_BODY_BYTES_PER_S)
            assert (await client.read_response()).status == 200
            client.writer.close()

    asyncio.run(main())
