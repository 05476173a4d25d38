"""Clients that read a long response slowly, and clients that read nothing of it."""

from __future__ import annotations

import asyncio

from tests.support.clocks import run
from tests.support.loopback import request
from tests.support.paced_server import PIECE, PacedServer, hang_at_once, running_node
from tests.support.raw_clients import connect


def test_slow_client_is_not_taken_for_a_stalled_one():
    """Regression: a client that read 64 kB/s was closed after 10 s in which the write buffer stayed full."""

    async def main():
        count = 400
        async with running_node(PacedServer(count, 0.0)) as node:
            client, loop, received = connect(node), asyncio.get_running_loop(), 0
            client.setblocking(False)
            await loop.sock_sendall(client, request())
            began = loop.time()
            while piece := await loop.sock_recv(client, 128_000 if loop.time() < began + 40.0 else 1 << 20):
                received += len(piece)
                if loop.time() < began + 40.0:
                    await asyncio.sleep(len(piece) / 64_000)
                if received > count * len(PIECE):
                    break
            assert received > count * len(PIECE)
            assert node.listener.closed_stalled == 0
            client.close()

    run(main())


def test_client_that_receives_nothing_is_still_closed_as_stalled():
    async def main():
        async with running_node(PacedServer(400, 0.0)) as node:
            await hang_at_once(node)
            await asyncio.sleep(9.0)
            assert node.listener.closed_stalled == 0
            await asyncio.sleep(6.0)
            assert node.listener.closed_stalled == 1

    run(main())
