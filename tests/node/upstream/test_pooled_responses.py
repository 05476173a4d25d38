"""How responses end on a pooled connection, and what is reported for incomplete ones."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc

import pytest

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.body import HIGH_WATER_BYTES
from tests.support.loopback import http_response, wait_until
from tests.support.pool_environment import (
    PARTIAL_HEAD,
    REQUEST,
    PausingSink,
    perform,
    pool_environment,
    receive,
)

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
WITH_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
HTTP_1_0 = b"HTTP/1.0 200 OK\r\n\r\n"
HTTP_1_0_KEEP_ALIVE = b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Hint\r\nLink: x\r\n\r\n"


@pytest.mark.parametrize(
    ("response", "after_close", "after_reset"),
    [
        # complete: data after it changes nothing
        (WITH_LENGTH + b"done", AttemptResult.OK, AttemptResult.OK),
        (CHUNKED + b"4\r\ndone\r\n0\r\n\r\n", AttemptResult.OK, AttemptResult.OK),
        (WITH_LENGTH + b"done" + PARTIAL_HEAD, AttemptResult.OK, AttemptResult.OK),
        (WITH_LENGTH + b"done" + http_response(500), AttemptResult.OK, AttemptResult.OK),
        (http_response(503, b"x" * 5, Srv_Declined="1"), AttemptResult.REJECTED, AttemptResult.REJECTED),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n" + EARLY_HINTS * 3 + WITH_LENGTH + b"done",
            AttemptResult.OK,
            AttemptResult.OK,
        ),
        (b"HTTP/1.1 204 None\r\nContent-Length: 4\r\n\r\n", AttemptResult.ERROR, AttemptResult.ERROR),
        (b"HTTP/1.1 304 Same\r\nContent-Length: 4\r\n\r\n", AttemptResult.ERROR, AttemptResult.ERROR),
        # completed by the close of the connection if that was announced; not by a reset
        (WITH_CLOSE + b"done", AttemptResult.OK, AttemptResult.RESET),
        (WITH_CLOSE, AttemptResult.OK, AttemptResult.RESET),
        (UNFRAMED + b"done", AttemptResult.RESET, AttemptResult.RESET),
        (HTTP_1_0 + b"done", AttemptResult.OK, AttemptResult.RESET),
        (HTTP_1_0_KEEP_ALIVE + b"done", AttemptResult.RESET, AttemptResult.RESET),
        # incomplete
        (b"", AttemptResult.RESET, AttemptResult.RESET),
        (PARTIAL_HEAD, AttemptResult.RESET, AttemptResult.RESET),
        (WITH_LENGTH[:-2], AttemptResult.RESET, AttemptResult.RESET),
        (WITH_LENGTH + b"don", AttemptResult.RESET, AttemptResult.RESET),
        (CHUNKED + b"4\r\ndo", AttemptResult.RESET, AttemptResult.RESET),
        (CHUNKED + b"4\r\ndone\r\n", AttemptResult.RESET, AttemptResult.RESET),
        (CHUNKED + b"4\r\ndone\r\n0\r\n", AttemptResult.RESET, AttemptResult.RESET),
        (EARLY_HINTS, AttemptResult.RESET, AttemptResult.RESET),
        (b"HTTP/1.1 103 Hint\r\nConnection: close\r\n\r\n", AttemptResult.RESET, AttemptResult.RESET),
        (
            b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
            AttemptResult.RESET,
            AttemptResult.RESET,
        ),
    ],
)
@pytest.mark.parametrize("reset", [False, True])
def test_response_and_connection_end_in_the_same_loop_iteration(response, after_close, after_reset, reset):
    async def main():
        async with pool_environment() as env:
            server, connection = await env.open_idle()
            env.send()
            assert await receive(server) == REQUEST
            server.sendall(response)
            perform(server, "reset" if reset else "close", connection)
            assert await env.wait_for_results() == [after_reset if reset else after_close]
            await wait_until(lambda: not env.pool.connection_count)
            assert not env.idle

    asyncio.run(main())


LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n"


@pytest.mark.parametrize("response", [LONG_HEAD, CHUNKED + b"999999\r\n", WITH_CLOSE])
def test_reset_streamed_response_fails_for_a_slow_reader_too(response):
    async def main():
        async with pool_environment() as env:
            server, connection = await env.open_idle()
            env.send()
            assert await receive(server) == REQUEST
            server.sendall(response + bytes(HIGH_WATER_BYTES + 1))
            await env.wait_for_results()
            sink = PausingSink(env.responses[0].stream)
            assert not connection._transport.is_reading()
            server.sendall(b"x")
            perform(server, "reset", connection)
            assert sink.calls == []
            sink.body.resume()
            await wait_until(lambda: sink.size == HIGH_WATER_BYTES + 2)  # the byte sent before the reset
            sink.body.resume()
            await wait_until(lambda: sink.calls == ["fail"])
            assert env.results == [AttemptResult.OK]
            await wait_until(lambda: not env.pool.connection_count)

    asyncio.run(main())


def test_response_found_malformed_before_its_start_is_not_streamed():
    """Regression: the client received the start of a 200, although a retry was still possible."""

    async def main():
        async with pool_environment() as env:
            server, connection = await env.open_idle()
            env.send()
            assert await receive(server) == REQUEST
            size = HIGH_WATER_BYTES + 1
            server.sendall(CHUNKED + b"%x\r\n" % size + bytes(size - 10))
            await wait_until(lambda: connection._body_size == size - 10)
            server.sendall(bytes(10) + b"\r\nno length\r\n")
            assert await env.wait_for_results() == [AttemptResult.RESET]
            assert env.pool.malformed_responses == 1

    asyncio.run(main())


# ---------------------------------------------------------- responses that never end


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
        (EARLY_HINTS, EARLY_HINTS * 20, AttemptResult.TIMEOUT),
        (b"", b"\r\n" * 500, AttemptResult.RESET),
        (CHUNKED.replace(b"200", b"503"), b"1\r\nx\r\n", AttemptResult.TIMEOUT),
    ],
)
def test_endless_response_ends_in_time_and_uses_little_memory(start, more, expected):
    async def main():
        async with pool_environment() as env:
            server, _ = await env.open_idle()
            server.setblocking(False)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            env.send(timeout_s=0.5)
            assert await loop.sock_recv(server, 1000) == REQUEST
            sent = 0
            tracemalloc.start()
            with contextlib.suppress(ConnectionError):
                await loop.sock_sendall(server, start)
                while sent < 100_000_000:
                    await loop.sock_sendall(server, more)
                    sent += len(more)
                    await asyncio.sleep(0)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert await env.wait_for_results() == [expected]
            assert env.pool.malformed_responses == (expected is AttemptResult.RESET)
            assert peak < 2_000_000
            if expected is AttemptResult.RESET:
                assert sent < 2_000_000
            else:
                assert loop.time() - started_at >= 0.5
            await wait_until(lambda: not env.pool.connection_count)

    asyncio.run(main())


@pytest.mark.parametrize(
    "part",
    [
        b"",
        PARTIAL_HEAD,
        WITH_LENGTH,
        WITH_LENGTH + b"do",
        CHUNKED + b"4\r\n",
        EARLY_HINTS,
        WITH_CLOSE + b"done",
    ],
)
def test_server_that_hangs_within_its_response_times_out(part):
    async def main():
        async with pool_environment() as env:
            server, _ = await env.open_idle()
            env.send(timeout_s=0.2)
            assert await receive(server) == REQUEST
            server.sendall(part)
            assert await env.wait_for_results() == [AttemptResult.TIMEOUT]
            assert await receive(server) == b""
            await wait_until(lambda: not env.pool.connection_count)

    asyncio.run(main())
