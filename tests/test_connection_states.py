"""A caller's connection in the moments that cross: its end, a request or half a one against a close."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest
from loopback import Caller, Held, Message, Peer, reply, request, running, until

from orchidledge.net.body import HIGH_WATER, Body
from orchidledge.net.connection import ServerConnection
from orchidledge.net.flow import LINGER_MOST_S, LINGER_S, UNREAD_S
from orchidledge.net.node import Node


def connect(node: Node) -> socket.socket:
    """A caller whose acts take no turn of the node's loop: all that it does between two awaits crosses."""
    return socket.create_connection(node.server.address, timeout=20.0)


def half_close(caller: socket.socket) -> None:
    caller.shutdown(socket.SHUT_WR)


def reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


ANSWER = bytes(range(256)) * 240  # 60 KiB: held whole, and far more than the small buffers take


class Ends:
    """A server's end of an answer that is passed on: the test gives the bytes itself."""

    def pause(self) -> None:
        """As many as may come are given."""

    def resume(self) -> None:
        """So too."""

    def abandoned(self) -> None:
        """Nobody else is told."""


MIB = 1024 * 1024
LEAVING = [socket.socket.close, half_close, reset]
Leave = Callable[[socket.socket], None]

# ----------------------------------------------------------------------- leaving


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("waits", ["nothing", "a second request", "a long body"])
def test_a_leaving_can_be_asked_for_before_the_loop_has_seen_it(leave: Leave, waits: str):
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            if waits == "a long body":  # of which the server reads none
                caller.sendall(request("post", "q1", bytes(4 * HIGH_WATER))[: -2 * HIGH_WATER])
            else:
                caller.sendall(request(name="q1"))
            await until(lambda: node.jobs.held)
            (job,) = node.jobs.held.values()
            if waits == "a second request":
                caller.sendall(request(name="q2") + b"GET /half")
                await until(lambda: not job.call.connection._transport.is_reading())
                caller.sendall(b"unread")
            assert not job.call.connection.left
            leave(caller)
            assert job.call.connection.left
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_leaving_is_seen_while_nothing_is_read(leave: Leave):
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1") + request(name="q2"))
            await until(lambda: server.seen)
            (job,) = node.jobs.held.values()
            assert not job.call.connection._transport.is_reading()
            caller.sendall(request(name="q3"))
            leave(caller)
            job.call.connection.sweep(node.loop.time())
            await until(lambda: not node.server.connections)
            assert (node.counts["gone"], node.jobs.open, node.counts["taken"]) == (1, 0, 1)
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("leave", LEAVING)
def test_callers_that_leave_as_the_last_answers_go_out_keep_no_other_from_its_answer(leave: Leave):
    async def main():
        server = Held()
        async with running(server) as node:
            callers = [connect(node) for _ in range(5)]
            for at, caller in enumerate(callers):
                caller.sendall(request(name=f"q{at}"))
            await until(lambda: len(server.seen) == len(callers))
            node.server.drain()
            for caller in callers[:-1]:
                leave(caller)  # and the loop has no turn before the answers
            node.jobs.fail_all()
            assert callers[-1].recv(12) == b"HTTP/1.1 504"
            assert node.jobs.open == 0
            await until(lambda: len(node.server.connections) == 1)  # the last one's, until that has read
            for caller in callers:
                caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_caller_that_leaves_as_its_last_answer_goes_out_leaves_nothing_behind(leave: Leave):
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1"))
            await until(lambda: server.seen)
            (job,) = node.jobs.held.values()
            node.server.drain()
            on_result, left = job.attempts[0]._on_result, []

            def result(
                *args: object,
            ) -> None:  # the answer has been read: the caller leaves just before it is used
                left.append(leave(caller))
                on_result(*args)

            job.attempts[0]._on_result = result
            server.release.set()
            await until(lambda: left)
            assert not node.jobs.held
            assert node.driver.balancer.peers["s0"].load == 0.0
            assert node.pool.size == 1
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("first", ["answered by the server", "passed on"])
@pytest.mark.parametrize("leave", LEAVING)
def test_what_waits_its_turn_is_not_begun_for_a_caller_that_has_left(leave: Leave, first: str):
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            caller.sendall(b"".join(request(name=f"q{at}") for at in range(50)))
            await until(lambda: server.seen)
            (job,) = node.jobs.held.values()
            body = Body(Ends())
            if first == "passed on":
                node.jobs.begin(job, len(ANSWER), body)
                body.put(ANSWER[:-1])
            leave(caller)  # much sent at once and gone, and nothing of that read
            if first == "passed on":
                body.put(ANSWER[-1:])
                body.end()
            else:
                node.jobs.answer(job, 200, b"done")
            await until(lambda: not node.server.connections)
            assert node.counts["taken"] == 1
            if leave is half_close:
                assert (await read_to_the_end(caller)).count(b"HTTP/1.1 400 ") == 1
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("sent", [request("post", "q1", b"body")[:-1], request(name="q1")[:-1], b"G"])
def test_a_half_close_within_a_request_is_answered_and_begins_nothing(sent: bytes):
    async def main():
        async with running(Peer()) as node:
            caller = connect(node)
            caller.sendall(sent)
            half_close(caller)
            assert (await read_to_the_end(caller)).startswith(b"HTTP/1.1 400 ")
            assert node.counts["taken"] == 0

    asyncio.run(main())


def test_a_half_close_after_a_request_ends_it_in_the_same_turn_with_a_final_answer():
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1"))
            await until(lambda: server.seen)
            (job,) = node.jobs.held.values()
            half_close(caller)
            job.call.connection.eof_received()  # as the loop will: what else comes in that turn finds it over
            assert (job.done, node.counts["gone"]) == (True, 1)
            assert (await read_to_the_end(caller)).startswith(b"HTTP/1.1 400 ")
            await until(lambda: not node.server.connections)

    asyncio.run(main())


def test_a_half_close_ends_what_is_asked_while_the_answer_before_has_yet_to_leave():
    async def main():
        server = Peer()
        async with running(server) as node:
            caller, _ = await slow_reader(node, server)
            held = Held()
            server.script = held.script
            caller.sendall(request(name="q2"))
            await until(lambda: len(server.seen) == 2)
            half_close(caller)
            await until(lambda: node.counts["gone"])
            assert b"HTTP/1.1 400 " in (await read_to_the_end(caller)).partition(ANSWER)[2]

    asyncio.run(main())


def test_a_half_close_during_an_answer_that_is_passed_on_does_not_cut_it_short():
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1"))
            await until(lambda: server.seen)
            (job,) = node.jobs.held.values()
            body = Body(Ends())
            node.jobs.begin(job, len(ANSWER), body)
            body.put(ANSWER[:1000])
            ended, eof_received = [], job.call.connection.eof_received
            job.call.connection.eof_received = lambda: ended.append(True) or eof_received()
            half_close(caller)
            await until(lambda: ended)
            body.put(ANSWER[1000:])
            body.end()
            assert (await read_to_the_end(caller)).endswith(ANSWER)
            await until(lambda: not node.server.connections)
            assert not node.jobs.passing_on

    asyncio.run(main())


# ------------------------------------------------------------------ slow readers


async def slow_reader(node: Node, server: Peer, **headers: str) -> tuple[socket.socket, ServerConnection]:
    """A caller whose answer is written, and for the most part still in the node's write buffer."""

    async def answer(_message: Message) -> bytes:
        return reply(body=ANSWER)

    server.script = answer
    caller = socket.socket()
    caller.settimeout(20.0)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    caller.connect(node.server.address)
    await until(lambda: node.server.connections)
    (connection,) = node.server.connections
    connection._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    caller.sendall(request(**headers))
    await until(lambda: node.counts["answered 200"])
    assert connection._transport.get_write_buffer_size() > 20_000
    return caller, connection


async def read_to_the_end(caller: socket.socket, answers: int | None = None, close: bool = True) -> bytes:
    """All that comes, or so many of the answers."""
    caller.setblocking(False)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    data = b""
    async with asyncio.timeout(20):
        while data.count(ANSWER) != answers and (
            piece := await asyncio.get_running_loop().sock_recv(caller, 65_536)
        ):
            data += piece
    if close:
        caller.close()
    return data


async def turns(count: int = 1000) -> None:
    """Far more of the node's loop than what could still happen takes."""
    for _ in range(count):
        await asyncio.sleep(0)


def test_a_connection_is_not_idle_before_its_answer_has_left():
    async def main():
        server = Peer()
        async with running(server) as node:
            caller, connection = await slow_reader(node, server)
            assert not connection.idle
            assert not connection.close_if_idle()
            node.server.drain(open_s=0.0)  # closes the idle ones from now on, every 10 ms
            assert (await read_to_the_end(caller)).endswith(ANSWER)

    asyncio.run(main())


def test_the_last_answer_is_not_thrown_away_while_its_caller_reads():
    async def main():
        server = Peer()
        async with running(server) as node:
            caller, connection = await slow_reader(node, server, Connection="close")
            connection.sweep(node.loop.time() + LINGER_MOST_S)  # enough for one whose answer had left
            answer = await read_to_the_end(caller, close=False)
            assert answer.endswith(ANSWER)
            assert node.server.connections  # read on for a moment
            connection.sweep(node.loop.time() + LINGER_S)
            await until(lambda: not node.server.connections)
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("headers", [{}, {"Connection": "close"}])
def test_a_caller_that_takes_nothing_of_its_answer_is_given_up_and_one_that_reads_is_not(headers):
    async def main():
        server = Peer()
        async with running(server) as node:
            caller, connection = await slow_reader(node, server, **headers)
            now = node.loop.time() + 1.0
            connection.sweep(now)
            unsent = connection._transport.get_write_buffer_size()
            while connection._transport.get_write_buffer_size() == unsent:
                caller.recv(4096)
                await asyncio.sleep(0)
            connection.sweep(now + UNREAD_S)  # it has read since
            connection.sweep(now + 2 * UNREAD_S - 0.1)
            await asyncio.sleep(0)
            assert node.server.connections
            connection.sweep(now + 2 * UNREAD_S)
            await until(lambda: not node.server.connections)
            caller.close()

    asyncio.run(main())


# ------------------------------------------------------------- last answers, idle closes


async def last_answer_due(node: Node, server: Held, end: str, sent: bytes, **headers: str) -> socket.socket:
    """A caller whose answer is to be the connection's last, with so much read behind its request."""
    caller = connect(node)
    caller.sendall(request(name="q1", **headers) + sent)
    await until(lambda: server.seen)
    if end == "drain":
        node.server.drain()
    return caller


@pytest.mark.parametrize("half", [b"G", request(name="q2")[:-1], request("post", "q2", b"body")[:-1]])
def test_half_a_request_read_behind_the_last_answer_is_waited_for_and_served(half: bytes):
    async def main():
        server = Held()
        async with running(server) as node:
            caller = await last_answer_due(node, server, "drain", half)
            server.release.set()
            caller.setblocking(False)
            stream = Caller(*await asyncio.open_connection(sock=caller))
            first = await stream.answer()
            assert (first.status, first.headers.get("connection")) == (200, None)
            whole = request("post", "q2", b"body") if half.startswith(b"P") else request(name="q2")
            stream.writer.write(whole[len(half) :])
            second = await stream.answer()
            assert (second.status, second.headers["connection"]) == (200, "close")
            assert await stream.reader.read() == b""
            assert [message.headers["req-id"] for message in server.seen] == ["q1", "q2"]
            stream.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("count", [1, 3])
def test_requests_read_behind_the_last_answer_are_all_served_and_the_last_of_them_says_close(count: int):
    async def main():
        server = Held()
        async with running(server) as node:
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
        server = Held()
        async with running(server) as node:
            headers = {"Connection": "close"} if end == "said close" else {}
            caller = await last_answer_due(node, server, end, b"", **headers)
            (job,) = node.jobs.held.values()
            node.jobs.answer(job, 200, ANSWER)
            caller.sendall(late)  # in the moment of the shutdown
            assert (await read_to_the_end(caller)).endswith(ANSWER)
            assert node.counts["taken"] == len(server.seen) == 1

    asyncio.run(main())


def test_what_is_read_behind_a_request_that_says_close_is_not_served():
    async def main():
        server = Held()
        async with running(server) as node:
            caller = await last_answer_due(node, server, "said close", request(name="q2"), Connection="close")
            server.release.set()
            answers = await read_to_the_end(caller)
            assert answers.count(b"HTTP/1.1 ") == answers.count(b"HTTP/1.1 200 ") == 1
            assert node.counts["taken"] == 1

    asyncio.run(main())


def test_a_long_answer_to_the_close_that_breaks_off_ends_in_a_reset():
    async def main():
        server = Held()
        async with running(server) as node:
            caller = connect(node)
            caller.sendall(request(name="q1").replace(b"HTTP/1.1", b"HTTP/1.0"))
            await until(lambda: server.seen)
            (job,) = node.jobs.held.values()
            body = Body(Ends())
            node.jobs.begin(job, None, body)
            body.put(ANSWER)
            body.fail()
            with pytest.raises(ConnectionResetError):
                await read_to_the_end(caller)
            assert not node.jobs.passing_on

    asyncio.run(main())


def test_a_long_body_behind_another_request_is_held_back_while_nobody_takes_it():
    async def main():
        server = Held()
        async with running(server) as node:
            opening, loop = asyncio.Event(), asyncio.get_running_loop()

            async def never(_endpoint: object) -> None:
                opening.set()
                await asyncio.Event().wait()

            caller = connect(node)
            caller.sendall(request(name="q1"))
            await until(lambda: server.seen)
            node.pool.take_idle = lambda *_: None  # the connection that q1 has left is not used
            node.pool.open = never
            (connection,) = node.server.connections
            caller.setblocking(False)
            sending = loop.create_task(loop.sock_sendall(caller, request("post", "q2", bytes(16 * MIB))))
            await until(lambda: not connection._transport.is_reading())
            body = connection._requests.call.body
            server.release.set()
            await opening.wait()
            await turns()
            assert not connection._transport.is_reading()
            assert body.size < 8 * HIGH_WATER
            sending.cancel()
            caller.close()

    asyncio.run(main())


@pytest.mark.parametrize("at_once", [True, False])
def test_answers_that_a_caller_does_not_read_hold_its_further_requests_back(at_once: bool):
    async def main():
        server = Peer()
        async with running(server) as node:
            caller, connection = await slow_reader(node, server)
            node.server.on_call = lambda call: call.answer(200, ANSWER)  # with no wait for a server
            further = [request(name=f"q{2 + at}") for at in range(40)]
            for data in [b"".join(further)] if at_once else further:
                caller.sendall(data)
                await turns(20)
            await turns()
            assert connection._transport.get_write_buffer_size() < 3 * HIGH_WATER
            node.server.expire(node.loop.time() + 60.0)  # what is held back is not overdue
            assert node.server.expired == 0
            assert (await read_to_the_end(caller, answers=41)).count(b"HTTP/1.1 200 ") == 41
            await until(lambda: connection.idle)

    asyncio.run(main())
