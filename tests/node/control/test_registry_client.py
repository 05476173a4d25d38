"""A node's calls to its agent: connections are reused, and a call on a connection that the agent closed is
sent again."""

from __future__ import annotations

import asyncio

from loadbalancer.node.control.registry_client import RegistryClient

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class CountingServer:
    """Responds to every request with `{}`; closes each connection after `max_requests`."""

    def __init__(self, max_requests: int) -> None:
        self.connections = 0
        self._max_requests = max_requests

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        for _ in range(self._max_requests):
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(head.lower().split(b"content-length:")[1].split()[0])
            await reader.readexactly(size)
            writer.write(RESPONSE)
        writer.close()


async def count_connections(calls: int, max_requests: int) -> int:
    """Make the calls, all of which must succeed, and return how many connections they took."""
    stub_agent = CountingServer(max_requests)
    server = await asyncio.start_server(stub_agent.serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    client = RegistryClient(lambda: address)
    for _ in range(calls):
        assert (await client.post("renew", {"seq": 1}, 5_000.0)).body == b"{}"
    client.close()
    server.close()
    return stub_agent.connections


def test_calls_reuse_one_connection() -> None:
    assert asyncio.run(count_connections(calls=5, max_requests=100)) == 1


def test_call_succeeds_after_agent_closed_connection() -> None:
    assert asyncio.run(count_connections(calls=6, max_requests=2)) == 3
