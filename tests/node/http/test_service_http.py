"""`HttpClient` of service_http.py: which connections it reuses and which it closes."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.node.http.service_http import HttpClient
from tests.support.loopback import Message, StubServer, http_response, wait_until


async def _echo(message: Message) -> bytes:
    return http_response(200, message.start_line[1].encode())


async def _get(client: HttpClient, server: StubServer, target: str, timeout_s: float = 5.0) -> str:
    return (await client.send(("127.0.0.1", server.port), "GET", target, timeout_s=timeout_s)).body.decode()


def test_client_reuses_connection_and_opens_new_one_if_server_closed_it() -> None:
    async def run() -> None:
        server_closes = False

        async def script(message: Message) -> bytes | None:
            return None if server_closes else await _echo(message)

        server, client = await StubServer(script).start(), HttpClient()
        assert [await _get(client, server, f"/{at}") for at in range(3)] == ["/0", "/1", "/2"]
        assert server.connections == 1
        server_closes = True  # the idle connection closes without a response, and so does the new one
        with pytest.raises(ConnectionError):
            await _get(client, server, "/3")
        assert [message.start_line[1] for message in server.seen[3:]] == ["/3", "/3"]
        server_closes = False
        assert await _get(client, server, "/4") == "/4"
        server.stop()
        await wait_until(lambda: not client._idle)  # an idle connection that the server closes is dropped
        with pytest.raises(ConnectionRefusedError):
            await _get(client, server, "/5")

    asyncio.run(run())


def test_late_response_of_timed_out_request_reaches_no_other_request() -> None:
    async def run() -> None:
        responding = asyncio.Event()

        async def script(message: Message) -> bytes:
            if message.start_line[1] == "/slow":
                await responding.wait()
            return await _echo(message)

        server, client = await StubServer(script).start(), HttpClient()
        assert await _get(client, server, "/0") == "/0"
        with pytest.raises(TimeoutError):
            await _get(client, server, "/slow", timeout_s=0.05)
        responding.set()
        assert [await _get(client, server, f"/{at}") for at in range(3)] == ["/0", "/1", "/2"]
        assert server.connections == 2
        server.stop()

    asyncio.run(run())


def test_client_limits_number_and_age_of_idle_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        server, client = await StubServer(_echo).start(), HttpClient(max_idle=2)
        await asyncio.gather(*(_get(client, server, f"/{at}") for at in range(5)))
        assert server.connections == 5
        assert len(client._idle) == 2
        monkeypatch.setattr(HttpClient, "IDLE_TIMEOUT_S", 0.0)
        await _get(client, server, "/5")
        assert len(client._idle) == 1  # the one just used; the other exceeded the idle timeout
        client.close()
        assert not client._idle
        assert not client._by_address
        server.stop()

    asyncio.run(run())
