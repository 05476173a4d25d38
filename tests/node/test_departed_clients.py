"""A request whose client has left behind unread bytes is not completed."""

from __future__ import annotations

import asyncio
import socket

import pytest

from tests.support.loopback import loopback_node, request, targets, wait_until
from tests.support.raw_clients import MIB


@pytest.mark.parametrize("server_pauses_s", [0.0, 0.4])
@pytest.mark.parametrize("chunked", [False, True])
def test_long_request_is_not_completed_after_its_client_closed(chunked: bool, server_pauses_s: float):
    async def main():
        received, connected = bytearray(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connected.set()
            await asyncio.sleep(server_pauses_s)
            while data := await reader.read(65_536):
                received.extend(data)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with loopback_node(known=targets(s0=(f"127.0.0.1:{port}", "Ready"))) as node:
            length, body = 2 * MIB, bytes(2 * MIB)
            data = request("post", "q1", body)
            if chunked:
                head = b"POST /post/x HTTP/1.1\r\nReq-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
                data = head + b"%x\r\n" % length + body + b"\r\n0\r\n\r\n"
            client = socket.create_connection(node.listener.address)
            client.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(client, data)
            client.close()
            await wait_until(lambda: node.event_counts["client disconnects"])
            await wait_until(lambda: not node.request_registry.active)
            assert node.metrics.attempts_sent == 0
            assert len(received) < len(data)
        server.close()

    asyncio.run(main())
