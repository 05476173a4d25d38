"""Closing client connections: data behind the last response, and races with the close of an idle one."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest

from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.http.socket_buffer import readable
from loadbalancer.node.listener import connection_states as connection_states_module
from loadbalancer.node.node import Node
from tests.support.loopback import (
    BlockedServer,
    Client,
    StubServer,
    exchange,
    loopback_node,
    request,
    wait_until,
)
from tests.support.raw_clients import (
    MIB,
    RESPONSE_BODY,
    DiscardingSink,
    NullSource,
    connect,
    half_close,
    read_until_close,
    reset,
    run_loop,
    start_slow_reader,
)

# --------------------------------------------------------------- the last response


async def send_last_request(
    node: Node, server: BlockedServer, end: str, sent: bytes, **headers: str
) -> socket.socket:
    """Return a client whose response will be the connection's last; `sent` follows its request."""
    client = connect(node)
    client.sendall(request(name="q1", **headers) + sent)
    await wait_until(lambda: server.seen)
    if end == "drain":
        node.listener.drain()
    return client


@pytest.mark.parametrize("partial", [b"G", request(name="q2")[:-1], request("post", "q2", b"body")[:-1]])
def test_partial_request_read_behind_last_response_is_completed_and_served(partial: bytes):
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = await send_last_request(node, server, "drain", partial)
            server.release.set()
            client.setblocking(False)
            stream = Client(*await asyncio.open_connection(sock=client))
            first = await stream.read_response()
            assert (first.status, first.headers.get("connection")) == (200, None)
            complete = request("post", "q2", b"body") if partial.startswith(b"P") else request(name="q2")
            stream.writer.write(complete[len(partial) :])
            second = await stream.read_response()
            assert (second.status, second.headers["connection"]) == (200, "close")
            assert await stream.reader.read() == b""
            assert [message.headers["req-id"] for message in server.seen] == ["q1", "q2"]
            stream.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, 3])
def test_requests_read_behind_last_response_are_served_and_last_one_closes(count: int):
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            behind = b"".join(request(name=f"q{2 + at}") for at in range(count))
            client = await send_last_request(node, server, "drain", behind)
            server.release.set()
            responses = await read_until_close(client)
            assert responses.count(b"HTTP/1.1 200 ") == count + 1
            assert responses.count(b"Connection: close") == 1
            assert responses.rpartition(b"HTTP/1.1 200 ")[2].count(b"Connection: close") == 1

    asyncio.run(main())


@pytest.mark.parametrize("end", ["drain", "connection header"])
@pytest.mark.parametrize("late", [request(name="q2"), request(name="q2")[:9]])
def test_data_after_last_response_is_not_served_and_does_not_reset_it(end: str, late: bytes):
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            headers = {"Connection": "close"} if end == "connection header" else {}
            client = await send_last_request(node, server, end, b"", **headers)
            (active,) = node.request_registry.active.values()
            node.request_registry.respond(active, 200, RESPONSE_BODY)
            client.sendall(late)  # races with the shutdown of the sending side
            assert (await read_until_close(client)).endswith(RESPONSE_BODY)
            assert node.event_counts["requests"] == len(server.seen) == 1

    asyncio.run(main())


def test_request_read_behind_connection_close_is_not_served():
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = await send_last_request(
                node, server, "connection header", request(name="q2"), Connection="close"
            )
            server.release.set()
            responses = await read_until_close(client)
            assert responses.count(b"HTTP/1.1 ") == responses.count(b"HTTP/1.1 200 ") == 1
            assert node.event_counts["requests"] == 1

    asyncio.run(main())


def test_failed_stream_without_length_ends_in_reset():
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = connect(node)
            client.sendall(request(name="q1").replace(b"HTTP/1.1", b"HTTP/1.0"))
            await wait_until(lambda: server.seen)
            (active,) = node.request_registry.active.values()
            body = Body(NullSource())
            node.request_registry.begin_stream(active, None, body)
            body.feed(RESPONSE_BODY)
            body.fail()
            with pytest.raises(ConnectionResetError):
                await read_until_close(client)
            assert not node.request_registry.streaming

    asyncio.run(main())


def test_long_body_behind_another_request_pauses_reading_while_not_consumed():
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            opening, loop = asyncio.Event(), asyncio.get_running_loop()

            async def never(_endpoint: object) -> None:
                opening.set()
                await asyncio.Event().wait()

            client = connect(node)
            client.sendall(request(name="q1"))
            await wait_until(lambda: server.seen)
            node.pool.acquire_idle = lambda *_: None  # the idle connection of q1 is not reused
            node.pool.open_connection = never
            (connection,) = node.listener.connections
            client.setblocking(False)
            sending = loop.create_task(loop.sock_sendall(client, request("post", "q2", bytes(16 * MIB))))
            await wait_until(lambda: not connection._transport.is_reading())
            body = connection._parser.request.body
            server.release.set()
            await opening.wait()
            await run_loop()
            assert not connection._transport.is_reading()
            assert body.size < 8 * HIGH_WATER_BYTES
            sending.cancel()
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize("at_once", [True, False])
def test_unread_responses_delay_further_requests_of_the_client(at_once: bool):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client, connection = await start_slow_reader(node, server)
            node.listener.on_request = lambda inbound: inbound.respond(200, RESPONSE_BODY)  # without a server
            further = [request(name=f"q{2 + at}") for at in range(40)]
            for data in [b"".join(further)] if at_once else further:
                client.sendall(data)
                await run_loop(20)
            await run_loop()
            assert connection._transport.get_write_buffer_size() < 3 * HIGH_WATER_BYTES
            node.listener.expire(node.loop.time() + 60.0)  # delayed requests are not overdue
            assert node.listener.expired == 0
            assert (await read_until_close(client, responses=41)).count(b"HTTP/1.1 200 ") == 41
            await wait_until(lambda: connection.idle)

    asyncio.run(main())


# ------------------------------------------------- races with the close of an idle connection

ClientAction = Callable[[socket.socket], None]
CloseAction = Callable[[Node], None]
CLIENT_ACTIONS: dict[str, ClientAction] = {
    "request": lambda client: client.sendall(request(name="q2")),
    "partial request": lambda client: client.sendall(request(name="q2")[:9]),
    "line end": lambda client: client.sendall(b"\r\n"),
    "half-close": half_close,
    "reset": reset,
    "nothing": lambda client: None,
}
CLOSE_ACTIONS: dict[str, CloseAction] = {
    "drain": lambda node: node.listener._close_idle(0.0),
    "standby": lambda node: node.standby() and node.listener._close_idle(0.0),
    "overdue": lambda node: node.listener.expire(node.loop.time() + 60.0),
    "capacity": lambda node: [c for c in node.listener.connections if c.close_if_idle()],
}


async def connect_idle(node: Node, used: bool) -> socket.socket:
    """Return a client between requests if `used`, else one that has sent none."""
    client = connect(node)
    await wait_until(lambda: node.listener.connections)
    if used:
        client.sendall(request(name="q1"))
        await wait_until(lambda: node.event_counts["responses 200"])
        client.recv(65_536)
    return client


async def retry_status(node: Node) -> int:
    """Return the response status of a retry on a new connection."""
    return (await exchange(node, request(name="q2"))).status


@pytest.mark.parametrize("used", [True, False])
@pytest.mark.parametrize("action", CLIENT_ACTIONS)
@pytest.mark.parametrize("close", CLOSE_ACTIONS)
def test_request_that_arrives_just_before_idle_close_is_served(close: str, action: str, used: bool):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = await connect_idle(node, used)
            (connection,) = node.listener.connections
            CLIENT_ACTIONS[action](client)  # in the kernel only: the loop doesn't run before the close
            CLOSE_ACTIONS[close](node)
            if "request" in action:
                if action == "partial request":
                    await wait_until(lambda: connection._parser.request)
                    CLOSE_ACTIONS["drain"](node)
                    client.sendall(request(name="q2")[9:])
                await wait_until(lambda: node.event_counts["responses 200"] == 1 + used)
                assert client.recv(12) == b"HTTP/1.1 200"
            elif action != "reset":
                if used and close == "overdue" and action != "half-close":
                    assert connection.idle  # a client between requests is never overdue
                    client.close()
                await wait_until(lambda: CLOSE_ACTIONS["drain"](node) or not node.listener.connections)
                if client.fileno() >= 0:
                    assert client.recv(12) == b""
            client.close()
            await wait_until(lambda: not node.listener.connections)
            assert node.event_counts["requests"] == used + ("request" in action)

    asyncio.run(main())


@pytest.mark.parametrize("used", [True, False])
@pytest.mark.parametrize("action", CLIENT_ACTIONS)
@pytest.mark.parametrize("close", CLOSE_ACTIONS)
def test_data_that_arrives_after_the_check_of_an_idle_close_is_not_read(
    close: str, action: str, used: bool, monkeypatch: pytest.MonkeyPatch
):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = await connect_idle(node, used)

            def check(transport: asyncio.BaseTransport) -> bool:
                result = readable(transport)
                CLIENT_ACTIONS[action](client)
                return result

            with monkeypatch.context() as patch:
                patch.setattr(connection_states_module, "readable", check)
                CLOSE_ACTIONS[close](node)
            if used and close == "overdue":
                assert node.listener.connections  # not checked at all
                client.close()
            await wait_until(lambda: not node.listener.connections)
            if client.fileno() >= 0:
                with contextlib.suppress(ConnectionResetError):
                    assert client.recv(12) == b""  # so the client retries
            assert node.event_counts["requests"] == used
            assert await retry_status(node) == 200
            assert len(server.seen) == 1 + used
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize("reason", ["client disconnects", "last response"])
@pytest.mark.parametrize("headers", [{}, {"Expect": "100-continue"}])
def test_requests_behind_one_that_ends_the_connection_are_not_served(
    reason: str, headers: dict[str, str], caplog: pytest.LogCaptureFixture
):
    """The later requests arrive in the same segment as the last byte of a long request."""

    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            served = []
            node.listener.on_request = served.append
            long = request("post", "q1", bytes(2 * HIGH_WATER_BYTES))
            client = connect(node)
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(client, long[:-1])
            await wait_until(lambda: served)
            (inbound,) = served
            inbound.body.attach(DiscardingSink())
            connection = inbound.connection
            await wait_until(lambda: inbound.body.size == 2 * HIGH_WATER_BYTES - 1)
            disconnects = reason == "client disconnects"
            inbound.on_received = (
                connection.close_if_disconnected if disconnects else lambda: inbound.respond(503)
            )
            node.listener.draining = True
            behind = request(name="q2", **headers) + request(name="q3")
            await loop.sock_sendall(client, long[-1:] + behind)
            if disconnects:
                half_close(client)
            responses = await read_until_close(client)
            assert responses.startswith(b"HTTP/1.1 400 " if disconnects else b"HTTP/1.1 503 ")
            assert responses.count(b"HTTP/1.1 ") == 1
            assert served == [inbound]
            assert not caplog.records

    asyncio.run(main())
