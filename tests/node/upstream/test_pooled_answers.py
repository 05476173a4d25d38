"""How answers end, and what is told of those that do not, on a pooled connection before a raw socket."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc

import pytest

from loadbalancer.interface import Result
from loadbalancer.node.http.body import HIGH_WATER
from tests.support.loopback import reply, until
from tests.support.pooled import DATA, HALF, Full, act, bed, heard

LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
BARE = b"HTTP/1.1 200 OK\r\n\r\n"
OLD = b"HTTP/1.0 200 OK\r\n\r\n"
OLD_KEPT = b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HINT = b"HTTP/1.1 103 Hint\r\nLink: x\r\n\r\n"


@pytest.mark.parametrize(
    ("answer", "at_end", "at_reset"),
    [
        # whole: what comes after it changes nothing
        (LENGTH + b"done", Result.OK, Result.OK),
        (CHUNKED + b"4\r\ndone\r\n0\r\n\r\n", Result.OK, Result.OK),
        (LENGTH + b"done" + HALF, Result.OK, Result.OK),
        (LENGTH + b"done" + reply(500), Result.OK, Result.OK),
        (reply(503, b"x" * 5, Srv_Declined="1"), Result.FULL, Result.FULL),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + HINT * 3 + LENGTH + b"done", Result.OK, Result.OK),
        (b"HTTP/1.1 204 None\r\nContent-Length: 4\r\n\r\n", Result.ERROR, Result.ERROR),
        (b"HTTP/1.1 304 Same\r\nContent-Length: 4\r\n\r\n", Result.ERROR, Result.ERROR),
        # whole with the connection's end, if that was announced; a reset is no end
        (CLOSE + b"done", Result.OK, Result.RESET),
        (CLOSE, Result.OK, Result.RESET),
        (BARE + b"done", Result.RESET, Result.RESET),
        (OLD + b"done", Result.OK, Result.RESET),
        (OLD_KEPT + b"done", Result.RESET, Result.RESET),
        # never whole
        (b"", Result.RESET, Result.RESET),
        (HALF, Result.RESET, Result.RESET),
        (LENGTH[:-2], Result.RESET, Result.RESET),
        (LENGTH + b"don", Result.RESET, Result.RESET),
        (CHUNKED + b"4\r\ndo", Result.RESET, Result.RESET),
        (CHUNKED + b"4\r\ndone\r\n", Result.RESET, Result.RESET),
        (CHUNKED + b"4\r\ndone\r\n0\r\n", Result.RESET, Result.RESET),
        (HINT, Result.RESET, Result.RESET),
        (b"HTTP/1.1 103 Hint\r\nConnection: close\r\n\r\n", Result.RESET, Result.RESET),
        (b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", Result.RESET, Result.RESET),
    ],
)
@pytest.mark.parametrize("reset", [False, True])
def test_an_answer_and_its_connections_end_in_one_turn(answer, at_end, at_reset, reset):
    async def main():
        async with bed() as here:
            peer, connection = await here.rested()
            here.send()
            assert await heard(peer) == DATA
            peer.sendall(answer)
            act(peer, "reset" if reset else "end", connection)
            assert await here.end() == [at_reset if reset else at_end]
            await until(lambda: not here.pool.size)
            assert not here.idle

    asyncio.run(main())


LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n"


@pytest.mark.parametrize("answer", [LONG_HEAD, CHUNKED + b"999999\r\n", CLOSE])
def test_a_long_answer_that_is_reset_on_the_way_is_broken_for_a_slow_reader_too(answer):
    async def main():
        async with bed() as here:
            peer, connection = await here.rested()
            here.send()
            assert await heard(peer) == DATA
            peer.sendall(answer + bytes(HIGH_WATER + 1))
            await here.end()
            sink = Full(here.answers[0].rest)
            assert not connection._transport.is_reading()
            peer.sendall(b"x")
            act(peer, "reset", connection)
            assert sink.said == []
            sink.body.release()
            await until(lambda: sink.size == HIGH_WATER + 2)  # what had come before the reset
            sink.body.release()
            await until(lambda: sink.said == ["broken"])
            assert here.ends == [Result.OK]
            await until(lambda: not here.pool.size)

    asyncio.run(main())


def test_an_answer_known_to_be_broken_is_not_begun():
    """Guard: its caller was given the start of a 200, though its request could still have gone elsewhere."""

    async def main():
        async with bed() as here:
            peer, connection = await here.rested()
            here.send()
            assert await heard(peer) == DATA
            size = HIGH_WATER + 1
            peer.sendall(CHUNKED + b"%x\r\n" % size + bytes(size - 10))
            await until(lambda: connection._size == size - 10)
            peer.sendall(bytes(10) + b"\r\nno length\r\n")
            assert await here.end() == [Result.RESET]
            assert here.pool.unreadable == 1

    asyncio.run(main())


# ---------------------------------------------------------- answers that never end


@pytest.mark.parametrize(
    ("start", "more", "expected"),
    [
        (b"HTTP/1.1 200 O", b"k" * 1000, Result.RESET),
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 1000, Result.RESET),
        (b"HTTP/1.1 200 OK\r\nX", b"x" * 1000, Result.RESET),
        (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 100, Result.RESET),
        (CHUNKED + b"0\r\nX: ", b"x" * 1000, Result.RESET),
        (CHUNKED + b"0\r\n", b"X: y\r\n" * 100, Result.RESET),
        (CHUNKED + b"1;", b"x" * 1000, Result.RESET),
        (CHUNKED + b"1;a=1\r\nx\r\n1;", b"x" * 1000, Result.RESET),
        (HINT, HINT * 20, Result.TIMEOUT),
        (b"", b"\r\n" * 500, Result.RESET),
        (CHUNKED.replace(b"200", b"503"), b"1\r\nx\r\n", Result.TIMEOUT),
    ],
)
def test_an_answer_that_never_ends_is_over_in_time_and_costs_little_memory(start, more, expected):
    async def main():
        async with bed() as here:
            peer, _ = await here.rested()
            peer.setblocking(False)
            loop = asyncio.get_running_loop()
            began = loop.time()
            here.send(timeout_s=0.5)
            assert await loop.sock_recv(peer, 1000) == DATA
            sent = 0
            tracemalloc.start()
            with contextlib.suppress(ConnectionError):
                await loop.sock_sendall(peer, start)
                while sent < 100_000_000:
                    await loop.sock_sendall(peer, more)
                    sent += len(more)
                    await asyncio.sleep(0)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert await here.end() == [expected]
            assert here.pool.unreadable == (expected is Result.RESET)
            assert peak < 2_000_000
            if expected is Result.RESET:
                assert sent < 2_000_000
            else:
                assert loop.time() - began >= 0.5
            await until(lambda: not here.pool.size)

    asyncio.run(main())


@pytest.mark.parametrize(
    "part", [b"", HALF, LENGTH, LENGTH + b"do", CHUNKED + b"4\r\n", HINT, CLOSE + b"done"]
)
def test_a_server_that_hangs_within_its_answer_times_out(part):
    async def main():
        async with bed() as here:
            peer, _ = await here.rested()
            here.send(timeout_s=0.2)
            assert await heard(peer) == DATA
            peer.sendall(part)
            assert await here.end() == [Result.TIMEOUT]
            assert await heard(peer) == b""
            await until(lambda: not here.pool.size)

    asyncio.run(main())
