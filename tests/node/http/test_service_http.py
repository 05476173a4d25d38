"""The client that keeps its connections (service_http.py): which are used again, and which never."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.node.http.service_http import HttpClient
from tests.support.loopback import Message, StubServer, http_response, wait_until


async def _echo(message: Message) -> bytes:
    return http_response(200, message.start_line[1].encode())


async def _ask(client: HttpClient, peer: StubServer, target: str, timeout_s: float = 5.0) -> str:
    return (await client.send(("127.0.0.1", peer.port), "GET", target, timeout_s=timeout_s)).body.decode()


def test_a_connection_is_used_again_and_a_new_one_made_where_the_other_side_has_closed() -> None:
    async def run() -> None:
        closing = False

        async def script(message: Message) -> bytes | None:
            return None if closing else await _echo(message)

        peer, client = await StubServer(script).start(), HttpClient()
        assert [await _ask(client, peer, f"/{at}") for at in range(3)] == ["/0", "/1", "/2"]
        assert peer.connections == 1
        closing = True  # the kept one ends unanswered, so the call is said on a new one, which ends as well
        with pytest.raises(ConnectionError):
            await _ask(client, peer, "/3")
        assert [message.start_line[1] for message in peer.seen[3:]] == ["/3", "/3"]
        closing = False
        assert await _ask(client, peer, "/4") == "/4"
        peer.stop()
        await wait_until(lambda: not client._idle)  # closed by the other side while idle: not held on to
        with pytest.raises(ConnectionRefusedError):
            await _ask(client, peer, "/5")

    asyncio.run(run())


def test_an_answer_that_comes_after_its_call_was_given_up_is_nobody_elses() -> None:
    async def run() -> None:
        late = asyncio.Event()

        async def script(message: Message) -> bytes:
            if message.start_line[1] == "/slow":
                await late.wait()
            return await _echo(message)

        peer, client = await StubServer(script).start(), HttpClient()
        assert await _ask(client, peer, "/0") == "/0"
        with pytest.raises(TimeoutError):
            await _ask(client, peer, "/slow", timeout_s=0.05)
        late.set()
        assert [await _ask(client, peer, f"/{at}") for at in range(3)] == ["/0", "/1", "/2"]
        assert peer.connections == 2
        peer.stop()

    asyncio.run(run())


def test_idle_connections_are_bounded_in_number_and_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        peer, client = await StubServer(_echo).start(), HttpClient(max_idle=2)
        await asyncio.gather(*(_ask(client, peer, f"/{at}") for at in range(5)))
        assert peer.connections == 5
        assert len(client._idle) == 2
        monkeypatch.setattr(HttpClient, "IDLE_TIMEOUT_S", 0.0)
        await _ask(client, peer, "/5")
        assert len(client._idle) == 1  # the one just used: the other has been idle for too long
        client.close()
        assert not client._idle
        assert not client._by_address
        peer.stop()

    asyncio.run(run())
