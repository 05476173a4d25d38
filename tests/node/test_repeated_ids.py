"""An id whose request may have been executed is not executed again, in this process or its sibling."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

import pytest

from loadbalancer.node.config import NodeConfig
from loadbalancer.node.listener.connection import ServerConnection
from loadbalancer.node.memory_budget import EXECUTED_ID_BYTES
from loadbalancer.node.node import Node
from loadbalancer.node.state.executed_id_log import FOLDER_NAME, MAX_FILES, RECORD
from tests.support.loopback import (
    BlockedServer,
    Client,
    Message,
    StubServer,
    exchange,
    http_response,
    loopback_node,
    request,
    wait_until,
)
from tests.support.raw_clients import MIB

EXECUTED_ONCE = ["post", "move"]


def sent(kind: str, **headers: str) -> bytes:
    return request(kind, "q1", Idempotency_Key="k", **headers)


@pytest.mark.parametrize("kind", EXECUTED_ONCE)
def test_id_is_not_executed_again_after_its_response(kind):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            assert (await exchange(node, sent(kind))).status == 200
            assert (await exchange(node, sent(kind))).status == 502
            assert len(server.requests) == 1

    asyncio.run(main())


@pytest.mark.parametrize("kind", EXECUTED_ONCE)
def test_id_is_not_executed_again_after_its_deadline(kind):
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            client.writer.write(sent(kind, Req_Deadline_Ms="150"))
            await wait_until(lambda: server.requests)
            client.writer.close()
            await asyncio.sleep(0.3)
            server.script = None
            assert (await exchange(node, sent(kind))).status == 502
            assert len(server.requests) == 1
            server.release.set()

    asyncio.run(main())


def test_id_is_not_executed_again_after_its_client_left_a_streamed_response():
    async def main():
        async def respond(_message: Message) -> bytes:
            return http_response(body=bytes(8 * MIB))

        server = StubServer(respond)
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            client.writer.write(sent("post"))
            await wait_until(lambda: node.request_registry.streaming)
            client.writer.transport.abort()
            await wait_until(lambda: not node.request_registry.streaming)
            assert (await exchange(node, sent("post"))).status == 502
            assert len(server.requests) == 1

    asyncio.run(main())


def sibling(node: Node, listening: socket.socket) -> NodeConfig:
    """Return the configuration of a second process of the node on the same socket."""
    fields: dict[str, Any] = {name: getattr(node.config, name) for name in NodeConfig.__dataclass_fields__}
    return NodeConfig(**fields | {"accept_fd": str(os.dup(listening.fileno()))})


@pytest.mark.parametrize("first", ["old", "new"])
def test_id_executed_by_one_process_of_an_upgrade_is_not_executed_by_the_other(first, tmp_path):
    async def main():
        listening, server = socket.create_server(("127.0.0.1", 0)), StubServer()
        shared = {"accept_fd": str(os.dup(listening.fileno())), "tmpdir": str(tmp_path)}
        async with loopback_node(server, **shared) as old:
            if first == "old":  # before the other process has started
                await at_process(old, sent("post"), 200)
            new = Node(sibling(old, listening))
            await new.start()
            if first == "new":
                await at_process(new, sent("post"), 200)
            await at_process(old if first == "new" else new, sent("post"), 502)
            assert len(server.requests) == 1
            new.close()
        listening.close()

    asyncio.run(main())


@pytest.mark.parametrize("memory_mb", [32, 64])
def test_files_of_claimed_ids_fit_into_the_memory_budget(memory_mb, tmp_path):
    """Each claim is released, as no server executes a request; only the files grow."""

    async def main():
        listening = socket.create_server(("127.0.0.1", 0))
        shared = {"accept_fd": str(os.dup(listening.fileno())), "tmpdir": str(tmp_path)}
        async with loopback_node(StubServer(), memory_mb=memory_mb, **shared) as node:
            reserved, now = node.memory.requests.reserved_bytes, node.loop.time()
            ids = node.request_registry.executed_ids
            accepted = 0
            while accepted < 200_000 and ids.reserve(now):
                accepted += 1
                ids.claim(f"q{accepted}", now)
                ids.end(f"q{accepted}", executed=False, claimed=True, now=now)
            folder = tmp_path / FOLDER_NAME
            assert sum(path.stat().st_size for path in folder.iterdir()) <= reserved + MAX_FILES * RECORD.size
            assert node.memory.requests.reserved_bytes == reserved < node.memory.requests.limit_bytes / 5
        listening.close()

    asyncio.run(main())


async def at_process(node: Node, data: bytes, status: int) -> None:
    """Send a request to this process, although another accepts from the same socket."""
    with socket.create_server(("127.0.0.1", 0)) as private:
        raw = socket.create_connection(private.getsockname())
        accepted, _ = private.accept()
    accepted.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.connect_accepted_socket(lambda: ServerConnection(node.listener), accepted)
    client = Client(*await asyncio.open_connection(sock=raw))
    response = await client.exchange(data)
    client.writer.close()
    assert response.status == status


def test_id_of_a_request_that_no_server_got_may_come_again():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            node.memory.exchanges.limit_bytes = 0
            assert (await exchange(node, sent("post"))).status == 503
            node.memory.exchanges.limit_bytes = 10**9
            assert (await exchange(node, sent("post"))).status == 200
            assert node.memory.executed_ids.reserved_bytes == EXECUTED_ID_BYTES

    asyncio.run(main())
