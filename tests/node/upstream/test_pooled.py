"""Races on pooled connections: a raw server socket acts between two steps of the node."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.http.client_connection import ClientConnection
from tests.support.loopback import http_response, wait_until
from tests.support.pool_environment import (
    LARGE_SIZE,
    REQUEST,
    SERVER_ACTIONS,
    PausingSink,
    RecordingSource,
    close_socket,
    perform,
    pool_environment,
    receive,
)


def test_connection_reads_again_after_its_body_was_paused_at_the_last_byte():
    """A slow client can pause reading at the last bytes of a response; nothing would resume it then."""

    async def main():
        async with pool_environment() as env:
            server = await env.receive_request()
            server.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (HIGH_WATER_BYTES + 1))
            server.sendall(bytes(HIGH_WATER_BYTES))
            await env.wait_for_results()
            sink = PausingSink(env.responses[0].stream)
            assert sink.size
            sink.body.resume()  # the client has read the first part
            server.sendall(b"x")
            await wait_until(lambda: sink.calls == ["end"])
            assert sink.size == HIGH_WATER_BYTES + 1
            (connection,) = env.idle
            assert connection._transport.is_reading()
            connection.idle_since -= 1.0
            env.send()
            assert await receive(server) == REQUEST
            server.sendall(http_response())
            assert await env.wait_for_results(2) == [AttemptResult.OK, AttemptResult.OK]

    asyncio.run(main())


# ------------------------------------------------------------ reuse of an idle connection


@pytest.mark.parametrize("action", SERVER_ACTIONS)
@pytest.mark.parametrize("delivered", [True, False])  # by the event loop
def test_request_avoids_idle_connection_after_server_action(action, delivered):
    async def main():
        async with pool_environment() as env:
            server, connection = await env.open_idle()
            perform(server, action, connection)
            if delivered:
                await wait_until(lambda: not env.pool.connection_count)
            env.send()
            second = await env.accept()
            assert await receive(second) == REQUEST
            second.sendall(http_response())
            assert await env.wait_for_results() == [AttemptResult.OK]
            assert env.responses[0].body == b"done"
            if action in ("partial response", "second response"):  # the first connection got no request
                assert await receive(server) == b""
            await wait_until(lambda: env.pool.connection_count == 1)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        ("close", AttemptResult.RESET),
        ("reset", AttemptResult.CONNECT_FAILED),
        ("partial response", AttemptResult.RESET),
    ],
)
def test_data_between_the_last_check_and_the_write_is_not_taken_for_a_response(action, expected):
    """A reset fails the write, so nothing was sent. After a close the bytes are sent: possibly executed."""

    async def main():
        async with pool_environment() as env:
            server, connection = await env.open_idle()

            def encode_request(timeout_s: float) -> bytes:
                perform(server, action, connection)
                return REQUEST

            env.pool.start_attempt("s", encode_request, 20.0, lambda result, _: env.results.append(result))
            if action == "partial response":
                server.sendall(http_response())
            assert await env.wait_for_results() == [expected]
            await wait_until(lambda: not env.pool.connection_count)

    asyncio.run(main())


@pytest.mark.parametrize("action", ["close", "reset", "partial response"])
def test_connection_end_after_the_write_counts_as_possibly_executed(action):
    async def main():
        async with pool_environment() as env:
            server, connection = await env.open_idle()
            env.send()
            perform(server, action, connection)
            if action == "partial response":
                close_socket(server, reset=True)
            assert await env.wait_for_results() == [AttemptResult.RESET]
            await wait_until(lambda: not env.pool.connection_count)

    asyncio.run(main())


@pytest.mark.parametrize("action", SERVER_ACTIONS)
def test_server_action_on_new_connection_leaves_request_unsent(action, monkeypatch):
    """Regression: a close before the write was reported as RESET, although the request was never sent."""

    async def main():
        async with pool_environment() as env:
            original = ClientConnection.connection_made

            def connection_made(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
                original(self, transport)
                server, _ = env.listener.accept()
                env.servers.append(server)
                perform(server, action, self)

            monkeypatch.setattr(ClientConnection, "connection_made", connection_made)
            env.send()
            assert await env.wait_for_results() == [AttemptResult.CONNECT_FAILED]
            await wait_until(lambda: not env.pool.connection_count)
            if action in ("partial response", "second response"):
                assert await receive(env.servers[0]) == b""

    asyncio.run(main())


@pytest.mark.parametrize("action", ["cancel", "remove"])
def test_connection_that_opens_as_its_attempt_ends_is_closed_unused(action, monkeypatch):
    async def main():
        async with pool_environment() as env:
            original = ClientConnection.connection_made

            def connection_made(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
                original(self, transport)
                (attempt,) = env.pool._endpoints["s"].waiting
                env.pool.remove_endpoint("s") if action == "remove" else attempt.cancel()

            monkeypatch.setattr(ClientConnection, "connection_made", connection_made)
            env.send()
            server = await env.accept()
            assert await env.wait_for_results() == [
                AttemptResult.CONNECT_FAILED if action == "remove" else AttemptResult.CANCELLED
            ]
            await wait_until(lambda: not env.pool.connection_count)
            assert await receive(server) == b""

    asyncio.run(main())


# ----------------------------------------------------- before the request is complete


def test_close_before_the_last_byte_is_written_stops_the_request():
    """Regression: the rest was still written to a server that had half-closed, which then executed it."""

    async def main():
        async with pool_environment() as env:
            env.send(data=bytes(LARGE_SIZE))
            server = await env.accept()
            size = len(await receive(server))  # the node has started writing
            server.shutdown(socket.SHUT_WR)
            while data := await receive(server, 1_000_000):
                size += len(data)
            assert size < LARGE_SIZE
            assert await env.wait_for_results() == [AttemptResult.CONNECT_FAILED]
            await wait_until(lambda: not env.pool.connection_count)

    asyncio.run(main())


def test_head_larger_than_the_socket_buffers_pauses_the_body():
    async def main():
        async with pool_environment() as env:
            env.send(data=bytes(LARGE_SIZE), body=Body(source := RecordingSource()))
            server = await env.accept()
            await wait_until(lambda: source.calls)
            assert source.calls == ["pause"]
            size = 0
            while size < LARGE_SIZE and (data := await receive(server, 1_000_000)):
                size += len(data)
            assert size == LARGE_SIZE
            await wait_until(lambda: source.calls[-1] == "resume")

    asyncio.run(main())


@pytest.mark.parametrize("body_ends", ["after", "before"])  # after or before the end of this response
def test_200_that_starts_before_the_request_is_complete_is_rejected(body_ends):
    """Servers respond after the last byte. A late second response must not be taken for this request's."""

    async def main():
        async with pool_environment() as env:
            server, connection = await env.open_idle()
            env.send(body=(body := Body(RecordingSource())))
            assert await receive(server) == REQUEST
            response = http_response(200, b"stray")
            server.sendall(response[:-1] if body_ends == "before" else response)
            await wait_until(lambda: connection.last_data_at > connection.upload_progress_at or env.results)
            body.feed(b"x")
            body.end()
            if body_ends == "before":
                with contextlib.suppress(OSError):
                    server.sendall(response[-1:])
            assert await env.wait_for_results() == [AttemptResult.CONNECT_FAILED]
            await wait_until(lambda: not env.pool.connection_count)

    asyncio.run(main())


def test_early_rejection_is_reported_and_stops_the_upload():
    async def main():
        async with pool_environment() as env:
            env.send(body=(body := Body(source := RecordingSource())))
            server = await env.accept()
            assert await receive(server) == REQUEST
            server.sendall(http_response(503, Srv_Declined="1"))
            assert await env.wait_for_results() == [AttemptResult.REJECTED]
            body.feed(b"x")
            body.end()
            assert await receive(server) == b""
            assert "abandon" not in source.calls  # a retry can replay the body
            await wait_until(lambda: not env.pool.connection_count)

    asyncio.run(main())


def test_ended_body_no_longer_pauses_its_source():
    """Regression: reading stayed paused, so a client's disconnect went undetected during the upload."""

    async def main():
        async with pool_environment() as env:
            body = Body(source := RecordingSource())
            body.feed(b"x")
            env.send(data=bytes(LARGE_SIZE), body=body)
            body.end()  # while the attempt connects
            server = await env.accept()
            assert await receive(server)
            assert "pause" not in source.calls
            close_socket(server, reset=True)
            assert await env.wait_for_results() == [AttemptResult.CONNECT_FAILED]

    asyncio.run(main())


def test_early_response_followed_by_reset_is_reported_as_never_executed():
    async def main():
        async with pool_environment() as env:
            env.send(body=(body := Body(RecordingSource())))
            server = await env.accept()
            assert await receive(server) == REQUEST
            (connection,) = env.pool._connections
            server.sendall(http_response(500))
            perform(server, "reset", connection)
            body.feed(b"x")  # the write fails, which also discards the unread response
            body.end()
            assert await env.wait_for_results() == [AttemptResult.CONNECT_FAILED]
            await wait_until(lambda: not env.pool.connection_count)

    asyncio.run(main())
