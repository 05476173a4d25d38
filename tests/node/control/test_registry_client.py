"""A node's calls to the agent beside it: connections are kept, and one that proves closed does no harm."""

from __future__ import annotations

import asyncio

from loadbalancer.node.control.registry_client import RegistryClient

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class CountingServer:
    """Answers every request with `{}`; on each connection at most `answers` times, then it closes."""

    def __init__(self, answers: int) -> None:
        self.connections = 0
        self._answers = answers

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        for _ in range(self._answers):
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(head.lower().split(b"content-length:")[1].split()[0])
            await reader.readexactly(size)
            writer.write(ANSWER)
        writer.close()


async def connections_of(calls: int, answers: int) -> int:
    stand_in = CountingServer(answers)
    server = await asyncio.start_server(stand_in.serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    agent = RegistryClient(lambda: address)
    for _ in range(calls):
        assert (await agent.post("renew", {"seq": 1}, 5_000.0)).body == b"{}"
    agent.close()
    server.close()
    return stand_in.connections


def test_calls_go_on_one_connection() -> None:
    assert asyncio.run(connections_of(calls=5, answers=100)) == 1


def test_a_connection_that_the_agent_closes_costs_no_call() -> None:
    assert asyncio.run(connections_of(calls=6, answers=2)) == 3
