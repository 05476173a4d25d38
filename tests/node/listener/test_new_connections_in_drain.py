"""A connection that a caller opens while the node drains, in every order of its accept, its first byte, the
looks at idle connections and the end of its grace. Time is the test's.

A caller between two requests sends a crossed one again; on a new connection its request would be lost.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from loadbalancer.node.listener.listener import NEW_CONNECTION_GRACE_S
from loadbalancer.node.node import Node
from tests.support import clocks
from tests.support.callers import connect
from tests.support.loopback import StubServer, request, running_node, wait_until

STEP_S = 0.01  # between two looks at idle connections
DRAINS: dict[str, Callable[[Node], Awaitable[object]]] = {
    "SIGTERM": lambda node: asyncio.create_task(node.stop()),
    "standby": lambda node: asyncio.sleep(0.0, node.standby()),
}


async def begin(drain: str, node: Node) -> asyncio.Task[object] | None:
    """Begin to drain beside a caller whose request is in flight, so that the process goes on."""
    begun = DRAINS[drain](node)
    if isinstance(begun, asyncio.Task):
        await asyncio.sleep(0.0)
        return begun
    await begun
    return None


async def answered(caller: socket.socket) -> bytes:
    """The first line of the answer, or nothing where the node has closed without one."""
    caller.setblocking(False)
    try:
        return (await asyncio.get_running_loop().sock_recv(caller, 65_536)).partition(b"\r\n")[0]
    except ConnectionResetError:
        return b""


async def served_after(silent_s: float, caller: socket.socket, ending: asyncio.Task[object] | None) -> None:
    """The first request comes after so much silence and is answered; the process ends, where it is to."""
    await asyncio.sleep(silent_s)
    caller.sendall(request(name="q1"))
    assert await answered(caller) == b"HTTP/1.1 200 OK"
    if ending is not None:
        await ending
    caller.close()


@pytest.mark.parametrize("silent_s", [0.0, STEP_S, 0.11, 0.3, NEW_CONNECTION_GRACE_S - STEP_S])
@pytest.mark.parametrize("opened_s", [0.1, 0.3, 0.399])  # after the drain's start: callers do up to 0.4 s
@pytest.mark.parametrize("drain", DRAINS)
def test_the_first_request_of_a_new_connection_is_answered(
    drain: str, opened_s: float, silent_s: float
) -> None:
    async def main() -> None:
        async with running_node(StubServer()) as node:
            ending = await begin(drain, node)
            await asyncio.sleep(opened_s)
            caller = connect(node)
            await wait_until(lambda: node.listener.connections)
            await served_after(silent_s, caller, ending)

    clocks.run(main())


@pytest.mark.parametrize("silent_s", [0.0, STEP_S, 0.3])
@pytest.mark.parametrize("drain", DRAINS)
def test_the_first_request_of_a_connection_that_is_accepted_late_is_answered(
    drain: str, silent_s: float
) -> None:
    """The kernel has accepted it in time; the node comes to it after the looks have begun."""

    async def main() -> None:
        async with running_node(StubServer()) as node:
            listening = node.listener._socket
            assert listening is not None
            ending = await begin(drain, node)
            node.loop.remove_reader(listening)
            caller = connect(node)
            await asyncio.sleep(0.55)
            node.loop.add_reader(listening, node.listener._accept)
            await wait_until(lambda: node.listener.connections)
            await served_after(silent_s, caller, ending)

    clocks.run(main())


@pytest.mark.parametrize("drain", DRAINS)
def test_a_new_connection_on_which_nothing_comes_is_closed_after_its_grace(drain: str) -> None:
    async def main() -> None:
        async with running_node(StubServer()) as node:
            ending = await begin(drain, node)
            await asyncio.sleep(0.3)
            caller = connect(node)
            await wait_until(lambda: node.listener.connections)
            opened = node.loop.time()
            assert await answered(caller) == b""
            waited_s = node.loop.time() - opened
            assert NEW_CONNECTION_GRACE_S - STEP_S <= waited_s <= NEW_CONNECTION_GRACE_S + 4 * STEP_S
            if ending is not None:
                await ending
            caller.close()

    clocks.run(main())


def test_a_node_that_is_active_again_closes_no_idle_connection() -> None:
    async def main() -> None:
        async with running_node(StubServer()) as node:
            node.standby()
            await asyncio.sleep(2.0)
            assert node.active()
            caller = connect(node)
            await wait_until(lambda: node.listener.connections)
            await asyncio.sleep(2.0)
            caller.sendall(request(name="q1"))
            assert await answered(caller) == b"HTTP/1.1 200 OK"
            caller.close()

    clocks.run(main())
