"""Attempts and pooled connections against scripted servers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.client_connection import ClientConnection
from loadbalancer.node.http.response import Response
from loadbalancer.node.http.socket_buffer import readable
from loadbalancer.node.upstream.pool import ConnectionPool
from tests.support.loopback import (
    BlockedServer,
    Message,
    StubServer,
    http_response,
    stalled_listener,
    wait_until,
)
from tests.support.ports import free_port

REQUEST = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"


def new_pool(**options: float) -> ConnectionPool:
    given = {"limit": 10, "endpoint_idle_s": 10.0, "connect_timeout_s": 20.0} | options
    return ConnectionPool(int(given["limit"]), given["endpoint_idle_s"], given["connect_timeout_s"])


async def attempt_result(
    pool: ConnectionPool, timeout_s: float = 20.0, data: bytes = REQUEST
) -> AttemptResult:
    done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    # set_result raises on a second result, so each attempt must report exactly one
    pool.start_attempt("s", lambda wait: data, timeout_s, lambda result, response: done.set_result(result))
    return await done


def stub_server(response: bytes | None) -> StubServer:
    async def script(message: Message) -> bytes | None:
        return response

    return StubServer(script)


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (http_response(200), AttemptResult.OK),
        (http_response(500), AttemptResult.ERROR),
        (http_response(503, Srv_Declined="1"), AttemptResult.REJECTED),
        (http_response(504, Srv_Declined="1"), AttemptResult.REJECTED),
        (http_response(503), AttemptResult.ERROR),
        (http_response(504), AttemptResult.ERROR),
        (http_response(418), AttemptResult.ERROR),
        (http_response(200, Srv_Declined="1"), AttemptResult.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + http_response(200), AttemptResult.OK),
        (None, AttemptResult.RESET),
        (b"not http at all\r\n\r\n", AttemptResult.RESET),
    ],
)
def test_response_is_classified_by_status_and_rejection_header(response, expected):
    async def main():
        server, pool = await stub_server(response).start(), new_pool()
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        assert await attempt_result(pool) is expected
        assert len(server.requests) == 1  # the pool never retries by itself
        pool.close()
        server.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("response", "malformed"),
    [
        (None, 0),
        (b"ICY 200 OK\r\nContent-Length: 0\r\n\r\n", 1),
        (b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 1),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n", 1),
        (b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppp\r\n" * 2000, 1),
    ],
)
def test_malformed_responses_count_as_possibly_executed(response, malformed):
    async def main():
        server, pool = await stub_server(response).start(), new_pool()
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        assert await attempt_result(pool) is AttemptResult.RESET
        assert pool.malformed_responses == malformed
        server.stop()
        pool.close()

    asyncio.run(main())


def test_response_trailers_are_not_headers_and_may_follow_a_long_body():
    async def main():
        trailers = b"0\r\nSrv-Declined: 1\r\nX-Sum: 1\r\n\r\n"
        body = b"7530\r\n" + b"x" * 30_000 + b"\r\n"
        server = await stub_server(
            b"HTTP/1.1 503 Word\r\nTransfer-Encoding: chunked\r\n\r\n" + body + trailers
        ).start()
        pool = new_pool()
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        assert await attempt_result(pool) is AttemptResult.ERROR  # not REJECTED
        server.stop()
        pool.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("head", "size", "reset", "expected"),
    [
        (b"Connection: close", 5, False, AttemptResult.OK),
        (b"connection: Close", 0, False, AttemptResult.OK),
        (b"Connection: close", 5, True, AttemptResult.RESET),  # a reset doesn't complete the response
        (b"Server: x", 5, False, AttemptResult.RESET),  # the close was not announced
        (b"Connection: close\r\nContent-Length: 9", 5, False, AttemptResult.RESET),
        (b"Connection: close\r\nTransfer-Encoding: chunked", 0, False, AttemptResult.RESET),
    ],
)
def test_response_without_length_ends_with_an_announced_close(head, size, reset, expected):
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + b"x" * size)
            await writer.drain()
            if reset:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = new_pool()
        pool.set_endpoint("s", server.sockets[0].getsockname())
        assert await attempt_result(pool) is expected
        await wait_until(lambda: not pool.connection_count)
        server.close()

    asyncio.run(main())


def test_truncated_200_is_a_reset():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = new_pool()
        pool.set_endpoint("s", server.sockets[0].getsockname())
        assert await attempt_result(pool) is AttemptResult.RESET
        server.close()

    asyncio.run(main())


def test_refused_connection_is_connect_failed():
    async def main():
        address = ("127.0.0.1", free_port())
        pool = new_pool()
        pool.set_endpoint("s", address)
        assert await attempt_result(pool) is AttemptResult.CONNECT_FAILED
        await wait_until(lambda: not pool.connection_count)

    asyncio.run(main())


def test_silent_server_times_out_and_connection_is_closed():
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            pool = new_pool()
            pool.set_endpoint("s", listener.getsockname())
            assert await attempt_result(pool, timeout_s=0.2) is AttemptResult.TIMEOUT
            server_socket, _ = listener.accept()
            with server_socket:
                assert server_socket.recv(1000) == REQUEST
                await asyncio.sleep(0)  # asyncio closes the socket in the next loop iteration
                server_socket.settimeout(20)
                assert server_socket.recv(1000) == b""

    asyncio.run(main())


def test_reset_before_the_last_byte_is_written_is_connect_failed():
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            pool = new_pool()
            pool.set_endpoint("s", listener.getsockname())
            outcome = asyncio.create_task(attempt_result(pool, data=b"x" * 30_000_000))
            loop = asyncio.get_running_loop()
            listener.setblocking(False)
            server_socket, _ = await loop.sock_accept(listener)
            server_socket.setblocking(False)
            await loop.sock_recv(server_socket, 1000)
            server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            server_socket.close()
            assert await outcome is AttemptResult.CONNECT_FAILED

    asyncio.run(main())


class RecordingExchange:
    def __init__(self) -> None:
        self.calls: list[object] = []

    def on_response(self, response: Response) -> None:
        self.calls.append(response)

    def on_connection_lost(self, written: bool) -> None:
        self.calls.append(written)


@contextlib.asynccontextmanager
async def connection_pair():
    """A connection and the raw server socket at its other end, which needs no event loop."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(lambda _: None), *listener.getsockname()
        )
        server_socket, _ = listener.accept()
        with server_socket:
            yield connection, server_socket
        connection.abort()


def test_write_that_fails_at_once_counts_as_not_written():
    async def main():
        async with connection_pair() as (connection, server_socket):
            server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            server_socket.close()
            while not readable(connection._transport):
                pass
            exchange = RecordingExchange()
            connection.start(REQUEST, exchange)
            while not exchange.calls:
                await asyncio.sleep(0)
            assert exchange.calls == [False]

    asyncio.run(main())


def test_undelivered_close_makes_connection_unusable():
    async def main():
        async with connection_pair() as (connection, server_socket):
            assert connection.usable
            server_socket.close()
            while not readable(connection._transport):
                pass
            assert not connection.usable  # the event loop has not delivered the close yet

    asyncio.run(main())


@pytest.mark.parametrize(
    "response", [http_response(200, Connection="close"), http_response(200) + b"more", http_response(200) * 2]
)
def test_connection_that_closes_or_has_extra_bytes_is_not_reused(response):
    async def main():
        server, pool = await stub_server(response).start(), new_pool()
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        assert [await attempt_result(pool) for _ in range(2)] == [AttemptResult.OK, AttemptResult.OK]
        assert server.connections == 2
        pool.close()
        server.stop()

    asyncio.run(main())


def test_second_response_during_reuse_delay_closes_the_connection(monkeypatch):
    """Regression: a second response some milliseconds later was taken for the next request's response."""
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 20.0)

    async def main():
        server, pool = await StubServer().start(), new_pool(endpoint_idle_s=100.0)
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        assert [await attempt_result(pool) for _ in range(2)] == [AttemptResult.OK, AttemptResult.OK]
        assert (server.connections, pool.connection_count) == (2, 2)
        server._writers[0].write(http_response())  # the second response
        await wait_until(lambda: pool.connection_count == 1)
        for connection in pool._endpoints["s"].idle:
            connection.idle_since -= 20.0
        assert await attempt_result(pool) is AttemptResult.OK
        assert server.connections == 2
        pool.close()
        server.stop()

    asyncio.run(main())


def test_newest_idle_connection_is_reused_first_and_expired_one_never(monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        server, pool = await StubServer().start(), new_pool()
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        await asyncio.gather(attempt_result(pool), attempt_result(pool))
        assert server.connections == 2
        idle = pool._endpoints["s"].idle
        old, new = idle
        assert pool.acquire_idle(pool._endpoints["s"]) is new
        pool.release(pool._endpoints["s"], new)
        for connection in idle:  # half of the server's idle timeout of 10 s has passed
            connection.idle_since -= 5.0
        assert await attempt_result(pool) is AttemptResult.OK
        assert server.connections == 3
        assert old._transport.is_closing()
        assert new._transport.is_closing()
        pool.close()
        server.stop()

    asyncio.run(main())


def test_idle_connections_are_closed_before_the_server_closes_them():
    async def main():
        server, pool = await StubServer().start(), new_pool(endpoint_idle_s=0.1)
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        await attempt_result(pool)
        await wait_until(lambda: not pool.connection_count)
        pool.close()
        server.stop()

    asyncio.run(main())


def test_connection_that_never_opens_is_connect_failed():
    async def main():
        with stalled_listener() as listener:
            pool = new_pool(connect_timeout_s=0.1)
            pool.set_endpoint("s", listener.getsockname())
            assert await attempt_result(pool) is AttemptResult.CONNECT_FAILED
            pool = new_pool()
            pool.set_endpoint("s", listener.getsockname())
            assert await attempt_result(pool, timeout_s=0.1) is AttemptResult.CONNECT_FAILED  # not sent

    asyncio.run(main())


def test_pool_without_keep_alive_closes_idle_connections_and_retains_none():
    async def main():
        server, pool = await StubServer().start(), new_pool()
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        assert await attempt_result(pool) is AttemptResult.OK
        assert pool.connection_count == 1
        pool.disable_keep_alive()
        await wait_until(lambda: not pool.connection_count)
        assert await attempt_result(pool) is AttemptResult.OK  # new attempts are still possible
        await wait_until(lambda: not pool.connection_count)
        server.stop()
        pool.close()

    asyncio.run(main())


def test_removed_endpoint_ends_connecting_attempts_and_accepts_no_more():
    async def main():
        with stalled_listener() as listener:
            pool = new_pool()
            pool.set_endpoint("s", listener.getsockname())
            outcome = asyncio.create_task(attempt_result(pool))
            await wait_until(lambda: pool.connection_count)
            pool.remove_endpoint("s")
            assert await outcome is AttemptResult.CONNECT_FAILED
            await wait_until(lambda: not pool.connection_count)
            assert pool.start_attempt("s", lambda wait: REQUEST, 1.0, lambda *_: None) is None

    asyncio.run(main())


def test_in_flight_attempt_completes_after_endpoint_is_removed():
    async def main():
        server, pool = BlockedServer(), new_pool()
        await server.start()
        pool.set_endpoint("s", ("127.0.0.1", server.port))
        outcome = asyncio.create_task(attempt_result(pool))
        await wait_until(lambda: server.requests)
        pool.remove_endpoint("s")
        server.release.set()
        assert await outcome is AttemptResult.OK
        await asyncio.sleep(0)
        assert pool.connection_count == 0  # its connection is not retained
        server.stop()

    asyncio.run(main())


def test_pool_at_its_limit_closes_idle_connections_first():
    async def main():
        quiet, busy, pool = await StubServer().start(), BlockedServer(), new_pool(limit=2)
        await busy.start()
        pool.set_endpoint("s", ("127.0.0.1", quiet.port))
        assert await attempt_result(pool) is AttemptResult.OK
        pool.set_endpoint("s2", ("127.0.0.1", busy.port))
        results: list[AttemptResult] = []
        for _ in range(3):
            pool.start_attempt("s2", lambda wait: REQUEST, 20.0, lambda result, _: results.append(result))
        assert pool._endpoints["s"].idle == []
        await wait_until(lambda: results)
        assert results == [AttemptResult.CONNECT_FAILED]  # the third attempt: all connections are busy
        busy.release.set()
        await wait_until(lambda: len(results) == 3)
        assert results[1:] == [AttemptResult.OK, AttemptResult.OK]
        pool.close()
        quiet.stop()
        busy.stop()

    asyncio.run(main())


@pytest.mark.parametrize("read", [False, True])
def test_request_in_write_buffer_counts_as_written_once_it_is_sent(read):
    async def main():
        async with connection_pair() as (connection, server_socket):
            transport = connection._transport
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
            while not transport.get_write_buffer_size():  # until the kernel takes no more
                transport.write(b"x" * 1000)
            connection.start(REQUEST, exchange := RecordingExchange())
            assert 0 < transport.get_write_buffer_size() <= 1000 + len(REQUEST)
            server_socket.setblocking(False)
            while read and transport.get_write_buffer_size():
                with contextlib.suppress(BlockingIOError):
                    server_socket.recv(1_000_000)
                await asyncio.sleep(0)
            server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            server_socket.close()
            await wait_until(lambda: exchange.calls)
            assert exchange.calls == [read]

    asyncio.run(main())
