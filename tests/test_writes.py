"""Whether an attempt may still be written: every reason not to, put in place just before its first byte."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest
from loopback import Caller, Held, Peer, Scripted, ask, reply, request, running, until

from orchidledge import interface as api
from orchidledge.net.body import HIGH_WATER
from orchidledge.net.node import Node

LEAVINGS = ("closes", "resets", "half-closes")
CANCELS = pytest.mark.parametrize("cancel", [True, False])


class Leaver:
    """A client on a plain socket: what it does is in the kernel at once, before the node's loop turns."""

    def __init__(self, node: Node, data: bytes, how: str = "closes") -> None:
        self._how = how
        self._socket = socket.create_connection(node.server.address)
        self._socket.sendall(data)

    def leave(self) -> None:
        if self._how == "half-closes":
            self._socket.shutdown(socket.SHUT_WR)
            return
        if self._how == "resets":
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._socket.close()

    def close(self) -> None:
        self._socket.close()


class LateConnections:
    """Connections to servers that come up only when told, and what happens in the very turn they do."""

    def __init__(self, node: Node, just_before: Callable[[], None] = lambda: None) -> None:
        self.ready = 0
        self.up = asyncio.Event()
        opened = node.pool.open

        async def late(endpoint):
            connection = await opened(endpoint)
            self.ready += 1
            if not self.up.is_set():
                await self.up.wait()
                just_before()
            return connection

        node.pool.open = late


async def is_over(node: Node) -> None:
    """Nothing of any request is left, and its caller's connection is closed."""
    await until(lambda: not node.jobs.held and not node.server.connections)
    assert node.jobs.open == 0
    assert sum(peer.load for peer in node.driver.balancer.peers.values()) == 0.0


def can(cancel: bool) -> dict[str, bool]:
    return {"cancel": cancel}


@CANCELS
@pytest.mark.parametrize("how", LEAVINGS)
def test_a_client_that_left_before_its_request_was_read_is_not_sent_on(how, cancel, monkeypatch):
    monkeypatch.setattr("orchidledge.net.upstream.SETTLE_S", 0.0)

    async def main():
        async with running(Peer(), bounds=can(cancel)) as node:
            assert (await ask(node, request(name="q0"))).status == 200  # its connection is kept
            client = Leaver(node, request(), how)
            client.leave()  # request and end are there before the connection is accepted
            await until(lambda: node.counts["gone"])
            await is_over(node)
            assert node.figures.dispatches == 1
            client.close()

    asyncio.run(main())


@CANCELS
@pytest.mark.parametrize("seen", [True, False])
@pytest.mark.parametrize("how", LEAVINGS)
def test_a_client_that_left_while_its_attempt_connects_is_not_sent_on(how, seen, cancel):
    async def main():
        async with running(Peer(), bounds=can(cancel)) as node:
            client = Leaver(node, request(), how)
            late = LateConnections(node, (lambda: None) if seen else client.leave)
            await until(lambda: late.ready)
            if seen:
                client.leave()
                await until(lambda: node.counts["gone"])
            late.up.set()
            await is_over(node)
            assert (node.figures.dispatches, node.counts["gone"], node.counts["moot"]) == (0, 1, 1)
            assert (await ask(node, request(name="q2"))).status == 200
            client.close()

    asyncio.run(main())


@CANCELS
@pytest.mark.parametrize("how", LEAVINGS)
def test_a_client_that_left_between_two_attempts_is_not_sent_on(how, cancel):
    async def main():
        async def script(message):
            return reply(503, Srv_Declined="1")

        async with running(Peer(script), Peer(script), bounds=can(cancel)) as node:
            balancer = node.driver.balancer
            client = Leaver(node, request(), how)

            def act(event):
                if isinstance(event, api.Outcome) and event.result is api.Result.FULL:
                    client.leave()  # in the turn in which the next attempt is chosen
                return balancer.handle(node.clock.ms(), event)

            node.driver.balancer = Scripted(act)
            await until(lambda: node.counts["gone"])
            node.driver.balancer = balancer
            await is_over(node)
            assert (node.figures.dispatches, node.counts["full"], node.counts["error"]) == (1, 1, 0)
            client.close()

    asyncio.run(main())


@CANCELS
@pytest.mark.parametrize("how", LEAVINGS)
@pytest.mark.parametrize("size", [HIGH_WATER, HIGH_WATER + 8192])
def test_a_client_that_left_while_its_long_body_is_not_read_is_not_sent_on(size, how, cancel):
    async def main():
        server = Peer()
        async with running(server, bounds=can(cancel)) as node:
            data = request("post", "q1", bytes(8 * HIGH_WATER))
            late = LateConnections(node)
            client = Leaver(node, data[: len(data) - 8 * HIGH_WATER + size], how)
            await until(lambda: late.ready)
            (connection,) = node.server.connections
            assert connection._reading.body_held  # so the loop will see no end
            client.leave()
            late.up.set()
            await is_over(node)
            assert (node.figures.dispatches, node.counts["gone"], node.counts["moot"]) == (0, 1, 1)
            assert server.seen == []
            client.close()

    asyncio.run(main())


@CANCELS
def test_a_burst_of_clients_that_left_leaves_nothing_to_write(cancel):
    async def main():
        async with running(Peer(), Peer(), bounds=can(cancel)) as node:
            clients = [Leaver(node, request(name=f"q{at}"), LEAVINGS[at % 3]) for at in range(24)]

            def all_leave():
                while clients:
                    clients.pop().leave()

            late = LateConnections(node, all_leave)
            await until(lambda: late.ready + node.counts["answered 503"] == 24)
            late.up.set()
            await until(lambda: not node.jobs.held)
            assert node.figures.dispatches == 0
            assert late.ready > 1

    asyncio.run(main())


def test_of_two_copies_the_one_that_still_connects_is_not_written_after_the_answer():
    async def main():
        async with running(Peer(), Peer(), bounds=can(False)) as node:
            assert (await ask(node, request(name="q0"))).status == 200

            def act(event):
                both = [api.Send("q1", "s0"), api.Send("q1", "s1")]
                return both if isinstance(event, api.Request) else []

            node.driver.balancer = scripted = Scripted(act)
            opened, up = node.pool.open, asyncio.Event()
            addresses = {server: address for server, (_, address) in node.servers.listed.items()}

            async def late(endpoint):
                if endpoint == addresses["s0"]:
                    await up.wait()
                return await opened(endpoint)

            node.pool.open = late
            assert (await ask(node, request())).status == 200
            up.set()
            await until(lambda: not node.jobs.held)
            assert node.figures.dispatches == 2
            results = {event.attempt: event.result for event in scripted.of(api.Outcome)}
            assert results == {0: api.Result.MOOT, 1: api.Result.OK}

    asyncio.run(main())


def test_a_written_attempt_is_not_given_up_where_cancelling_is_not_allowed():
    async def main():
        server = Held()
        async with running(server, bounds=can(False)) as node:
            caller = await Caller.to(node)
            caller.writer.write(request())
            await until(lambda: server.seen)
            caller.writer.close()
            await until(lambda: node.counts["gone"])
            assert node.jobs.held
            server.release.set()
            await is_over(node)
            assert node.counts["ok"] == 1

    asyncio.run(main())
