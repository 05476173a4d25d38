"""How answers end, and what is told of those that do not, on a pooled connection before a raw socket."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc

import pytest

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.body import HIGH_WATER_BYTES
from tests.support.loopback import http_response, wait_until
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
        (LENGTH + b"done", AttemptResult.OK, AttemptResult.OK),
        (CHUNKED + b"4\r\ndone\r\n0\r\n\r\n", AttemptResult.OK, AttemptResult.OK),
        (LENGTH + b"done" + HALF, AttemptResult.OK, AttemptResult.OK),
        (LENGTH + b"done" + http_response(500), AttemptResult.OK, AttemptResult.OK),
        (http_response(503, b"x" * 5, Srv_Declined="1"), AttemptResult.REJECTED, AttemptResult.REJECTED),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + HINT * 3 + LENGTH + b"done", AttemptResult.OK, AttemptResult.OK),
        (b"HTTP/1.1 204 None\r\nContent-Length: 4\r\n\r\n", AttemptResult.ERROR, AttemptResult.ERROR),
        (b"HTTP/1.1 304 Same\r\nContent-Length: 4\r\n\r\n", AttemptResult.ERROR, AttemptResult.ERROR),
        # whole with the connection's end, if that was announced; a reset is no end
        (CLOSE + b"done", AttemptResult.OK, AttemptResult.RESET),
        (CLOSE, AttemptResult.OK, AttemptResult.RESET),
        (BARE + b"done", AttemptResult.RESET, AttemptResult.RESET),
        (OLD + b"done", AttemptResult.OK, AttemptResult.RESET),
        (OLD_KEPT + b"done", AttemptResult.RESET, AttemptResult.RESET),
        # never whole
        (b"", AttemptResult.RESET, AttemptResult.RESET),
        (HALF, AttemptResult.RESET, AttemptResult.RESET),
        (LENGTH[:-2], AttemptResult.RESET, AttemptResult.RESET),
        (LENGTH + b"don", AttemptResult.RESET, AttemptResult.RESET),
        (CHUNKED + b"4\r\ndo", AttemptResult.RESET, AttemptResult.RESET),
        (CHUNKED + b"4\r\ndone\r\n", AttemptResult.RESET, AttemptResult.RESET),
        (CHUNKED + b"4\r\ndone\r\n0\r\n", AttemptResult.RESET, AttemptResult.RESET),
        (HINT, AttemptResult.RESET, AttemptResult.RESET),
        (b"HTTP/1.1 103 Hint\r\nConnection: close\r\n\r\n", AttemptResult.RESET, AttemptResult.RESET),
        (
            b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
            AttemptResult.RESET,
            AttemptResult.RESET,
        ),
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
            await wait_until(lambda: not here.pool.connection_count)
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
            peer.sendall(answer + bytes(HIGH_WATER_BYTES + 1))
            await here.end()
            sink = Full(here.answers[0].stream)
            assert not connection._transport.is_reading()
            peer.sendall(b"x")
            act(peer, "reset", connection)
            assert sink.said == []
            sink.body.resume()
            await wait_until(lambda: sink.size == HIGH_WATER_BYTES + 2)  # what had come before the reset
            sink.body.resume()
            await wait_until(lambda: sink.said == ["broken"])
            assert here.ends == [AttemptResult.OK]
            await wait_until(lambda: not here.pool.connection_count)

    asyncio.run(main())


def test_an_answer_known_to_be_broken_is_not_begun():
    """Guard: its caller was given the start of a 200, though its request could still have gone elsewhere."""

    async def main():
        async with bed() as here:
            peer, connection = await here.rested()
            here.send()
            assert await heard(peer) == DATA
            size = HIGH_WATER_BYTES + 1
            peer.sendall(CHUNKED + b"%x\r\n" % size + bytes(size - 10))
            await wait_until(lambda: connection._body_size == size - 10)
            peer.sendall(bytes(10) + b"\r\nno length\r\n")
            assert await here.end() == [AttemptResult.RESET]
            assert here.pool.malformed_responses == 1

    asyncio.run(main())


# ---------------------------------------------------------- answers that never end


@pytest.mark.parametrize(
    ("start", "more", "expected"),
    [
        (b"HTTP/1.1 200 O", b"k" * 1000, AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 1000, AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\nX", b"x" * 1000, AttemptResult.RESET),
        (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 100, AttemptResult.RESET),
        (CHUNKED + b"0\r\nX: ", b"x" * 1000, AttemptResult.RESET),
        (CHUNKED + b"0\r\n", b"X: y\r\n" * 100, AttemptResult.RESET),
        (CHUNKED + b"1;", b"x" * 1000, AttemptResult.RESET),
        (CHUNKED + b"1;a=1\r\nx\r\n1;", b"x" * 1000, AttemptResult.RESET),
        (HINT, HINT * 20, AttemptResult.TIMEOUT),
        (b"", b"\r\n" * 500, AttemptResult.RESET),
        (CHUNKED.replace(b"200", b"503"), b"1\r\nx\r\n", AttemptResult.TIMEOUT),
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
            assert here.pool.malformed_responses == (expected is AttemptResult.RESET)
            assert peak < 2_000_000
            if expected is AttemptResult.RESET:
                assert sent < 2_000_000
            else:
                assert loop.time() - began >= 0.5
            await wait_until(lambda: not here.pool.connection_count)

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
            assert await here.end() == [AttemptResult.TIMEOUT]
            assert await heard(peer) == b""
            await wait_until(lambda: not here.pool.connection_count)

    asyncio.run(main())
