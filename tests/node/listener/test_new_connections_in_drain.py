"""Connections opened while the node drains.

Covers each order of the accept, the first byte, the checks for idle connections and the end of the grace
period, with simulated time. Clients retry a request that crossed the close of a used connection. They don't
retry the first request on a new connection, so the node must not close that one too early.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from loadbalancer.node.listener.listener import NEW_CONNECTION_GRACE_S
from loadbalancer.node.node import Node
from tests.support import clocks
from tests.support.loopback import StubServer, loopback_node, request, wait_until
from tests.support.raw_clients import connect

STEP_S = 0.01  # between two checks for idle connections
DRAINS: dict[str, Callable[[Node], Awaitable[object]]] = {
    "SIGTERM": lambda node: asyncio.create_task(node.stop()),
    "standby": lambda node: asyncio.sleep(0.0, node.standby()),
}


async def start_drain(drain: str, node: Node) -> asyncio.Task[object] | None:
    """Start a drain; return the task of the graceful shutdown, or None for a standby."""
    started = DRAINS[drain](node)
    if isinstance(started, asyncio.Task):
        await asyncio.sleep(0.0)
        return started
    await started
    return None


async def read_status_line(client: socket.socket) -> bytes:
    """Return the status line of the response, or b"" if the node closed the connection without one."""
    client.setblocking(False)
    try:
        return (await asyncio.get_running_loop().sock_recv(client, 65_536)).partition(b"\r\n")[0]
    except ConnectionResetError:
        return b""


async def assert_served(
    silent_s: float, client: socket.socket, shutdown: asyncio.Task[object] | None
) -> None:
    """Send the first request after `silent_s`, expect 200, and wait for a shutdown if there is one."""
    await asyncio.sleep(silent_s)
    client.sendall(request(name="q1"))
    assert await read_status_line(client) == b"HTTP/1.1 200 OK"
    if shutdown is not None:
        await shutdown
    client.close()


@pytest.mark.parametrize("silent_s", [0.0, STEP_S, 0.11, 0.3, NEW_CONNECTION_GRACE_S - STEP_S])
@pytest.mark.parametrize("opened_s", [0.1, 0.3, 0.399])  # clients connect for 0.4 s after a drain's start
@pytest.mark.parametrize("drain", DRAINS)
def test_first_request_of_new_connection_is_served(drain: str, opened_s: float, silent_s: float) -> None:
    async def main() -> None:
        async with loopback_node(StubServer()) as node:
            shutdown = await start_drain(drain, node)
            await asyncio.sleep(opened_s)
            client = connect(node)
            await wait_until(lambda: node.listener.connections)
            await assert_served(silent_s, client, shutdown)

    clocks.run(main())


@pytest.mark.parametrize("silent_s", [0.0, STEP_S, 0.3])
@pytest.mark.parametrize("drain", DRAINS)
def test_first_request_of_late_accepted_connection_is_served(drain: str, silent_s: float) -> None:
    """The kernel accepts the connection in time; the node accepts it after the idle checks have started."""

    async def main() -> None:
        async with loopback_node(StubServer()) as node:
            listening = node.listener._socket
            assert listening is not None
            shutdown = await start_drain(drain, node)
            node.loop.remove_reader(listening)
            client = connect(node)
            await asyncio.sleep(0.55)
            node.loop.add_reader(listening, node.listener._accept)
            await wait_until(lambda: node.listener.connections)
            await assert_served(silent_s, client, shutdown)

    clocks.run(main())


@pytest.mark.parametrize("drain", DRAINS)
def test_silent_new_connection_is_closed_after_grace_period(drain: str) -> None:
    async def main() -> None:
        async with loopback_node(StubServer()) as node:
            shutdown = await start_drain(drain, node)
            await asyncio.sleep(0.3)
            client = connect(node)
            await wait_until(lambda: node.listener.connections)
            opened_at = node.loop.time()
            assert await read_status_line(client) == b""
            waited_s = node.loop.time() - opened_at
            assert NEW_CONNECTION_GRACE_S - STEP_S <= waited_s <= NEW_CONNECTION_GRACE_S + 4 * STEP_S
            if shutdown is not None:
                await shutdown
            client.close()

    clocks.run(main())


def test_reactivated_node_closes_no_idle_connection() -> None:
    async def main() -> None:
        async with loopback_node(StubServer()) as node:
            node.standby()
            await asyncio.sleep(2.0)
            assert node.active()
            client = connect(node)
            await wait_until(lambda: node.listener.connections)
            await asyncio.sleep(2.0)
            client.sendall(request(name="q1"))
            assert await read_status_line(client) == b"HTTP/1.1 200 OK"
            client.close()

    clocks.run(main())
