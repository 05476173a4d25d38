"""A long request that its server reads slowly gets its final response in time."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loadbalancer.node.node import Node
from tests.support.loopback import Client, http_response, loopback_node, request, targets
from tests.support.raw_clients import MIB

DEADLINE_S = 1.5
STOPPED_CLIENT_S = 3.0  # within which a client that sends no proper request gets an error or a close
GRACE_S = 0.5  # a final response may come this long after the deadline


async def upload(node: Node, data: bytes) -> tuple[int, float]:
    """Send a request at once; return the response's status and the time (s) since the request's last byte."""
    raw = socket.create_connection(node.listener.address)
    raw.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(raw, data)
    sent_at = loop.time()
    client = Client(*await asyncio.open_connection(sock=raw))
    response = await client.read_response()
    client.writer.close()
    return response.status, loop.time() - sent_at


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("pieces_per_s", [20, 100, 250])
def test_long_request_that_is_read_slowly_gets_its_final_response_in_time(chunked: bool, pieces_per_s: int):
    async def main():
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(16_384):
                await asyncio.sleep(1.0 / pieces_per_s)
            writer.close()

        listening = socket.create_server(("127.0.0.1", 0))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        server = await asyncio.start_server(serve, sock=listening, limit=16_384)
        known = targets(s0=(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "Ready"))
        async with loopback_node(known=known) as node:
            body, milliseconds = bytes(6 * MIB), int(1000 * DEADLINE_S)
            data = request("post", "q1", body, Req_Deadline_Ms=str(milliseconds))
            if chunked:
                head, _, _ = data.partition(b"Content-Length")
                head += b"Req-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % milliseconds
                data = head + b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
            status, waited_s = await upload(node, data)
            assert status in (502, 503, 504)
            assert waited_s <= DEADLINE_S + GRACE_S
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("sent_bytes", [200_000, 3 * MIB])
def test_client_that_stops_in_a_long_request_gets_its_error_in_time(sent_bytes: int):
    async def main():
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(65_536):
                pass
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        known = targets(s0=(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "Ready"))
        async with loopback_node(known=known) as node:
            data = request("post", "q1", bytes(4 * MIB))[:sent_bytes]
            status, waited_s = await upload(node, data)
            assert status == 408
            assert waited_s <= STOPPED_CLIENT_S
            assert node.memory.exchanges.reserved_bytes == 0
        server.close()

    asyncio.run(main())


def test_long_request_of_a_slow_client_has_its_full_time_after_its_last_byte():
    async def main():
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(MIB)
            await asyncio.sleep(0.7 * DEADLINE_S)
            writer.write(http_response())
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        known = targets(s0=(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "Ready"))
        async with loopback_node(known=known) as node:
            data = request("post", "q1", bytes(MIB), Req_Deadline_Ms=str(int(1000 * DEADLINE_S)))
            client = await Client.connect(node)
            for index in range(8):
                client.writer.write(data[index * MIB // 8 : (index + 1) * MIB // 8])
                await asyncio.sleep(DEADLINE_S / 4)
            client.writer.write(data[MIB:])
            assert (await client.read_response()).status == 200
            client.writer.close()
        server.close()

    asyncio.run(main())


def test_upload_continues_while_its_server_receives_slowly_and_the_client_still_sends():
    """Regression: it got a 503 after 1 s, for which the kernel had not taken more from the node."""

    async def main():
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            loop, size = asyncio.get_running_loop(), 30 * MIB
            await reader.readuntil(b"\r\n\r\n")
            slow_until = loop.time() + 4.0
            while size:
                data = await reader.read(16_384)
                size -= len(data)
                if loop.time() < slow_until:
                    await asyncio.sleep(len(data) / 300_000)
            writer.write(http_response())
            await reader.read()
            writer.close()

        listening = socket.create_server(("127.0.0.1", 0))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        server = await asyncio.start_server(serve, sock=listening, limit=16_384)
        known = targets(s0=(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "Ready"))
        async with loopback_node(known=known) as node:
            data = request("post", "q1", bytes(30 * MIB), Req_Deadline_Ms="1000")
            status, _ = await upload(node, data)
            assert status == 200
            assert node.event_counts["connect_failed"] == 0
        server.close()

    asyncio.run(main())
