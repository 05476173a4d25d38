"""Upgrades: two processes of a node accept on one listening socket, which they inherit."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from loadbalancer.node import shutdown
from loadbalancer.node.config import NodeConfig
from loadbalancer.node.listener.inherited_socket import inherited_socket
from loadbalancer.node.node import Node
from tests.support.loopback import (
    BlockedServer,
    Client,
    StubServer,
    exchange,
    loopback_node,
    request,
    wait_until,
)

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


def listening() -> socket.socket:
    return socket.create_server(("127.0.0.1", 0))


def second_config(node: Node, raw: socket.socket) -> NodeConfig:
    """Return the configuration of a second process on the same socket."""
    fields = {name: getattr(node.config, name) for name in NodeConfig.__dataclass_fields__}
    return NodeConfig(**fields | {"accept_fd": str(os.dup(raw.fileno()))})


def test_node_accepts_clients_on_inherited_socket():
    async def main():
        raw = listening()
        async with loopback_node(StubServer(), accept_fd=str(os.dup(raw.fileno()))) as node:
            assert node.listener.address == raw.getsockname()
            assert (await exchange(node, request())).status == 200
        # The test's own descriptor still listens after the node has closed.
        _, writer = await asyncio.open_connection(*raw.getsockname())
        writer.close()
        raw.close()

    asyncio.run(main())


def test_descriptor_that_is_no_listening_socket_is_rejected_and_stays_open(tmp_path):
    plain = (tmp_path / "file").open("w")
    unbound = socket.socket()
    datagrams = socket.socket(type=socket.SOCK_DGRAM)
    invalid = [
        "5x",
        "-1",
        "99999",
        "9" * 40,
        str(plain.fileno()),
        str(unbound.fileno()),
        str(datagrams.fileno()),
    ]
    for text in invalid:
        with pytest.raises(OSError, match="descriptor"):
            inherited_socket(text)
    for resource in (plain, unbound, datagrams):
        os.fstat(resource.fileno())  # it has not been closed
        resource.close()


def test_new_process_serves_while_old_one_finishes_requests_in_flight():
    async def main():
        raw, server = listening(), BlockedServer()
        async with loopback_node(server, accept_fd=str(os.dup(raw.fileno()))) as old:
            busy, idle = await Client.connect(old), await Client.connect(old)
            busy.writer.write(request(name="in-flight"))
            assert (await idle.exchange(UP)).status == 200
            await wait_until(lambda: server.requests)
            new = Node(second_config(old, raw))
            await new.start()
            stopping = asyncio.create_task(old.stop())
            await wait_until(lambda: old.stopping)
            for _ in range(20):  # the old process would respond with 503
                response = await exchange(new, UP)
                assert response.status == 200
            assert not stopping.done()
            # An idle connection may carry one more request.
            response = await idle.exchange(UP)
            assert response.headers["connection"] == "close"
            server.release.set()
            response = await busy.read_response()
            assert (response.status, response.headers["connection"]) == (200, "close")
            await stopping
            assert (await exchange(new, request(name="after"))).status == 200
            new.close()
        raw.close()

    asyncio.run(main())


@pytest.mark.parametrize("shared", [True, False])
def test_idle_connections_stay_open_longer_if_socket_is_shared(monkeypatch, shared):
    async def main():
        raw = listening()
        more = {"accept_fd": str(os.dup(raw.fileno()))} if shared else {}
        async with loopback_node(StubServer(), **more) as node:
            waits: list[float] = []
            monkeypatch.setattr(
                node.listener,
                "drain",
                lambda grace_s=0.0, close_idle_after_s=0.0: waits.append(close_idle_after_s) or None,
            )
            monkeypatch.setattr(shutdown, "MIN_DRAIN_S", 0.0)
            await node.stop()
            assert waits == [shutdown.SHARED_SOCKET_DRAIN_S if shared else 0.0]
        raw.close()

    asyncio.run(main())
