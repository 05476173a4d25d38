"""A caller that leaves, half-closes or reads slowly: what the states of its connection owe it."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.listener.flow_control import LINGER_S, MAX_LINGER_S, WRITE_STALL_TIMEOUT_S
from tests.support.callers import (
    ANSWER,
    LEAVING,
    Ends,
    Leave,
    connect,
    half_close,
    read_to_the_end,
    slow_reader,
)
from tests.support.loopback import BlockedServer, StubServer, request, running_node, wait_until

# ----------------------------------------------------------------------- leaving


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("waits", ["nothing", "a second request", "a long body"])
def test_a_leaving_can_be_asked_for_before_the_loop_has_seen_it(leave: Leave, waits: str):
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller = connect(node)
            if waits == "a long body":  # of which the server reads none
                caller.sendall(request("post", "q1", bytes(4 * HIGH_WATER_BYTES))[: -2 * HIGH_WATER_BYTES])
            else:
                caller.sendall(request(name="q1"))
            await wait_until(lambda: node.request_registry.active)
            (job,) = node.request_registry.active.values()
            if waits == "a second request":
                caller.sendall(request(name="q2") + b"GET /half")
                await wait_until(lambda: not job.inbound.connection._transport.is_reading())
                caller.sendall(b"unread")
            assert not job.inbound.connection.disconnected
            leave(caller)
            assert job.inbound.connection.disconnected
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_leaving_is_seen_while_nothing_is_read(leave: Leave):
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1") + request(name="q2"))
            await wait_until(lambda: server.seen)
            (job,) = node.request_registry.active.values()
            assert not job.inbound.connection._transport.is_reading()
            caller.sendall(request(name="q3"))
            leave(caller)
            job.inbound.connection.sweep(node.loop.time())
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
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("leave", LEAVING)
def test_callers_that_leave_as_the_last_answers_go_out_keep_no_other_from_its_answer(leave: Leave):
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            callers = [connect(node) for _ in range(5)]
            for at, caller in enumerate(callers):
                caller.sendall(request(name=f"q{at}"))
            await wait_until(lambda: len(server.seen) == len(callers))
            node.listener.drain()
            for caller in callers[:-1]:
                leave(caller)  # and the loop has no turn before the answers
            node.request_registry.fail_all()
            assert callers[-1].recv(12) == b"HTTP/1.1 504"
            assert node.request_registry.unanswered == 0
            await wait_until(
                lambda: len(node.listener.connections) == 1
            )  # the last one's, until that has read
            for caller in callers:
                caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_caller_that_leaves_as_its_last_answer_goes_out_leaves_nothing_behind(leave: Leave):
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1"))
            await wait_until(lambda: server.seen)
            (job,) = node.request_registry.active.values()
            node.listener.drain()
            on_result, left = job.attempts[0]._on_result, []

            def result(
                *args: object,
            ) -> None:  # the answer has been read: the caller leaves just before it is used
                left.append(leave(caller))
                on_result(*args)

            job.attempts[0]._on_result = result
            server.release.set()
            await wait_until(lambda: left)
            assert not node.request_registry.active
            assert node.driver.balancer.endpoints["s0"].in_flight == 0.0
            assert node.pool.connection_count == 1
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("first", ["answered by the server", "passed on"])
@pytest.mark.parametrize("leave", LEAVING)
def test_what_waits_its_turn_is_not_begun_for_a_caller_that_has_left(leave: Leave, first: str):
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller = connect(node)
            caller.sendall(b"".join(request(name=f"q{at}") for at in range(50)))
            await wait_until(lambda: server.seen)
            (job,) = node.request_registry.active.values()
            body = Body(Ends())
            if first == "passed on":
                node.request_registry.begin_stream(job, len(ANSWER), body)
                body.feed(ANSWER[:-1])
            leave(caller)  # much sent at once and gone, and nothing of that read
            if first == "passed on":
                body.feed(ANSWER[-1:])
                body.end()
            else:
                node.request_registry.respond(job, 200, b"done")
            await wait_until(lambda: not node.listener.connections)
            assert node.event_counts["requests"] == 1
            if leave is half_close:
                assert (await read_to_the_end(caller)).count(b"HTTP/1.1 400 ") == 1
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, 50])
@pytest.mark.parametrize("leave", LEAVING)
def test_nothing_is_begun_for_a_caller_that_sends_and_leaves_in_one_turn(leave: Leave, count: int):
    async def main():
        server = StubServer()
        async with running_node(server) as node:
            caller = connect(node)
            await wait_until(lambda: node.listener.connections)
            caller.sendall(b"".join(request(name=f"q{at}") for at in range(count)))
            leave(caller)
            if leave is half_close:
                assert (await read_to_the_end(caller)).startswith(b"HTTP/1.1 400 ")
            await wait_until(lambda: not node.listener.connections and not node.request_registry.active)
            assert node.metrics.attempts_sent == server.connections == 0
            assert node.event_counts["requests"] <= 1

    asyncio.run(main())


def test_a_health_check_that_half_closes_is_told_yes():
    async def main():
        async with running_node(StubServer()) as node:
            caller = connect(node)
            caller.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            half_close(caller)
            assert (await read_to_the_end(caller)).startswith(b"HTTP/1.1 200 ")

    asyncio.run(main())


@pytest.mark.parametrize("sent", [request("post", "q1", b"body")[:-1], request(name="q1")[:-1], b"G"])
def test_a_half_close_within_a_request_is_answered_and_begins_nothing(sent: bytes):
    async def main():
        async with running_node(StubServer()) as node:
            caller = connect(node)
            caller.sendall(sent)
            half_close(caller)
            assert (await read_to_the_end(caller)).startswith(b"HTTP/1.1 400 ")
            assert node.event_counts["requests"] == 0

    asyncio.run(main())


def test_a_half_close_after_a_request_ends_it_in_the_same_turn_with_a_final_answer():
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1"))
            await wait_until(lambda: server.seen)
            (job,) = node.request_registry.active.values()
            half_close(caller)
            job.inbound.connection.eof_received()  # as the loop will: what else comes then finds it over
            assert (job.answered, node.event_counts["client disconnects"]) == (True, 1)
            assert (await read_to_the_end(caller)).startswith(b"HTTP/1.1 400 ")
            await wait_until(lambda: not node.listener.connections)

    asyncio.run(main())


def test_a_half_close_ends_what_is_asked_while_the_answer_before_has_yet_to_leave():
    async def main():
        server = StubServer()
        async with running_node(server) as node:
            caller, _ = await slow_reader(node, server)
            held = BlockedServer()
            server.script = held.script
            caller.sendall(request(name="q2"))
            await wait_until(lambda: len(server.seen) == 2)
            half_close(caller)
            await wait_until(lambda: node.event_counts["client disconnects"])
            assert b"HTTP/1.1 400 " in (await read_to_the_end(caller)).partition(ANSWER)[2]

    asyncio.run(main())


def test_a_half_close_during_an_answer_that_is_passed_on_does_not_cut_it_short():
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1"))
            await wait_until(lambda: server.seen)
            (job,) = node.request_registry.active.values()
            body = Body(Ends())
            node.request_registry.begin_stream(job, len(ANSWER), body)
            body.feed(ANSWER[:1000])
            ended, eof_received = [], job.inbound.connection.eof_received
            job.inbound.connection.eof_received = lambda: ended.append(True) or eof_received()
            half_close(caller)
            await wait_until(lambda: ended)
            body.feed(ANSWER[1000:])
            body.end()
            assert (await read_to_the_end(caller)).endswith(ANSWER)
            await wait_until(lambda: not node.listener.connections)
            assert not node.request_registry.streaming

    asyncio.run(main())


# ------------------------------------------------------------------ slow readers


def test_a_connection_is_not_idle_before_its_answer_has_left():
    async def main():
        server = StubServer()
        async with running_node(server) as node:
            caller, connection = await slow_reader(node, server)
            assert not connection.idle
            assert not connection.close_if_idle()
            node.listener.drain(open_s=0.0)  # closes the idle ones from now on, every 10 ms
            assert (await read_to_the_end(caller)).endswith(ANSWER)

    asyncio.run(main())


def test_the_last_answer_is_not_thrown_away_while_its_caller_reads():
    async def main():
        server = StubServer()
        async with running_node(server) as node:
            caller, connection = await slow_reader(node, server, Connection="close")
            connection.sweep(node.loop.time() + MAX_LINGER_S)  # enough for one whose answer had left
            answer = await read_to_the_end(caller, close=False)
            assert answer.endswith(ANSWER)
            assert node.listener.connections  # read on for a moment
            connection.sweep(node.loop.time() + LINGER_S)
            await wait_until(lambda: not node.listener.connections)
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("headers", [{}, {"Connection": "close"}])
def test_a_caller_that_takes_nothing_of_its_answer_is_given_up_and_one_that_reads_is_not(headers):
    async def main():
        server = StubServer()
        async with running_node(server) as node:
            caller, connection = await slow_reader(node, server, **headers)
            now = node.loop.time() + 1.0
            connection.sweep(now)
            unsent = connection._transport.get_write_buffer_size()
            while connection._transport.get_write_buffer_size() == unsent:
                caller.recv(4096)
                await asyncio.sleep(0)
            connection.sweep(now + WRITE_STALL_TIMEOUT_S)  # it has read since
            connection.sweep(now + 2 * WRITE_STALL_TIMEOUT_S - 0.1)
            await asyncio.sleep(0)
            assert node.listener.connections
            connection.sweep(now + 2 * WRITE_STALL_TIMEOUT_S)
            await wait_until(lambda: not node.listener.connections)
            caller.close()

    asyncio.run(main())
