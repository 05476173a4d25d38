"""Attempts and pooled connections against scripted servers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.client_connection import ClientConnection, Response
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

DATA = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"


def pool(**more: float) -> ConnectionPool:
    given = {"limit": 10, "server_idle_s": 10.0, "connect_timeout_s": 20.0} | more
    return ConnectionPool(int(given["limit"]), given["server_idle_s"], given["connect_timeout_s"])


async def result(pool: ConnectionPool, timeout_s: float = 20.0, data: bytes = DATA) -> AttemptResult:
    done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    # set_result raises on a second result, and asyncio's debug mode is not needed to see it
    pool.start_attempt("s", lambda wait: data, timeout_s, lambda result, response: done.set_result(result))
    return await done


def against(answer: bytes | None) -> StubServer:
    async def script(message: Message) -> bytes | None:
        return answer

    return StubServer(script)


@pytest.mark.parametrize(
    ("answer", "expected"),
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
def test_what_comes_back_is_the_outcome_of_the_protocols_table(answer, expected):
    async def main():
        server, servers = await against(answer).start(), pool()
        servers.set_endpoint("s", ("127.0.0.1", server.port))
        assert await result(servers) is expected
        assert len(server.seen) == 1  # nothing is ever sent again by itself
        servers.close()
        server.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("answer", "unreadable"),
    [
        (None, 0),
        (b"ICY 200 OK\r\nContent-Length: 0\r\n\r\n", 1),
        (b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 1),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n", 1),
        (b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppp\r\n" * 2000, 1),
    ],
)
def test_answers_that_cannot_be_read_may_have_run_and_are_counted(answer, unreadable):
    async def main():
        server, servers = await against(answer).start(), pool()
        servers.set_endpoint("s", ("127.0.0.1", server.port))
        assert await result(servers) is AttemptResult.RESET
        assert servers.malformed_responses == unreadable
        server.stop()
        servers.close()

    asyncio.run(main())


def test_an_answers_trailers_are_neither_headers_nor_too_long_for_coming_after_a_body():
    async def main():
        trailers = b"0\r\nSrv-Declined: 1\r\nX-Sum: 1\r\n\r\n"
        body = b"7530\r\n" + b"x" * 30_000 + b"\r\n"
        server = await against(
            b"HTTP/1.1 503 Word\r\nTransfer-Encoding: chunked\r\n\r\n" + body + trailers
        ).start()
        servers = pool()
        servers.set_endpoint("s", ("127.0.0.1", server.port))
        assert await result(servers) is AttemptResult.ERROR  # and not turned away
        server.stop()
        servers.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("head", "size", "reset", "expected"),
    [
        (b"Connection: close", 5, False, AttemptResult.OK),
        (b"connection: Close", 0, False, AttemptResult.OK),
        (b"Connection: close", 5, True, AttemptResult.RESET),  # a break, not an end
        (b"Server: x", 5, False, AttemptResult.RESET),  # an end that was not announced
        (b"Connection: close\r\nContent-Length: 9", 5, False, AttemptResult.RESET),
        (b"Connection: close\r\nTransfer-Encoding: chunked", 0, False, AttemptResult.RESET),
    ],
)
def test_an_answer_of_no_length_ends_with_a_connection_that_was_said_to_close(head, size, reset, expected):
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
        servers = pool()
        servers.set_endpoint("s", server.sockets[0].getsockname())
        assert await result(servers) is expected
        await wait_until(lambda: not servers.connection_count)
        server.close()

    asyncio.run(main())


def test_a_200_cut_short_is_a_reset():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        servers = pool()
        servers.set_endpoint("s", server.sockets[0].getsockname())
        assert await result(servers) is AttemptResult.RESET
        server.close()

    asyncio.run(main())


def test_a_refused_connection_could_not_connect():
    async def main():
        address = ("127.0.0.1", free_port())
        servers = pool()
        servers.set_endpoint("s", address)
        assert await result(servers) is AttemptResult.CONNECT_FAILED
        await wait_until(lambda: not servers.connection_count)

    asyncio.run(main())


def test_silence_is_a_time_out_and_closes_the_connection():
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            servers = pool()
            servers.set_endpoint("s", listener.getsockname())
            assert await result(servers, timeout_s=0.2) is AttemptResult.TIMEOUT
            peer, _ = listener.accept()
            with peer:
                assert peer.recv(1000) == DATA
                await asyncio.sleep(0)  # asyncio closes the socket in the loop's next turn
                peer.settimeout(20)
                assert peer.recv(1000) == b""

    asyncio.run(main())


def test_a_break_before_the_last_byte_is_written_could_not_connect():
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            servers = pool()
            servers.set_endpoint("s", listener.getsockname())
            outcome = asyncio.create_task(result(servers, data=b"x" * 30_000_000))
            loop = asyncio.get_running_loop()
            listener.setblocking(False)
            peer, _ = await loop.sock_accept(listener)
            peer.setblocking(False)
            await loop.sock_recv(peer, 1000)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()
            assert await outcome is AttemptResult.CONNECT_FAILED

    asyncio.run(main())


class Recorded:
    def __init__(self) -> None:
        self.told: list[object] = []

    def on_response(self, response: Response) -> None:
        self.told.append(response)

    def on_connection_lost(self, written: bool) -> None:
        self.told.append(written)


@contextlib.asynccontextmanager
async def pair():
    """A connection and the raw socket at its other end, which acts without the event loop's help."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(lambda _: None), *listener.getsockname()
        )
        peer, _ = listener.accept()
        with peer:
            yield connection, peer
        connection.abort()


def test_a_write_that_fails_at_once_has_not_been_written():
    async def main():
        async with pair() as (connection, peer):
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()
            while not readable(connection._transport):
                pass
            exchange = Recorded()
            connection.start(DATA, exchange)
            while not exchange.told:
                await asyncio.sleep(0)
            assert exchange.told == [False]

    asyncio.run(main())


def test_an_end_still_in_the_kernel_makes_a_connection_unusable():
    async def main():
        async with pair() as (connection, peer):
            assert connection.usable
            peer.close()
            while not readable(connection._transport):
                pass
            assert not connection.usable  # the event loop has had no turn to say so

    asyncio.run(main())


@pytest.mark.parametrize(
    "answer", [http_response(200, Connection="close"), http_response(200) + b"more", http_response(200) * 2]
)
def test_a_connection_that_closes_or_has_bytes_left_over_is_not_used_again(answer):
    async def main():
        server, servers = await against(answer).start(), pool()
        servers.set_endpoint("s", ("127.0.0.1", server.port))
        assert [await result(servers) for _ in range(2)] == [AttemptResult.OK, AttemptResult.OK]
        assert server.connections == 2
        servers.close()
        server.stop()

    asyncio.run(main())


def test_a_connection_settles_before_its_next_request_and_closes_if_more_comes_meanwhile(monkeypatch):
    """Guard: a second answer that came some milliseconds late passed for the next request's."""
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 20.0)

    async def main():
        server, servers = await StubServer().start(), pool(server_idle_s=100.0)
        servers.set_endpoint("s", ("127.0.0.1", server.port))
        assert [await result(servers) for _ in range(2)] == [AttemptResult.OK, AttemptResult.OK]
        assert (server.connections, servers.connection_count) == (2, 2)
        server._writers[0].write(http_response())  # the second answer
        await wait_until(lambda: servers.connection_count == 1)
        for connection in servers._endpoints["s"].idle:
            connection.idle_since -= 20.0
        assert await result(servers) is AttemptResult.OK
        assert server.connections == 2
        servers.close()
        server.stop()

    asyncio.run(main())


def test_the_newest_idle_connection_is_used_first_and_an_old_one_never(monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        server, servers = await StubServer().start(), pool()
        servers.set_endpoint("s", ("127.0.0.1", server.port))
        await asyncio.gather(result(servers), result(servers))
        assert server.connections == 2
        idle = servers._endpoints["s"].idle
        old, new = idle
        assert servers.acquire_idle(servers._endpoints["s"]) is new
        servers.release(servers._endpoints["s"], new)
        for connection in idle:  # 5 of the server's 10 seconds have passed
            connection.idle_since -= 5.0
        assert await result(servers) is AttemptResult.OK
        assert server.connections == 3
        assert old._transport.is_closing()
        assert new._transport.is_closing()
        servers.close()
        server.stop()

    asyncio.run(main())


def test_idle_connections_are_closed_by_themselves_in_time():
    async def main():
        server, servers = await StubServer().start(), pool(server_idle_s=0.1)
        servers.set_endpoint("s", ("127.0.0.1", server.port))
        await result(servers)
        await wait_until(lambda: not servers.connection_count)
        servers.close()
        server.stop()

    asyncio.run(main())


def test_a_connection_that_never_comes_up_could_not_connect():
    async def main():
        with stalled_listener() as listener:
            servers = pool(connect_timeout_s=0.1)
            servers.set_endpoint("s", listener.getsockname())
            assert await result(servers) is AttemptResult.CONNECT_FAILED
            servers = pool()
            servers.set_endpoint("s", listener.getsockname())
            assert await result(servers, timeout_s=0.1) is AttemptResult.CONNECT_FAILED  # nor has it run

    asyncio.run(main())


def test_a_pool_that_retires_closes_what_is_idle_and_keeps_nothing_more():
    async def main():
        server, servers = await StubServer().start(), pool()
        servers.set_endpoint("s", ("127.0.0.1", server.port))
        assert await result(servers) is AttemptResult.OK
        assert servers.connection_count == 1
        servers.keep_no_idle()
        await wait_until(lambda: not servers.connection_count)
        assert await result(servers) is AttemptResult.OK  # what is still held may be sent on
        await wait_until(lambda: not servers.connection_count)
        server.stop()
        servers.close()

    asyncio.run(main())


def test_a_drain_gives_up_what_waits_to_connect_and_closes_idle_connections():
    async def main():
        with stalled_listener() as listener:
            servers = pool()
            servers.set_endpoint("s", listener.getsockname())
            outcome = asyncio.create_task(result(servers))
            await wait_until(lambda: servers.connection_count)
            servers.remove_endpoint("s")
            assert await outcome is AttemptResult.CONNECT_FAILED
            await wait_until(lambda: not servers.connection_count)
            assert servers.start_attempt("s", lambda wait: DATA, 1.0, lambda *_: None) is None

    asyncio.run(main())


def test_what_is_out_when_its_server_drains_is_still_answered():
    async def main():
        server, servers = BlockedServer(), pool()
        await server.start()
        servers.set_endpoint("s", ("127.0.0.1", server.port))
        outcome = asyncio.create_task(result(servers))
        await wait_until(lambda: server.seen)
        servers.remove_endpoint("s")
        server.release.set()
        assert await outcome is AttemptResult.OK
        await asyncio.sleep(0)
        assert servers.connection_count == 0  # its connection is not kept
        server.stop()

    asyncio.run(main())


def test_the_pool_keeps_to_its_limit_by_closing_idle_connections_first():
    async def main():
        quiet, busy, servers = await StubServer().start(), BlockedServer(), pool(limit=2)
        await busy.start()
        servers.set_endpoint("s", ("127.0.0.1", quiet.port))
        assert await result(servers) is AttemptResult.OK
        servers.set_endpoint("s2", ("127.0.0.1", busy.port))
        ends: list[AttemptResult] = []
        for _ in range(3):
            servers.start_attempt("s2", lambda wait: DATA, 20.0, lambda result, _: ends.append(result))
        assert servers._endpoints["s"].idle == []
        await wait_until(lambda: ends)
        assert ends == [AttemptResult.CONNECT_FAILED]  # the third: all are busy
        busy.release.set()
        await wait_until(lambda: len(ends) == 3)
        assert ends[1:] == [AttemptResult.OK, AttemptResult.OK]
        servers.close()
        quiet.stop()
        busy.stop()

    asyncio.run(main())


@pytest.mark.parametrize("read", [False, True])
def test_a_short_rest_in_asyncios_buffer_counts_as_written_once_it_has_left(read):
    async def main():
        async with pair() as (connection, peer):
            transport = connection._transport
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
            while not transport.get_write_buffer_size():  # until the kernel takes no more
                transport.write(b"x" * 1000)
            connection.start(DATA, exchange := Recorded())
            assert 0 < transport.get_write_buffer_size() <= 1000 + len(DATA)
            peer.setblocking(False)
            while read and transport.get_write_buffer_size():
                with contextlib.suppress(BlockingIOError):
                    peer.recv(1_000_000)
                await asyncio.sleep(0)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()
            await wait_until(lambda: exchange.told)
            assert exchange.told == [read]

    asyncio.run(main())
