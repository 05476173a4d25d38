"""Whether an attempt may still be written: every reason not to, put in place just before its first byte."""

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
    request,
    running_node,
    wait_until,
)

DATA = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"
LEAVINGS = ("closes", "resets", "half-closes")
CANCELS = pytest.mark.parametrize("cancel", [True, False])


class Leaver:
    """A client on a plain socket: what it does is in the kernel at once, before the node's loop turns."""

    def __init__(self, node: Node, data: bytes, how: str = "closes") -> None:
        self._how = how
        self._socket = socket.create_connection(node.listener.address)
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
        opened = node.pool.open_connection

        async def late(endpoint):
            connection = await opened(endpoint)
            self.ready += 1
            if not self.up.is_set():
                await self.up.wait()
                just_before()
            return connection

        node.pool.open_connection = late


async def is_over(node: Node) -> None:
    """Nothing of any request is left, and its caller's connection is closed."""
    await wait_until(lambda: not node.request_registry.active and not node.listener.connections)
    assert node.request_registry.unanswered == 0
    assert sum(peer.in_flight for peer in node.driver.balancer.endpoints.values()) == 0.0


class Jump:
    """The loop's clock, which a test sets forward; to be made before the node."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._time, self.by = loop.time, 0.0
        loop.time = lambda: self._time() + self.by  # type: ignore[method-assign]

    def forward(self, by: float) -> None:
        self.by = by


def can(cancel: bool) -> dict[str, bool]:
    return {"cancel": cancel}


@CANCELS
@pytest.mark.parametrize("how", LEAVINGS)
def test_a_client_that_left_before_its_request_was_read_is_not_sent_on(how, cancel, monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        async with running_node(StubServer(), bounds=can(cancel)) as node:
            assert (await exchange(node, request(name="q0"))).status == 200  # its connection is kept
            client = Leaver(node, request(), how)
            client.leave()  # request and end are there before the connection is accepted
            await wait_until(lambda: node.event_counts["client disconnects"])
            await is_over(node)
            assert node.metrics.attempts_sent == 1
            client.close()

    asyncio.run(main())


@CANCELS
@pytest.mark.parametrize("seen", [True, False])
@pytest.mark.parametrize("how", LEAVINGS)
def test_a_client_that_left_while_its_attempt_connects_is_not_sent_on(how, seen, cancel):
    async def main():
        async with running_node(StubServer(), bounds=can(cancel)) as node:
            client = Leaver(node, request(), how)
            late = LateConnections(node, (lambda: None) if seen else client.leave)
            await wait_until(lambda: late.ready)
            if seen:
                client.leave()
                await wait_until(lambda: node.event_counts["client disconnects"])
            late.up.set()
            await is_over(node)
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


@CANCELS
@pytest.mark.parametrize("how", LEAVINGS)
def test_a_client_that_left_between_two_attempts_is_not_sent_on(how, cancel):
    async def main():
        async def script(message):
            return http_response(503, Srv_Declined="1")

        async with running_node(StubServer(script), StubServer(script), bounds=can(cancel)) as node:
            balancer = node.driver.balancer
            client = Leaver(node, request(), how)

            def act(event):
                if isinstance(event, AttemptOutcome) and event.result is AttemptResult.REJECTED:
                    client.leave()  # in the turn in which the next attempt is chosen
                return balancer.handle(node.clock.unix_ms(), event)

            node.driver.balancer = ScriptedBalancer(act)
            await wait_until(lambda: node.event_counts["client disconnects"])
            node.driver.balancer = balancer
            await is_over(node)
            assert (node.metrics.attempts_sent, node.event_counts["full"], node.event_counts["error"]) == (
                1,
                1,
                0,
            )
            client.close()

    asyncio.run(main())


@CANCELS
@pytest.mark.parametrize("how", LEAVINGS)
@pytest.mark.parametrize("size", [HIGH_WATER_BYTES, HIGH_WATER_BYTES + 8192])
def test_a_client_that_left_while_its_long_body_is_not_read_is_not_sent_on(size, how, cancel):
    async def main():
        server = StubServer()
        async with running_node(server, bounds=can(cancel)) as node:
            data = request("post", "q1", bytes(8 * HIGH_WATER_BYTES))
            late = LateConnections(node)
            client = Leaver(node, data[: len(data) - 8 * HIGH_WATER_BYTES + size], how)
            await wait_until(lambda: late.ready)
            (connection,) = node.listener.connections
            assert connection._read_control.body_paused  # so the loop will see no end
            client.leave()
            late.up.set()
            await is_over(node)
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


@CANCELS
def test_a_burst_of_clients_that_left_leaves_nothing_to_write(cancel):
    async def main():
        async with running_node(StubServer(), StubServer(), bounds=can(cancel)) as node:
            clients = [Leaver(node, request(name=f"q{at}"), LEAVINGS[at % 3]) for at in range(24)]

            def all_leave():
                while clients:
                    clients.pop().leave()

            late = LateConnections(node, all_leave)
            await wait_until(lambda: late.ready + node.event_counts["responses 503"] == 24)
            late.up.set()
            await wait_until(lambda: not node.request_registry.active)
            assert node.metrics.attempts_sent == 0
            assert late.ready > 1

    asyncio.run(main())


def test_of_two_copies_the_one_that_still_connects_is_not_written_after_the_answer():
    async def main():
        async with running_node(StubServer(), StubServer(), bounds=can(False)) as node:
            assert (await exchange(node, request(name="q0"))).status == 200

            def act(event):
                both = [Send("q1", "s0"), Send("q1", "s1")]
                return both if isinstance(event, Request) else []

            node.driver.balancer = scripted = ScriptedBalancer(act)
            opened, up = node.pool.open_connection, asyncio.Event()
            addresses = {server: address for server, (_, address) in node.endpoint_list.endpoints.items()}

            async def late(endpoint):
                if endpoint == addresses["s0"]:
                    await up.wait()
                return await opened(endpoint)

            node.pool.open_connection = late
            assert (await exchange(node, request())).status == 200
            up.set()
            await wait_until(lambda: not node.request_registry.active)
            assert node.metrics.attempts_sent == 2
            results = {event.attempt: event.result for event in scripted.events_of(AttemptOutcome)}
            assert results == {0: AttemptResult.ABANDONED, 1: AttemptResult.OK}

    asyncio.run(main())


def test_a_written_attempt_is_not_given_up_where_cancelling_is_not_allowed():
    async def main():
        server = BlockedServer()
        async with running_node(server, bounds=can(False)) as node:
            caller = await Client.connect(node)
            caller.writer.write(request())
            await wait_until(lambda: server.seen)
            caller.writer.close()
            await wait_until(lambda: node.event_counts["client disconnects"])
            assert node.request_registry.active
            server.release.set()
            await is_over(node)
            assert node.event_counts["ok"] == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    ("passes_s", "comes_up", "status", "written"),
    [(8.5, True, 200, 2), (9.0, True, 502, 1), (9.0, False, 502, 1)],
)
def test_a_repeat_is_not_written_once_its_key_may_be_forgotten(passes_s, comes_up, status, written):
    async def main():
        clock, release = Jump(), asyncio.Event()

        async def script(message):
            await release.wait()
            return (
                None if node.metrics.attempts_sent < 2 else http_response()
            )  # the first is lost, and may have run

        async with running_node(StubServer(script), StubServer(script)) as node:
            caller = await Client.connect(node)
            caller.writer.write(request("move", "q1", Idempotency_Key="k"))
            await wait_until(lambda: node.metrics.attempts_sent)
            late = LateConnections(node, lambda: clock.forward(passes_s))
            release.set()
            await wait_until(lambda: late.ready)
            if comes_up:
                late.up.set()
            else:
                clock.forward(passes_s)
            assert (await caller.read_response()).status == status
            assert node.metrics.attempts_sent == written
            caller.writer.close()

    asyncio.run(main())


def test_a_repeat_whose_last_byte_is_late_is_given_up_before_it():
    class Source:
        def pause(self) -> None: ...
        def resume(self) -> None: ...
        def abandon(self) -> None: ...

    async def main():
        clock, loop, body = Jump(), asyncio.get_running_loop(), Body(Source())
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
        clock.forward(9.0)
        await wait_until(lambda: not results.empty())
        assert results.get_nowait() is AttemptResult.CONNECT_FAILED
        body.feed(b"other half")
        body.end()
        await wait_until(lambda: not pool.connection_count)
        assert (server.seen, results.empty()) == ([], True)
        pool.close()
        server.stop()

    asyncio.run(main())


MEANWHILE: dict[str, Callable[[ConnectionPool, Attempt, Jump], None]] = {
    "its server is drained": lambda pool, attempt, clock: pool.remove_endpoint("s"),
    "its server moves": lambda pool, attempt, clock: pool.set_endpoint("s", ("127.0.0.1", 1)),
    "its server was restarted": lambda pool, attempt, clock: pool.set_endpoint(
        "s", pool._endpoints["s"].address, 5.0
    ),
    "it is cancelled": lambda pool, attempt, clock: attempt.cancel(),
    "it is withdrawn": lambda pool, attempt, clock: attempt.withdraw(),
    "its time is up": lambda pool, attempt, clock: clock.forward(5.0),
}


@pytest.mark.parametrize("when", ["as the connection is made", "once it is up", "as the attempt hears of it"])
@pytest.mark.parametrize("what", MEANWHILE)
def test_what_happens_in_the_turn_in_which_a_connection_comes_up_keeps_it_unwritten(what, when, monkeypatch):
    async def main():
        clock, loop = Jump(), asyncio.get_running_loop()
        server, pool = await StubServer().start(), ConnectionPool(10, 10.0, 20.0)
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        results: asyncio.Queue[AttemptResult] = asyncio.Queue()
        attempt = pool.start_attempt(
            "s", lambda wait: DATA, 5.0, lambda result, _: results.put_nowait(result)
        )
        assert attempt is not None
        made, opened = ClientConnection.connection_made, pool.open_connection
        crossed = []

        def cross() -> None:
            crossed.append(what)
            MEANWHILE[what](pool, attempt, clock)

        def connection_made(self, transport):
            made(self, transport)
            if when == "as the connection is made":
                cross()
            elif when == "once it is up":
                loop.call_soon(cross)  # after the waiter is told, before the task that waits goes on

        async def open_(endpoint):
            connection = await opened(endpoint)
            if when == "as the attempt hears of it":
                cross()
            return connection

        monkeypatch.setattr(ClientConnection, "connection_made", connection_made)
        monkeypatch.setattr(pool, "open_connection", open_)
        expected = {"it is cancelled": {"cancelled"}, "its time is up": {"moot", "connect_failed"}}
        await wait_until(lambda: not results.empty())
        assert results.get_nowait().value in expected.get(what, {"connect_failed"})
        pool.keep_no_idle()
        await wait_until(lambda: not pool.connection_count)
        await wait_until(
            lambda: server.connections
        )  # the kernel has it; the server's loop may accept it later
        await wait_until(lambda: not any(writer.transport.is_reading() for writer in server._writers))
        assert (server.connections, crossed, server.seen) == (1, [what], [])
        assert results.empty()
        pool.close()
        server.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    "fault", [RuntimeError("x"), OverflowError("port"), UnicodeError("host"), TimeoutError()]
)
def test_whatever_a_connection_fails_with_its_attempt_has_not_run_and_says_so(fault):
    async def main():
        server = StubServer()
        async with running_node(server) as node:
            opened = node.pool.open_connection

            async def failing(endpoint):
                node.pool.open_connection = opened
                raise fault

            node.pool.open_connection = failing
            async with asyncio.timeout(15):  # its own time is 30 s
                assert (await exchange(node, request("post", "q1"))).status == 503
            assert node.event_counts["connect_failed"] == 1
            assert (await exchange(node, request("post", "q2"))).status == 200

    asyncio.run(main())


@pytest.mark.parametrize("how", ["ends", "resets", "speaks"])
def test_a_new_connection_that_its_server_ends_at_once_is_not_written_to(how):
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            pool, accepted = ConnectionPool(10, 10.0, 20.0), []
            pool.set_endpoint("s", listener.getsockname())
            opened, results = pool.open_connection, asyncio.Queue[AttemptResult]()

            async def ended(endpoint):
                connection = await opened(endpoint)
                accepted.append(listener.accept()[0])
                if how == "resets":
                    accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                accepted[0].sendall(b"HTTP/1.1 400 x\r\n") if how == "speaks" else accepted[0].close()
                return connection

            pool.open_connection = ended  # type: ignore[method-assign]
            pool.start_attempt("s", lambda wait: DATA, 5.0, lambda result, _: results.put_nowait(result))
            await wait_until(lambda: not results.empty())
            assert results.get_nowait() is AttemptResult.CONNECT_FAILED
            await wait_until(lambda: not pool.connection_count)
            pool.close()
            accepted[0].close()

    asyncio.run(main())


def test_with_no_descriptor_left_a_request_is_refused_as_never_run_and_later_ones_are_served():
    async def main():
        async with running_node(StubServer(), StubServer()) as node:
            caller = await Client.connect(node)
            before = resource.getrlimit(resource.RLIMIT_NOFILE)
            taken: list[int] = []
            resource.setrlimit(resource.RLIMIT_NOFILE, (256, before[1]))
            try:
                with contextlib.suppress(OSError):
                    while True:
                        taken.append(os.dup(0))
                assert (await caller.exchange(request("post", "q1"))).status == 503
                assert (node.metrics.attempts_sent, node.event_counts["connect_failed"]) == (0, 2)
            finally:
                for descriptor in taken:
                    os.close(descriptor)
                resource.setrlimit(resource.RLIMIT_NOFILE, before)
            assert (await caller.exchange(request("post", "q2"))).status == 200
            caller.writer.close()

    asyncio.run(main())


@CANCELS
@pytest.mark.parametrize(
    ("kind", "seen", "statuses"),
    [("read", True, (503, 200)), ("read", False, (503, 200)), ("post", True, (502, 502)),
     ("post", False, (502, 502)), ("move", True, (502, 502)), ("move", False, (502, 502))],
)  # fmt: skip
def test_an_id_that_comes_again_after_its_caller_left_has_no_second_effect(kind, seen, statuses, cancel):
    """`statuses`: without cancelling, as its attempt is still out, and with it."""

    async def main():
        server = BlockedServer()
        async with running_node(server, bounds=can(cancel)) as node:
            data = request(kind, "q1", Idempotency_Key="k")
            client = Leaver(node, data)
            await wait_until(lambda: server.seen)
            again = await Client.connect(node)
            client.leave()
            if seen:
                await wait_until(lambda: node.event_counts["client disconnects"])
            again.writer.write(data)
            server.script = None
            assert (await again.read_response()).status == statuses[cancel]
            server.release.set()
            await wait_until(lambda: not node.request_registry.active)
            assert node.metrics.attempts_sent == 1 + (statuses[cancel] == 200)
            again.writer.close()

    asyncio.run(main())


def test_an_id_that_comes_again_is_served_if_nothing_of_it_was_written_before():
    async def main():
        async with running_node(StubServer(), bounds=can(False)) as node:
            client = Leaver(node, request("post", "q1"))
            late = LateConnections(node)
            await wait_until(lambda: late.ready)
            client.leave()
            late.up.set()
            await wait_until(lambda: node.event_counts["client disconnects"])
            assert (await exchange(node, request("post", "q1"))).status == 200
            assert node.metrics.attempts_sent == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    ("kind", "status", "written"), [("read", 503, 1), ("post", 504, 1), ("move", 504, 1)]
)
def test_a_server_that_hangs_in_its_work_past_the_aim_is_given_up_and_its_request_not_sent_again(
    kind, status, written
):
    async def main():
        clock = Jump()

        async def script(message):
            if node.metrics.attempts_sent < 2:
                await asyncio.Event().wait()
            return http_response()

        async with running_node(StubServer(script), StubServer(script), bounds=can(False)) as node:
            caller = await Client.connect(node)
            caller.writer.write(request(kind, "q1", Idempotency_Key="k"))
            await wait_until(lambda: node.metrics.attempts_sent)
            clock.forward(19.7)  # past the aim, after which it earns nothing, and the window for repeats
            assert (await caller.read_response()).status == status
            assert node.metrics.attempts_sent == written
            caller.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("then", ["cancel", "withdraw"])
def test_an_attempt_for_which_there_is_no_room_has_one_result_whatever_comes_before_it_is_told(then):
    async def main():
        pool, results = ConnectionPool(0, 10.0, 20.0), []
        pool.set_endpoint("s", ("127.0.0.1", 1))
        attempt = pool.start_attempt("s", lambda wait: DATA, 5.0, lambda result, _: results.append(result))
        assert attempt is not None
        assert results == []
        getattr(attempt, then)()
        for _ in range(3):
            await asyncio.sleep(0)
        expected = AttemptResult.CANCELLED if then == "cancel" else AttemptResult.CONNECT_FAILED
        assert results == [expected]
        pool.close()

    asyncio.run(main())
