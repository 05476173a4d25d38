"""Callers and descriptors: whatever they open, servers and discovery get theirs, and service goes on."""

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
from tests.support.loopback import Client, Discovery, StubServer, list_response, request, running_node
from tests.support.node_processes import Node
from tests.support.registry_processes import ROOT, until
from tests.support.stand_in_servers import ServerPool

HALF = request(name="half")[:30]


def bound(sockets: int):
    """How to start a node that may hold so many descriptors."""

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
def crowd(node: Node, count: int, data: bytes) -> Iterator[list[socket.socket]]:
    """So many callers at once, each of which has sent this much and then rests."""
    with contextlib.ExitStack() as stack:
        with paused(node):
            callers = [stack.enter_context(connect(node)) for _ in range(count)]
            for caller in callers:
                caller.sendall(data)
        yield callers


@pytest.mark.parametrize("data", [b"", HALF, UP], ids=["idle", "half a request", "a request"])
@pytest.mark.parametrize("sockets", [64, 256])
def test_callers_that_fill_the_descriptors_keep_neither_servers_nor_discovery_out(tmp_path, sockets, data):
    """Discovery is down meanwhile, so both need new descriptors after the callers have come."""
    loops, servers = LoopThread(), ServerPool(1)
    discovery = Discovery()
    node = Node(
        tmp_path,
        servers.known(),
        limits={"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        settings={"registryMode": "push"},
    )
    port = int(node.row["discovery"].rpartition(":")[2])
    try:
        node.start(bound(sockets))
        with crowd(node, sockets + 40, data):
            with connect(node) as caller:
                caller.sendall(UP)
                assert read_status(caller) == 200
            discovery.responses = [list_response(2, True, s0=(f"127.0.0.1:{servers.port()}", "Ready"))]
            loops.run(discovery.start(port))
            until(lambda: len(discovery.seen) > 1, what="the list read and asked for again")
            with connect(node) as caller:
                caller.sendall(request(name="served"))
                assert read_status(caller) == 200
        assert node.process is not None
        assert node.process.poll() is None
        assert not node.log_lines("Too many open files")
    finally:
        node.kill()
        loops.call(discovery.stop)
        loops.close()
        servers.close()


def test_a_listener_that_is_refused_a_descriptor_makes_room_and_goes_on(caplog):
    """Where the platform's limit is lower than the configuration says."""

    async def main() -> None:
        async with asyncio.timeout(20), running_node(StubServer()) as node:
            idle = await Client.connect(node)
            assert (await idle.exchange(UP)).status == 200
            real = node.listener._socket
            assert real is not None
            refusals = [OSError(errno.EMFILE, "Too many open files") for _ in range(3)]

            class Refused:
                fileno = real.fileno
                getsockname = real.getsockname
                close = real.close

                def accept(self) -> tuple[socket.socket, object]:
                    if refusals:
                        raise refusals.pop()
                    return real.accept()

            node.listener._socket = Refused()  # type: ignore[assignment]
            began = node.loop.time()
            caller = await Client.connect(node)
            assert (await caller.exchange(UP)).status == 200
            assert node.loop.time() - began < 1.0  # for so long asyncio's own listener would rest
            assert await idle.reader.read() == b""

    asyncio.run(main())
    assert sum("accepted" in record.message for record in caplog.records) == 1
