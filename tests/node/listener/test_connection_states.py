"""Connection states when a client disconnects, half-closes or reads slowly."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.listener.flow_control import LINGER_S, MAX_LINGER_S, WRITE_STALL_TIMEOUT_S
from tests.support.loopback import BlockedServer, StubServer, loopback_node, request, wait_until
from tests.support.raw_clients import (
    DISCONNECTS,
    RESPONSE_BODY,
    Disconnect,
    NullSource,
    connect,
    half_close,
    read_until_close,
    start_slow_reader,
)

# ----------------------------------------------------------------------- disconnects


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("pending", ["nothing", "second request", "long body"])
def test_disconnect_is_detected_before_the_loop_delivers_it(disconnect: Disconnect, pending: str):
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = connect(node)
            if pending == "long body":  # the server reads none of it
                client.sendall(request("post", "q1", bytes(4 * HIGH_WATER_BYTES))[: -2 * HIGH_WATER_BYTES])
            else:
                client.sendall(request(name="q1"))
            await wait_until(lambda: node.request_registry.active)
            (active,) = node.request_registry.active.values()
            if pending == "second request":
                client.sendall(request(name="q2") + b"GET /half")
                await wait_until(lambda: not active.inbound.connection._transport.is_reading())
                client.sendall(b"unread")
            assert not active.inbound.connection.disconnected
            disconnect(client)
            assert active.inbound.connection.disconnected
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_disconnect_is_detected_while_reading_is_paused(disconnect: Disconnect):
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = connect(node)
            client.sendall(request(name="q1") + request(name="q2"))
            await wait_until(lambda: server.seen)
            (active,) = node.request_registry.active.values()
            assert not active.inbound.connection._transport.is_reading()
            client.sendall(request(name="q3"))
            disconnect(client)
            active.inbound.connection.sweep(node.loop.time())
            await wait_until(lambda: not node.listener.connections)
            assert (
                node.event_counts["client disconnects"],
                node.request_registry.unanswered,
                node.event_counts["requests"],
            ) == (
                1,
                0,
                1,
            )
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_disconnects_during_shutdown_do_not_affect_responses_of_others(disconnect: Disconnect):
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            clients = [connect(node) for _ in range(5)]
            for at, client in enumerate(clients):
                client.sendall(request(name=f"q{at}"))
            await wait_until(lambda: len(server.seen) == len(clients))
            node.listener.drain()
            for client in clients[:-1]:
                disconnect(client)  # the loop doesn't run before the responses
            node.request_registry.fail_all()
            assert clients[-1].recv(12) == b"HTTP/1.1 504"
            assert node.request_registry.unanswered == 0
            # The last client's connection lingers until it has read its response.
            await wait_until(lambda: len(node.listener.connections) == 1)
            for client in clients:
                client.close()

    asyncio.run(main())


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_disconnect_just_before_the_last_response_releases_all_resources(disconnect: Disconnect):
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = connect(node)
            client.sendall(request(name="q1"))
            await wait_until(lambda: server.seen)
            (active,) = node.request_registry.active.values()
            node.listener.drain()
            on_result, disconnected = active.attempts[0]._on_result, []

            def disconnect_first(*args: object) -> None:  # the response has been read, but not yet sent on
                disconnected.append(disconnect(client))
                on_result(*args)

            active.attempts[0]._on_result = disconnect_first
            server.release.set()
            await wait_until(lambda: disconnected)
            assert not node.request_registry.active
            assert node.driver.balancer.endpoints["s0"].in_flight == 0.0
            assert node.pool.connection_count == 1
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize("first", ["complete response", "streamed response"])
@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_queued_requests_are_not_started_after_their_client_disconnected(disconnect: Disconnect, first: str):
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = connect(node)
            client.sendall(b"".join(request(name=f"q{at}") for at in range(50)))
            await wait_until(lambda: server.seen)
            (active,) = node.request_registry.active.values()
            body = Body(NullSource())
            if first == "streamed response":
                node.request_registry.begin_stream(active, len(RESPONSE_BODY), body)
                body.feed(RESPONSE_BODY[:-1])
            disconnect(client)  # while most of its requests are still unread
            if first == "streamed response":
                body.feed(RESPONSE_BODY[-1:])
                body.end()
            else:
                node.request_registry.respond(active, 200, b"done")
            await wait_until(lambda: not node.listener.connections)
            assert node.event_counts["requests"] == 1
            if disconnect is half_close:
                assert (await read_until_close(client)).count(b"HTTP/1.1 400 ") == 1
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, 50])
@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_requests_are_not_started_if_client_disconnects_in_same_loop_iteration(
    disconnect: Disconnect, count: int
):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = connect(node)
            await wait_until(lambda: node.listener.connections)
            client.sendall(b"".join(request(name=f"q{at}") for at in range(count)))
            disconnect(client)
            if disconnect is half_close:
                assert (await read_until_close(client)).startswith(b"HTTP/1.1 400 ")
            await wait_until(lambda: not node.listener.connections and not node.request_registry.active)
            assert node.metrics.attempts_sent == server.connections == 0
            assert node.event_counts["requests"] <= 1

    asyncio.run(main())


def test_readiness_check_with_half_close_gets_200():
    async def main():
        async with loopback_node(StubServer()) as node:
            client = connect(node)
            client.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            half_close(client)
            assert (await read_until_close(client)).startswith(b"HTTP/1.1 200 ")

    asyncio.run(main())


@pytest.mark.parametrize("sent", [request("post", "q1", b"body")[:-1], request(name="q1")[:-1], b"G"])
def test_half_close_within_a_request_gets_400_and_starts_nothing(sent: bytes):
    async def main():
        async with loopback_node(StubServer()) as node:
            client = connect(node)
            client.sendall(sent)
            half_close(client)
            assert (await read_until_close(client)).startswith(b"HTTP/1.1 400 ")
            assert node.event_counts["requests"] == 0

    asyncio.run(main())


def test_half_close_after_a_request_ends_it_at_once_with_400():
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = connect(node)
            client.sendall(request(name="q1"))
            await wait_until(lambda: server.seen)
            (active,) = node.request_registry.active.values()
            half_close(client)
            active.inbound.connection.eof_received()  # as the loop will call it
            assert (active.answered, node.event_counts["client disconnects"]) == (True, 1)
            assert (await read_until_close(client)).startswith(b"HTTP/1.1 400 ")
            await wait_until(lambda: not node.listener.connections)

    asyncio.run(main())


def test_half_close_ends_a_request_while_the_previous_response_is_unsent():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client, _ = await start_slow_reader(node, server)
            blocking = BlockedServer()
            server.script = blocking.script
            client.sendall(request(name="q2"))
            await wait_until(lambda: len(server.seen) == 2)
            half_close(client)
            await wait_until(lambda: node.event_counts["client disconnects"])
            assert b"HTTP/1.1 400 " in (await read_until_close(client)).partition(RESPONSE_BODY)[2]

    asyncio.run(main())


def test_half_close_during_a_streamed_response_does_not_truncate_it():
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = connect(node)
            client.sendall(request(name="q1"))
            await wait_until(lambda: server.seen)
            (active,) = node.request_registry.active.values()
            body = Body(NullSource())
            node.request_registry.begin_stream(active, len(RESPONSE_BODY), body)
            body.feed(RESPONSE_BODY[:1000])
            eof_calls, eof_received = [], active.inbound.connection.eof_received
            active.inbound.connection.eof_received = lambda: eof_calls.append(True) or eof_received()
            half_close(client)
            await wait_until(lambda: eof_calls)
            body.feed(RESPONSE_BODY[1000:])
            body.end()
            assert (await read_until_close(client)).endswith(RESPONSE_BODY)
            await wait_until(lambda: not node.listener.connections)
            assert not node.request_registry.streaming

    asyncio.run(main())


# ------------------------------------------------------------------ slow readers


def test_connection_is_not_idle_until_its_response_is_sent():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client, connection = await start_slow_reader(node, server)
            assert not connection.idle
            assert not connection.close_if_idle()
            node.listener.drain(close_idle_after_s=0.0)  # closes idle connections from now on, every 10 ms
            assert (await read_until_close(client)).endswith(RESPONSE_BODY)

    asyncio.run(main())


def test_last_response_is_not_dropped_while_its_client_reads():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client, connection = await start_slow_reader(node, server, Connection="close")
            connection.sweep(node.loop.time() + MAX_LINGER_S)  # would close it if the response had been sent
            response = await read_until_close(client, close=False)
            assert response.endswith(RESPONSE_BODY)
            assert node.listener.connections  # lingering
            connection.sweep(node.loop.time() + LINGER_S)
            await wait_until(lambda: not node.listener.connections)
            client.close()

    asyncio.run(main())


@pytest.mark.parametrize("headers", [{}, {"Connection": "close"}])
def test_client_that_stops_reading_its_response_is_disconnected(headers):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client, connection = await start_slow_reader(node, server, **headers)
            now = node.loop.time() + 1.0
            connection.sweep(now)
            unsent = connection._transport.get_write_buffer_size()
            while connection._transport.get_write_buffer_size() == unsent:
                client.recv(4096)
                await asyncio.sleep(0)
            connection.sweep(now + WRITE_STALL_TIMEOUT_S)  # the client has read in the meantime
            connection.sweep(now + 2 * WRITE_STALL_TIMEOUT_S - 0.1)
            await asyncio.sleep(0)
            assert node.listener.connections
            connection.sweep(now + 2 * WRITE_STALL_TIMEOUT_S)
            await wait_until(lambda: not node.listener.connections)
            client.close()

    asyncio.run(main())
