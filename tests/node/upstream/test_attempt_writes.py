"""When an attempt must not be written: each reason occurs just before the first byte would be written."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
import struct
from collections.abc import Callable

import pytest

from loadbalancer.balancing.actions import Send
from loadbalancer.balancing.events import AttemptOutcome, Request
from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.http.client_connection import ClientConnection
from loadbalancer.node.node import Node
from loadbalancer.node.upstream.attempt import Attempt
from loadbalancer.node.upstream.pool import ConnectionPool
from tests.support.loopback import (
    BlockedServer,
    Client,
    ScriptedBalancer,
    StubServer,
    exchange,
    http_response,
    loopback_node,
    request,
    wait_until,
)

REQUEST = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"
DISCONNECTS = ("closes", "resets", "half-closes")
WITH_AND_WITHOUT_CANCEL = pytest.mark.parametrize("cancel", [True, False])


class DisconnectingClient:
    """A client on a plain socket; its actions reach the node's kernel before the node's loop runs again."""

    def __init__(self, node: Node, data: bytes, how: str = "closes") -> None:
        self._how = how
        self._socket = socket.create_connection(node.listener.address)
        self._socket.sendall(data)

    def disconnect(self) -> None:
        if self._how == "half-closes":
            self._socket.shutdown(socket.SHUT_WR)
            return
        if self._how == "resets":
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._socket.close()

    def close(self) -> None:
        self._socket.close()


class LateConnections:
    """Delays the pool's new connections until `release` is set; calls `just_before` as each one continues."""

    def __init__(self, node: Node, just_before: Callable[[], None] = lambda: None) -> None:
        self.opened = 0
        self.release = asyncio.Event()
        open_connection = node.pool.open_connection

        async def open_late(endpoint):
            connection = await open_connection(endpoint)
            self.opened += 1
            if not self.release.is_set():
                await self.release.wait()
                just_before()
            return connection

        node.pool.open_connection = open_late


async def wait_until_idle(node: Node) -> None:
    """Wait until no request is active and all client connections are closed; check that counters are 0."""
    await wait_until(lambda: not node.request_registry.active and not node.listener.connections)
    assert node.request_registry.unanswered == 0
    assert sum(endpoint.in_flight for endpoint in node.driver.balancer.endpoints.values()) == 0.0


class ShiftedClock:
    """Shifts the event loop's clock forward; must be created before the node."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._time, self.offset_s = loop.time, 0.0
        loop.time = lambda: self._time() + self.offset_s  # type: ignore[method-assign]

    def advance_to(self, offset_s: float) -> None:
        self.offset_s = offset_s


def bounds(cancel: bool) -> dict[str, bool]:
    return {"cancel": cancel}


@WITH_AND_WITHOUT_CANCEL
@pytest.mark.parametrize("how", DISCONNECTS)
def test_request_is_not_sent_if_client_disconnected_before_it_was_read(how, cancel, monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        async with loopback_node(StubServer(), bounds=bounds(cancel)) as node:
            assert (await exchange(node, request(name="q0"))).status == 200  # leaves an idle connection
            client = DisconnectingClient(node, request(), how)
            client.disconnect()  # request and disconnect precede the accept
            await wait_until(lambda: node.event_counts["client disconnects"])
            await wait_until_idle(node)
            assert node.metrics.attempts_sent == 1
            client.close()

    asyncio.run(main())


@WITH_AND_WITHOUT_CANCEL
@pytest.mark.parametrize("delivered", [True, False])
@pytest.mark.parametrize("how", DISCONNECTS)
def test_request_is_not_sent_if_client_disconnects_while_connecting(how, delivered, cancel):
    async def main():
        async with loopback_node(StubServer(), bounds=bounds(cancel)) as node:
            client = DisconnectingClient(node, request(), how)
            late = LateConnections(node, (lambda: None) if delivered else client.disconnect)
            await wait_until(lambda: late.opened)
            if delivered:
                client.disconnect()
                await wait_until(lambda: node.event_counts["client disconnects"])
            late.release.set()
            await wait_until_idle(node)
            assert (
                node.metrics.attempts_sent,
                node.event_counts["client disconnects"],
                node.event_counts["moot"],
            ) == (
                0,
                1,
                1,
            )
            assert (await exchange(node, request(name="q2"))).status == 200
            client.close()

    asyncio.run(main())


@WITH_AND_WITHOUT_CANCEL
@pytest.mark.parametrize("how", DISCONNECTS)
def test_request_is_not_retried_if_client_disconnects_between_attempts(how, cancel):
    async def main():
        async def script(message):
            return http_response(503, Srv_Declined="1")

        async with loopback_node(StubServer(script), StubServer(script), bounds=bounds(cancel)) as node:
            balancer = node.driver.balancer
            client = DisconnectingClient(node, request(), how)

            def act(event):
                if isinstance(event, AttemptOutcome) and event.result is AttemptResult.REJECTED:
                    client.disconnect()  # in the loop iteration that chooses the next attempt
                return balancer.handle(node.clock.unix_ms(), event)

            node.driver.balancer = ScriptedBalancer(act)
            await wait_until(lambda: node.event_counts["client disconnects"])
            node.driver.balancer = balancer
            await wait_until_idle(node)
            assert (node.metrics.attempts_sent, node.event_counts["full"], node.event_counts["error"]) == (
                1,
                1,
                0,
            )
            client.close()

    asyncio.run(main())


@WITH_AND_WITHOUT_CANCEL
@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("size", [HIGH_WATER_BYTES, HIGH_WATER_BYTES + 8192])
def test_long_request_is_not_sent_if_client_disconnects_while_paused(size, how, cancel):
    async def main():
        server = StubServer()
        async with loopback_node(server, bounds=bounds(cancel)) as node:
            data = request("post", "q1", bytes(8 * HIGH_WATER_BYTES))
            late = LateConnections(node)
            client = DisconnectingClient(node, data[: len(data) - 8 * HIGH_WATER_BYTES + size], how)
            await wait_until(lambda: late.opened)
            (connection,) = node.listener.connections
            assert connection._read_control.body_paused  # so the loop delivers no disconnect
            client.disconnect()
            late.release.set()
            await wait_until_idle(node)
            assert (
                node.metrics.attempts_sent,
                node.event_counts["client disconnects"],
                node.event_counts["moot"],
            ) == (
                0,
                1,
                1,
            )
            assert server.seen == []
            client.close()

    asyncio.run(main())


@WITH_AND_WITHOUT_CANCEL
def test_nothing_is_sent_for_a_burst_of_disconnected_clients(cancel):
    async def main():
        async with loopback_node(StubServer(), StubServer(), bounds=bounds(cancel)) as node:
            clients = [
                DisconnectingClient(node, request(name=f"q{at}"), DISCONNECTS[at % 3]) for at in range(24)
            ]

            def disconnect_all():
                while clients:
                    clients.pop().disconnect()

            late = LateConnections(node, disconnect_all)
            await wait_until(lambda: late.opened + node.event_counts["responses 503"] == 24)
            late.release.set()
            await wait_until(lambda: not node.request_registry.active)
            assert node.metrics.attempts_sent == 0
            assert late.opened > 1

    asyncio.run(main())


def test_connecting_hedged_request_is_not_written_after_the_response():
    async def main():
        async with loopback_node(StubServer(), StubServer(), bounds=bounds(False)) as node:
            assert (await exchange(node, request(name="q0"))).status == 200

            def act(event):
                both = [Send("q1", "s0"), Send("q1", "s1")]
                return both if isinstance(event, Request) else []

            node.driver.balancer = scripted = ScriptedBalancer(act)
            open_connection, up = node.pool.open_connection, asyncio.Event()
            addresses = {server: address for server, (_, address) in node.endpoint_list.endpoints.items()}

            async def late(endpoint):
                if endpoint == addresses["s0"]:
                    await up.wait()
                return await open_connection(endpoint)

            node.pool.open_connection = late
            assert (await exchange(node, request())).status == 200
            up.set()
            await wait_until(lambda: not node.request_registry.active)
            assert node.metrics.attempts_sent == 2
            results = {event.attempt: event.result for event in scripted.events_of(AttemptOutcome)}
            assert results == {0: AttemptResult.ABANDONED, 1: AttemptResult.OK}

    asyncio.run(main())


def test_written_attempt_continues_if_cancelling_is_disabled():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, bounds=bounds(False)) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            await wait_until(lambda: server.seen)
            client.writer.close()
            await wait_until(lambda: node.event_counts["client disconnects"])
            assert node.request_registry.active
            server.release.set()
            await wait_until_idle(node)
            assert node.event_counts["ok"] == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    ("elapsed_s", "connects", "status", "written"),
    [(8.5, True, 200, 2), (9.0, True, 502, 1), (9.0, False, 502, 1)],
)
def test_retry_is_not_written_after_its_idempotency_key_may_expire(elapsed_s, connects, status, written):
    async def main():
        clock, release = ShiftedClock(), asyncio.Event()

        async def script(message):
            await release.wait()
            return (
                None if node.metrics.attempts_sent < 2 else http_response()
            )  # the first may have been executed

        async with loopback_node(StubServer(script), StubServer(script)) as node:
            client = await Client.connect(node)
            client.writer.write(request("move", "q1", Idempotency_Key="k"))
            await wait_until(lambda: node.metrics.attempts_sent)
            late = LateConnections(node, lambda: clock.advance_to(elapsed_s))
            release.set()
            await wait_until(lambda: late.opened)
            if connects:
                late.release.set()
            else:
                clock.advance_to(elapsed_s)
            assert (await client.read_response()).status == status
            assert node.metrics.attempts_sent == written
            client.writer.close()

    asyncio.run(main())


def test_retry_ends_if_its_last_byte_is_not_written_in_time():
    class Source:
        def pause(self) -> None: ...
        def resume(self) -> None: ...
        def abandon(self) -> None: ...

    async def main():
        clock, loop, body = ShiftedClock(), asyncio.get_running_loop(), Body(Source())
        server, pool = await StubServer().start(), ConnectionPool(10, 10.0, 20.0)
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        results: asyncio.Queue[AttemptResult] = asyncio.Queue()
        body.feed(b"half of it")
        head = b"POST /move/1 HTTP/1.1\r\nReq-Id: q\r\nContent-Length: 20\r\n\r\n"
        pool.start_attempt(
            "s", lambda wait: head, 20.0, lambda result, _: results.put_nowait(result), body,
            written_by=loop.time() + 9.0,
        )  # fmt: skip
        await wait_until(lambda: server.connections)
        clock.advance_to(9.0)
        await wait_until(lambda: not results.empty())
        assert results.get_nowait() is AttemptResult.CONNECT_FAILED
        body.feed(b"other half")
        body.end()
        await wait_until(lambda: not pool.connection_count)
        assert (server.seen, results.empty()) == ([], True)
        pool.close()
        server.stop()

    asyncio.run(main())


EVENTS: dict[str, Callable[[ConnectionPool, Attempt, ShiftedClock], None]] = {
    "endpoint removed": lambda pool, attempt, clock: pool.remove_endpoint("s"),
    "endpoint address changed": lambda pool, attempt, clock: pool.set_endpoint("s", ("127.0.0.1", 1)),
    "server restarted": lambda pool, attempt, clock: pool.set_endpoint(
        "s", pool._endpoints["s"].address, 5.0
    ),
    "attempt cancelled": lambda pool, attempt, clock: attempt.cancel(),
    "attempt withdrawn": lambda pool, attempt, clock: attempt.withdraw(),
    "deadline passed": lambda pool, attempt, clock: clock.advance_to(5.0),
}


@pytest.mark.parametrize("when", ["connection made", "connection open", "attempt notified"])
@pytest.mark.parametrize("event", EVENTS)
def test_event_in_the_iteration_that_opens_a_connection_prevents_the_write(event, when, monkeypatch):
    async def main():
        clock, loop = ShiftedClock(), asyncio.get_running_loop()
        server, pool = await StubServer().start(), ConnectionPool(10, 10.0, 20.0)
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        results: asyncio.Queue[AttemptResult] = asyncio.Queue()
        attempt = pool.start_attempt(
            "s", lambda wait: REQUEST, 5.0, lambda result, _: results.put_nowait(result)
        )
        assert attempt is not None
        made, open_connection = ClientConnection.connection_made, pool.open_connection
        occurred = []

        def occur() -> None:
            occurred.append(event)
            EVENTS[event](pool, attempt, clock)

        def connection_made(self, transport):
            made(self, transport)
            if when == "connection made":
                occur()
            elif when == "connection open":
                loop.call_soon(occur)  # after the future is resolved, before the awaiting task continues

        async def open_(endpoint):
            connection = await open_connection(endpoint)
            if when == "attempt notified":
                occur()
            return connection

        monkeypatch.setattr(ClientConnection, "connection_made", connection_made)
        monkeypatch.setattr(pool, "open_connection", open_)
        expected = {"attempt cancelled": {"cancelled"}, "deadline passed": {"moot", "connect_failed"}}
        await wait_until(lambda: not results.empty())
        assert results.get_nowait().value in expected.get(event, {"connect_failed"})
        pool.disable_keep_alive()
        await wait_until(lambda: not pool.connection_count)
        await wait_until(lambda: server.connections)  # already in the kernel; accepted later
        await wait_until(lambda: not any(writer.transport.is_reading() for writer in server._writers))
        assert (server.connections, occurred, server.seen) == (1, [event], [])
        assert results.empty()
        pool.close()
        server.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    "fault", [RuntimeError("x"), OverflowError("port"), UnicodeError("host"), TimeoutError()]
)
def test_any_connect_error_ends_the_attempt_as_connect_failed(fault):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            open_connection = node.pool.open_connection

            async def failing(endpoint):
                node.pool.open_connection = open_connection
                raise fault

            node.pool.open_connection = failing
            async with asyncio.timeout(15):  # the client timeout is 30 s
                assert (await exchange(node, request("post", "q1"))).status == 503
            assert node.event_counts["connect_failed"] == 1
            assert (await exchange(node, request("post", "q2"))).status == 200

    asyncio.run(main())


@pytest.mark.parametrize("action", ["closes", "resets", "sends"])
def test_new_connection_with_immediate_server_action_is_not_written_to(action):
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            pool, accepted = ConnectionPool(10, 10.0, 20.0), []
            pool.set_endpoint("s", listener.getsockname())
            open_connection, results = pool.open_connection, asyncio.Queue[AttemptResult]()

            async def open_and_act(endpoint):
                connection = await open_connection(endpoint)
                accepted.append(listener.accept()[0])
                if action == "resets":
                    accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                accepted[0].sendall(b"HTTP/1.1 400 x\r\n") if action == "sends" else accepted[0].close()
                return connection

            pool.open_connection = open_and_act  # type: ignore[method-assign]
            pool.start_attempt("s", lambda wait: REQUEST, 5.0, lambda result, _: results.put_nowait(result))
            await wait_until(lambda: not results.empty())
            assert results.get_nowait() is AttemptResult.CONNECT_FAILED
            await wait_until(lambda: not pool.connection_count)
            pool.close()
            accepted[0].close()

    asyncio.run(main())


def test_request_without_free_descriptors_gets_503_and_later_ones_are_served():
    async def main():
        async with loopback_node(StubServer(), StubServer()) as node:
            client = await Client.connect(node)
            limits_before = resource.getrlimit(resource.RLIMIT_NOFILE)
            descriptors: list[int] = []
            resource.setrlimit(resource.RLIMIT_NOFILE, (256, limits_before[1]))
            try:
                with contextlib.suppress(OSError):
                    while True:
                        descriptors.append(os.dup(0))
                assert (await client.exchange(request("post", "q1"))).status == 503
                assert (node.metrics.attempts_sent, node.event_counts["connect_failed"]) == (0, 2)
            finally:
                for descriptor in descriptors:
                    os.close(descriptor)
                resource.setrlimit(resource.RLIMIT_NOFILE, limits_before)
            assert (await client.exchange(request("post", "q2"))).status == 200
            client.writer.close()

    asyncio.run(main())


@WITH_AND_WITHOUT_CANCEL
@pytest.mark.parametrize(
    ("kind", "delivered", "statuses"),
    [("read", True, (503, 200)), ("read", False, (503, 200)), ("post", True, (502, 502)),
     ("post", False, (502, 502)), ("move", True, (502, 502)), ("move", False, (502, 502))],
)  # fmt: skip
def test_repeated_id_after_disconnect_has_no_second_effect(kind, delivered, statuses, cancel):
    """`statuses`: without cancelling, while the first attempt is still in flight; and with cancelling."""

    async def main():
        server = BlockedServer()
        async with loopback_node(server, bounds=bounds(cancel)) as node:
            data = request(kind, "q1", Idempotency_Key="k")
            client = DisconnectingClient(node, data)
            await wait_until(lambda: server.seen)
            second = await Client.connect(node)
            client.disconnect()
            if delivered:
                await wait_until(lambda: node.event_counts["client disconnects"])
            second.writer.write(data)
            server.script = None
            assert (await second.read_response()).status == statuses[cancel]
            server.release.set()
            await wait_until(lambda: not node.request_registry.active)
            assert node.metrics.attempts_sent == 1 + (statuses[cancel] == 200)
            second.writer.close()

    asyncio.run(main())


def test_repeated_id_is_served_if_the_first_request_was_not_written():
    async def main():
        async with loopback_node(StubServer(), bounds=bounds(False)) as node:
            client = DisconnectingClient(node, request("post", "q1"))
            late = LateConnections(node)
            await wait_until(lambda: late.opened)
            client.disconnect()
            late.release.set()
            await wait_until(lambda: node.event_counts["client disconnects"])
            assert (await exchange(node, request("post", "q1"))).status == 200
            assert node.metrics.attempts_sent == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    ("kind", "status", "written"), [("read", 503, 1), ("post", 504, 1), ("move", 504, 1)]
)
def test_request_to_hanging_server_is_not_retried_after_its_latency_objective(kind, status, written):
    async def main():
        clock = ShiftedClock()

        async def script(message):
            if node.metrics.attempts_sent < 2:
                await asyncio.Event().wait()
            return http_response()

        async with loopback_node(StubServer(script), StubServer(script), bounds=bounds(False)) as node:
            client = await Client.connect(node)
            client.writer.write(request(kind, "q1", Idempotency_Key="k"))
            await wait_until(lambda: node.metrics.attempts_sent)
            # Past the latency objective, after which a response has no value, and past the retry window.
            clock.advance_to(19.7)
            assert (await client.read_response()).status == status
            assert node.metrics.attempts_sent == written
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("method", ["cancel", "withdraw"])
def test_attempt_without_pool_capacity_has_one_result(method):
    async def main():
        pool, results = ConnectionPool(0, 10.0, 20.0), []
        pool.set_endpoint("s", ("127.0.0.1", 1))
        attempt = pool.start_attempt("s", lambda wait: REQUEST, 5.0, lambda result, _: results.append(result))
        assert attempt is not None
        assert results == []
        getattr(attempt, method)()
        for _ in range(3):
            await asyncio.sleep(0)
        expected = AttemptResult.CANCELLED if method == "cancel" else AttemptResult.CONNECT_FAILED
        assert results == [expected]
        pool.close()

    asyncio.run(main())
