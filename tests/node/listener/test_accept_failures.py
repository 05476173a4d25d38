"""Accepting fails for a moment: no queued connection is reset, and no sound client is closed for it."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

import pytest

from loadbalancer.node.node import Node
from tests.support.loopback import Client, StubServer, loopback_node, read_message, request
from tests.support.raw_clients import connect

MOMENTARY = [errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


class FailingSocket:
    """A listening socket whose next calls of `accept` fail with these error numbers."""

    def __init__(self, listening: socket.socket, errors: list[int]) -> None:
        self.fileno = listening.fileno
        self.getsockname = listening.getsockname
        self.close = listening.close
        self.listening = listening
        self.errors = errors

    def accept(self) -> tuple[socket.socket, object]:
        if self.errors:
            error = self.errors.pop()
            raise OSError(error, os.strerror(error))
        return self.listening.accept()


def fail_accepts(node: Node, errors: list[int]) -> FailingSocket:
    assert node.listener._socket is not None
    failing = FailingSocket(node.listener._socket, errors)
    node.listener._socket = failing  # type: ignore[assignment]
    return failing


@pytest.mark.parametrize("error", [*MOMENTARY, errno.EMFILE])
@pytest.mark.parametrize("clients", [1, 5])
def test_queued_connections_get_responses_if_an_accept_fails_at_the_end_of_a_drain(error: int, clients: int):
    async def main() -> None:
        async with asyncio.timeout(20), loopback_node(StubServer()) as node:
            stopping = asyncio.create_task(node.stop())
            await asyncio.sleep(0)
            # From now on only the last accepts of the drain see the queued connections.
            assert node.listener._socket is not None
            node.loop.remove_reader(node.listener._socket)
            fail_accepts(node, [error])
            queued = [connect(node) for _ in range(clients)]
            for number, client in enumerate(queued):
                client.sendall(request(name=f"q{number}"))
            statuses = []
            for client in queued:
                reader, writer = await asyncio.open_connection(sock=client)
                statuses.append((await read_message(reader)).status)
                writer.close()
            assert set(statuses) <= {200, 503}
            await stopping

    asyncio.run(main())


@pytest.mark.parametrize("error", MOMENTARY)
def test_momentary_accept_failure_closes_no_other_client(error: int):
    async def main() -> None:
        async with asyncio.timeout(20), loopback_node(StubServer()) as node:
            idle, sending = await Client.connect(node), await Client.connect(node)
            assert (await idle.exchange(request(name="q1"))).status == 200
            sending.writer.write(request(name="q2")[:20])
            failing = fail_accepts(node, [error] * 5)
            assert (await (await Client.connect(node)).exchange(request(name="q3"))).status == 200
            assert not failing.errors
            assert (await sending.exchange(request(name="q2")[20:])).status == 200
            assert (await idle.exchange(request(name="q4"))).status == 200
            assert node.listener.closed_over_limit == 0

    asyncio.run(main())
