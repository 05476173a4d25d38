"""What crosses the end of a caller's connection: behind the last answer, and against an idle close."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest

from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.http.socket_buffer import readable
from loadbalancer.node.listener import connection_states as closing_module
from loadbalancer.node.node import Node
from tests.support.callers import (
    ANSWER,
    MIB,
    Ends,
    Taken,
    connect,
    half_close,
    read_to_the_end,
    reset,
    slow_reader,
    turns,
)
from tests.support.loopback import (
    BlockedServer,
    Client,
    StubServer,
    exchange,
    request,
    running_node,
    wait_until,
)

# ------------------------------------------------------------- last answers, idle closes


async def last_answer_due(
    node: Node, server: BlockedServer, end: str, sent: bytes, **headers: str
) -> socket.socket:
    """A caller whose answer is to be the connection's last, with so much read behind its request."""
    caller = connect(node)
    caller.sendall(request(name="q1", **headers) + sent)
    await wait_until(lambda: server.seen)
    if end == "drain":
        node.listener.drain()
    return caller


@pytest.mark.parametrize("half", [b"G", request(name="q2")[:-1], request("post", "q2", b"body")[:-1]])
def test_half_a_request_read_behind_the_last_answer_is_waited_for_and_served(half: bytes):
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller = await last_answer_due(node, server, "drain", half)
            server.release.set()
            caller.setblocking(False)
            stream = Client(*await asyncio.open_connection(sock=caller))
            first = await stream.read_response()
            assert (first.status, first.headers.get("connection")) == (200, None)
            whole = request("post", "q2", b"body") if half.startswith(b"P") else request(name="q2")
            stream.writer.write(whole[len(half) :])
            second = await stream.read_response()
            assert (second.status, second.headers["connection"]) == (200, "close")
            assert await stream.reader.read() == b""
            assert [message.headers["req-id"] for message in server.seen] == ["q1", "q2"]
            stream.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, 3])
def test_requests_read_behind_the_last_answer_are_all_served_and_the_last_of_them_says_close(count: int):
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            behind = b"".join(request(name=f"q{2 + at}") for at in range(count))
            caller = await last_answer_due(node, server, "drain", behind)
            server.release.set()
            answers = await read_to_the_end(caller)
            assert answers.count(b"HTTP/1.1 200 ") == count + 1
            assert answers.count(b"Connection: close") == 1
            assert answers.rpartition(b"HTTP/1.1 200 ")[2].count(b"Connection: close") == 1

    asyncio.run(main())


@pytest.mark.parametrize("end", ["drain", "said close"])
@pytest.mark.parametrize("late", [request(name="q2"), request(name="q2")[:9]])
def test_what_comes_after_the_last_answer_is_neither_served_nor_does_it_reset_the_answer(
    end: str, late: bytes
):
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            headers = {"Connection": "close"} if end == "said close" else {}
            caller = await last_answer_due(node, server, end, b"", **headers)
            (job,) = node.request_registry.active.values()
            node.request_registry.respond(job, 200, ANSWER)
            caller.sendall(late)  # in the moment of the shutdown
            assert (await read_to_the_end(caller)).endswith(ANSWER)
            assert node.event_counts["requests"] == len(server.seen) == 1

    asyncio.run(main())


def test_what_is_read_behind_a_request_that_says_close_is_not_served():
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller = await last_answer_due(node, server, "said close", request(name="q2"), Connection="close")
            server.release.set()
            answers = await read_to_the_end(caller)
            assert answers.count(b"HTTP/1.1 ") == answers.count(b"HTTP/1.1 200 ") == 1
            assert node.event_counts["requests"] == 1

    asyncio.run(main())


def test_a_long_answer_to_the_close_that_breaks_off_ends_in_a_reset():
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1").replace(b"HTTP/1.1", b"HTTP/1.0"))
            await wait_until(lambda: server.seen)
            (job,) = node.request_registry.active.values()
            body = Body(Ends())
            node.request_registry.begin_stream(job, None, body)
            body.feed(ANSWER)
            body.fail()
            with pytest.raises(ConnectionResetError):
                await read_to_the_end(caller)
            assert not node.request_registry.streaming

    asyncio.run(main())


def test_a_long_body_behind_another_request_is_held_back_while_nobody_takes_it():
    async def main():
        server = BlockedServer()
        async with running_node(server) as node:
            opening, loop = asyncio.Event(), asyncio.get_running_loop()

            async def never(_endpoint: object) -> None:
                opening.set()
                await asyncio.Event().wait()

            caller = connect(node)
            caller.sendall(request(name="q1"))
            await wait_until(lambda: server.seen)
            node.pool.acquire_idle = lambda *_: None  # the connection that q1 has left is not used
            node.pool.open_connection = never
            (connection,) = node.listener.connections
            caller.setblocking(False)
            sending = loop.create_task(loop.sock_sendall(caller, request("post", "q2", bytes(16 * MIB))))
            await wait_until(lambda: not connection._transport.is_reading())
            body = connection._parser.request.body
            server.release.set()
            await opening.wait()
            await turns()
            assert not connection._transport.is_reading()
            assert body.size < 8 * HIGH_WATER_BYTES
            sending.cancel()
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("at_once", [True, False])
def test_answers_that_a_caller_does_not_read_hold_its_further_requests_back(at_once: bool):
    async def main():
        server = StubServer()
        async with running_node(server) as node:
            caller, connection = await slow_reader(node, server)
            node.listener.on_request = lambda call: call.respond(200, ANSWER)  # with no wait for a server
            further = [request(name=f"q{2 + at}") for at in range(40)]
            for data in [b"".join(further)] if at_once else further:
                caller.sendall(data)
                await turns(20)
            await turns()
            assert connection._transport.get_write_buffer_size() < 3 * HIGH_WATER_BYTES
            node.listener.expire(node.loop.time() + 60.0)  # what is held back is not overdue
            assert node.listener.expired == 0
            assert (await read_to_the_end(caller, answers=41)).count(b"HTTP/1.1 200 ") == 41
            await wait_until(lambda: connection.idle)

    asyncio.run(main())


# ------------------------------------------------------------- crossings of an idle close

Put = Callable[[socket.socket], None]
Close = Callable[[Node], None]
RESTING: dict[str, Put] = {
    "a request": lambda caller: caller.sendall(request(name="q2")),
    "half a request": lambda caller: caller.sendall(request(name="q2")[:9]),
    "a line end": lambda caller: caller.sendall(b"\r\n"),
    "an end": half_close,
    "a reset": reset,
    "nothing": lambda caller: None,
}
CLOSES: dict[str, Close] = {
    "drain": lambda node: node.listener._close_idle(0.0),
    "standby": lambda node: node.standby() and node.listener._close_idle(0.0),
    "overdue": lambda node: node.listener.expire(node.loop.time() + 60.0),
    "room for another": lambda node: [one for one in node.listener.connections if one.close_if_idle()],
}


async def resting(node: Node, asked: bool) -> socket.socket:
    """A caller between requests, or one that has sent none yet."""
    caller = connect(node)
    await wait_until(lambda: node.listener.connections)
    if asked:
        caller.sendall(request(name="q1"))
        await wait_until(lambda: node.event_counts["responses 200"])
        caller.recv(65_536)
    return caller


async def asked_anew(node: Node) -> int:
    """The status that a caller gets on a new connection."""
    return (await exchange(node, request(name="q2"))).status


@pytest.mark.parametrize("asked", [True, False])
@pytest.mark.parametrize("put", RESTING)
@pytest.mark.parametrize("close", CLOSES)
def test_what_came_just_before_an_idle_close_is_served(close: str, put: str, asked: bool):
    async def main():
        server = StubServer()
        async with running_node(server) as node:
            caller = await resting(node, asked)
            (connection,) = node.listener.connections
            RESTING[put](caller)  # lies in the kernel: the loop has no turn before the close
            CLOSES[close](node)
            if "request" in put:
                if put == "half a request":
                    await wait_until(lambda: connection._parser.request)
                    CLOSES["drain"](node)
                    caller.sendall(request(name="q2")[9:])
                await wait_until(lambda: node.event_counts["responses 200"] == 1 + asked)
                assert caller.recv(12) == b"HTTP/1.1 200"
            elif put != "a reset":
                if asked and close == "overdue" and put != "an end":
                    assert connection.idle  # a caller between requests is never overdue
                    caller.close()
                await wait_until(lambda: CLOSES["drain"](node) or not node.listener.connections)
                if caller.fileno() >= 0:
                    assert caller.recv(12) == b""
            caller.close()
            await wait_until(lambda: not node.listener.connections)
            assert node.event_counts["requests"] == asked + ("request" in put)

    asyncio.run(main())


@pytest.mark.parametrize("asked", [True, False])
@pytest.mark.parametrize("put", RESTING)
@pytest.mark.parametrize("close", CLOSES)
def test_what_comes_just_after_the_look_of_an_idle_close_is_not_read(
    close: str, put: str, asked: bool, monkeypatch: pytest.MonkeyPatch
):
    async def main():
        server = StubServer()
        async with running_node(server) as node:
            caller = await resting(node, asked)

            def look(transport: asyncio.BaseTransport) -> bool:
                found = readable(transport)
                RESTING[put](caller)
                return found

            with monkeypatch.context() as patch:
                patch.setattr(closing_module, "readable", look)
                CLOSES[close](node)
            if asked and close == "overdue":
                assert node.listener.connections  # not even looked at
                caller.close()
            await wait_until(lambda: not node.listener.connections)
            if caller.fileno() >= 0:
                with contextlib.suppress(ConnectionResetError):
                    assert caller.recv(12) == b""  # so it asks again
            assert node.event_counts["requests"] == asked
            assert await asked_anew(node) == 200
            assert len(server.seen) == 1 + asked
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("ends", ["its caller has left", "it is the last answer"])
@pytest.mark.parametrize("headers", [{}, {"Expect": "100-continue"}])
def test_what_is_parsed_behind_a_request_that_ends_the_connection_is_not_served(
    ends: str, headers: dict[str, str], caplog: pytest.LogCaptureFixture
):
    """All in the one piece whose first bytes are the last of a long request."""

    async def main():
        server = StubServer()
        async with running_node(server) as node:
            served = []
            node.listener.on_request = served.append
            long = request("post", "q1", bytes(2 * HIGH_WATER_BYTES))
            caller = connect(node)
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, long[:-1])
            await wait_until(lambda: served)
            (call,) = served
            call.body.attach(Taken())
            connection = call.connection
            await wait_until(lambda: call.body.size == 2 * HIGH_WATER_BYTES - 1)
            left = ends == "its caller has left"
            call.on_received = connection.close_if_disconnected if left else lambda: call.respond(503)
            node.listener.draining = True
            behind = request(name="q2", **headers) + request(name="q3")
            await loop.sock_sendall(caller, long[-1:] + behind)
            if left:
                half_close(caller)
            answers = await read_to_the_end(caller)
            assert answers.startswith(b"HTTP/1.1 400 " if left else b"HTTP/1.1 503 ")
            assert answers.count(b"HTTP/1.1 ") == 1
            assert served == [call]
            assert not caplog.records

    asyncio.run(main())
