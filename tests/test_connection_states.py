"""A caller's connection in the moments that cross: its end, a request or half a one against a close."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest
from loopback import Held, request, running, until

from orchidledge.net.body import HIGH_WATER
from orchidledge.net.node import Node


def connect(node: Node) -> socket.socket:
    """A caller whose acts take no turn of the node's loop: all that it does between two awaits crosses."""
    return socket.create_connection(node.server.address)


def half_close(caller: socket.socket) -> None:
    caller.shutdown(socket.SHUT_WR)


def reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


LEAVING = [socket.socket.close, half_close, reset]
Leave = Callable[[socket.socket], None]

# ----------------------------------------------------------------------- leaving


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("waits", ["nothing", "a second request", "a long body"])
def test_a_leaving_can_be_asked_for_before_the_loop_has_seen_it(leave: Leave, waits: str):
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            if waits == "a long body":  # of which the server reads none
                caller.sendall(request("post", "q1", bytes(4 * HIGH_WATER))[: -2 * HIGH_WATER])
            else:
                caller.sendall(request(name="q1"))
            await until(lambda: node.jobs.held)
            (job,) = node.jobs.held.values()
            if waits == "a second request":
                caller.sendall(request(name="q2") + b"GET /half")
                await until(lambda: not job.call.connection._transport.is_reading())
                caller.sendall(b"unread")
            assert not job.call.caller_gone()
            leave(caller)
            assert job.call.caller_gone()
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_leaving_is_seen_while_nothing_is_read(leave: Leave):
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1") + request(name="q2"))
            await until(lambda: server.seen)
            (job,) = node.jobs.held.values()
            assert not job.call.connection._transport.is_reading()
            caller.sendall(request(name="q3"))
            leave(caller)
            node.server.expire(node.loop.time())
            await until(lambda: not node.server.connections)
            assert (node.counts["gone"], node.jobs.open, node.counts["taken"]) == (1, 0, 1)
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("leave", LEAVING)
def test_callers_that_leave_as_the_last_answers_go_out_keep_no_other_from_its_answer(leave: Leave):
    async def main():
        server = Held()
        async with running(server) as node:
            callers = [connect(node) for _ in range(5)]
            for at, caller in enumerate(callers):
                caller.sendall(request(name=f"q{at}"))
            await until(lambda: len(server.seen) == len(callers))
            node.server.drain()
            for caller in callers[:-1]:
                leave(caller)  # and the loop has no turn before the answers
            node.jobs.fail_all()
            assert callers[-1].recv(12) == b"HTTP/1.1 504"
            assert node.jobs.open == 0
            await until(lambda: len(node.server.connections) == 1)  # the last one's, until that has read
            for caller in callers:
                caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_caller_that_leaves_as_its_last_answer_goes_out_leaves_nothing_behind(leave: Leave):
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1"))
            await until(lambda: server.seen)
            (job,) = node.jobs.held.values()
            node.server.drain()
            on_result, left = job.attempts[0]._on_result, []

            def result(
                *args: object,
            ) -> None:  # the answer has been read: the caller leaves just before it is used
                left.append(leave(caller))
                on_result(*args)

            job.attempts[0]._on_result = result
            server.release.set()
            await until(lambda: left)
            assert not node.jobs.held
            assert node.driver.balancer.peers["s0"].load == 0.0
            assert node.pool.size == 1
            caller.close()

    asyncio.run(main())
