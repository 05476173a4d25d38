"""File descriptor limits: client connections never exhaust the descriptors of servers and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import resource
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.node.test_restarts import UP, connect, paused, read_status
from tests.support.faults import LoopThread
from tests.support.loopback import Client, Discovery, StubServer, list_response, loopback_node, request
from tests.support.node_processes import Node
from tests.support.registry_processes import ROOT, until
from tests.support.stub_servers import StubServerPool

PARTIAL_REQUEST = request(name="half")[:30]


def with_descriptor_limit(sockets: int):
    """Return a function that starts a node process with this descriptor limit."""

    def run(arguments: list[str], log: Path, env: dict[str, str]) -> subprocess.Popen[bytes]:
        with log.open("ab") as out:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdout=out,
                stderr=out,
                cwd=log.parent,
                env=dict(os.environ) | env | {"PYTHONPATH": str(ROOT)},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )

    return run


@contextlib.contextmanager
def connect_many(node: Node, count: int, data: bytes) -> Iterator[list[socket.socket]]:
    """Open `count` idle client connections at once, each of which has sent `data`."""
    with contextlib.ExitStack() as stack:
        with paused(node):
            clients = [stack.enter_context(connect(node)) for _ in range(count)]
            for client in clients:
                client.sendall(data)
        yield clients


@pytest.mark.parametrize("data", [b"", PARTIAL_REQUEST, UP], ids=["idle", "partial request", "request"])
@pytest.mark.parametrize("sockets", [64, 256])
def test_client_connections_leave_descriptors_for_servers_and_discovery(tmp_path, sockets, data):
    """Discovery starts after the clients have connected, so it and the servers need new descriptors then."""
    loops, servers = LoopThread(), StubServerPool(1)
    discovery = Discovery()
    node = Node(
        tmp_path,
        servers.known_targets(),
        limits={"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        settings={"registryMode": "push"},
    )
    port = int(node.row["discovery"].rpartition(":")[2])
    try:
        node.start(with_descriptor_limit(sockets))
        with connect_many(node, sockets + 40, data):
            with connect(node) as client:
                client.sendall(UP)
                assert read_status(client) == 200
            discovery.responses = [list_response(2, True, s0=(f"127.0.0.1:{servers.port()}", "Ready"))]
            loops.run(discovery.start(port))
            until(lambda: len(discovery.seen) > 1, what="the endpoint list read and polled again")
            with connect(node) as client:
                client.sendall(request(name="served"))
                assert read_status(client) == 200
        assert node.process is not None
        assert node.process.poll() is None
        assert not node.log_lines("Too many open files")
    finally:
        node.kill()
        loops.call(discovery.stop)
        loops.close()
        servers.close()


def test_listener_without_descriptors_closes_idle_connections_and_continues(caplog):
    """The platform's descriptor limit is lower than the configured one."""

    async def main() -> None:
        async with asyncio.timeout(20), loopback_node(StubServer()) as node:
            idle = await Client.connect(node)
            assert (await idle.exchange(UP)).status == 200
            listening = node.listener._socket
            assert listening is not None
            errors = [OSError(errno.EMFILE, "Too many open files") for _ in range(3)]

            class FailingSocket:
                fileno = listening.fileno
                getsockname = listening.getsockname
                close = listening.close

                def accept(self) -> tuple[socket.socket, object]:
                    if errors:
                        raise errors.pop()
                    return listening.accept()

            node.listener._socket = FailingSocket()  # type: ignore[assignment]
            started_at = node.loop.time()
            client = await Client.connect(node)
            assert (await client.exchange(UP)).status == 200
            assert node.loop.time() - started_at < 1.0  # asyncio's own listener would pause for 1 s
            assert await idle.reader.read() == b""

    asyncio.run(main())
    assert sum("failed to accept a connection" in record.message for record in caplog.records) == 1
