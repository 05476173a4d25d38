"""Pooled connections at rare moments: what comes between two steps of the node, put there by a raw socket."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.http.client_connection import ClientConnection
from tests.support.loopback import http_response, wait_until
from tests.support.pooled import ACTS, BIG, DATA, Coming, Full, act, bed, close, heard


def test_a_connection_whose_last_answer_was_held_to_its_end_is_read_on():
    """A slow reader may stop the reading with the very last bytes; nobody would start it again."""

    async def main():
        async with bed() as here:
            peer = await here.asked()
            peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (HIGH_WATER_BYTES + 1))
            peer.sendall(bytes(HIGH_WATER_BYTES))
            await here.end()
            sink = Full(here.answers[0].stream)
            assert sink.size
            sink.body.resume()  # the reader has taken that
            peer.sendall(b"x")
            await wait_until(lambda: sink.said == ["end"])
            assert sink.size == HIGH_WATER_BYTES + 1
            (connection,) = here.idle
            assert connection._transport.is_reading()
            connection.idle_since -= 1.0
            here.send()
            assert await heard(peer) == DATA
            peer.sendall(http_response())
            assert await here.end(2) == [AttemptResult.OK, AttemptResult.OK]

    asyncio.run(main())


# ------------------------------------------------------------ as a connection is taken


@pytest.mark.parametrize("how", ACTS)
@pytest.mark.parametrize("seen", [True, False])  # by the event loop
def test_what_came_on_a_resting_connection_sends_the_request_on_another(how, seen):
    async def main():
        async with bed() as here:
            peer, connection = await here.rested()
            act(peer, how, connection)
            if seen:
                await wait_until(lambda: not here.pool.connection_count)
            here.send()
            second = await here.accept()
            assert await heard(second) == DATA
            second.sendall(http_response())
            assert await here.end() == [AttemptResult.OK]
            assert here.answers[0].body == b"done"
            if how in ("half", "second"):  # of the request nothing was sent here
                assert await heard(peer) == b""
            await wait_until(lambda: here.pool.connection_count == 1)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("how", "expected"),
    [("end", AttemptResult.RESET), ("reset", AttemptResult.CONNECT_FAILED), ("half", AttemptResult.RESET)],
)
def test_what_comes_between_the_last_look_and_the_write_never_passes_for_an_answer(how, expected):
    """A reset fails the write itself: nothing has left. After an end the bytes leave, so it may have run."""

    async def main():
        async with bed() as here:
            peer, connection = await here.rested()

            def data(wait: float) -> bytes:
                act(peer, how, connection)
                return DATA

            here.pool.start_attempt("s", data, 20.0, lambda result, _: here.ends.append(result))
            if how == "half":
                peer.sendall(http_response())
            assert await here.end() == [expected]
            await wait_until(lambda: not here.pool.connection_count)

    asyncio.run(main())


@pytest.mark.parametrize("how", ["end", "reset", "half"])
def test_what_comes_after_the_write_may_have_run(how):
    async def main():
        async with bed() as here:
            peer, connection = await here.rested()
            here.send()
            act(peer, how, connection)
            if how == "half":
                close(peer, reset=True)
            assert await here.end() == [AttemptResult.RESET]
            await wait_until(lambda: not here.pool.connection_count)

    asyncio.run(main())


@pytest.mark.parametrize("how", ACTS)
def test_what_comes_on_a_new_connection_before_the_request_leaves_it_unsent(how, monkeypatch):
    """Guard: an end that was there before the write made a reset of what had never run."""

    async def main():
        async with bed() as here:
            made = ClientConnection.connection_made

            def connection_made(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
                made(self, transport)
                peer, _ = here.listener.accept()
                here.peers.append(peer)
                act(peer, how, self)

            monkeypatch.setattr(ClientConnection, "connection_made", connection_made)
            here.send()
            assert await here.end() == [AttemptResult.CONNECT_FAILED]
            await wait_until(lambda: not here.pool.connection_count)
            if how in ("half", "second"):
                assert await heard(here.peers[0]) == b""

    asyncio.run(main())


@pytest.mark.parametrize("how", ["cancel", "remove"])
def test_a_connection_that_comes_up_as_its_attempt_is_given_up_is_closed_unused(how, monkeypatch):
    async def main():
        async with bed() as here:
            made = ClientConnection.connection_made

            def connection_made(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
                made(self, transport)
                (attempt,) = here.pool._endpoints["s"].waiting
                here.pool.remove_endpoint("s") if how == "remove" else attempt.cancel()

            monkeypatch.setattr(ClientConnection, "connection_made", connection_made)
            here.send()
            peer = await here.accept()
            assert await here.end() == [
                AttemptResult.CONNECT_FAILED if how == "remove" else AttemptResult.CANCELLED
            ]
            await wait_until(lambda: not here.pool.connection_count)
            assert await heard(peer) == b""

    asyncio.run(main())


# ----------------------------------------------------- before the request is whole


def test_an_end_before_the_last_byte_is_written_stops_the_request():
    """Guard: the rest was still written out to a server that had ended its sending, which then ran it."""

    async def main():
        async with bed() as here:
            here.send(data=bytes(BIG))
            peer = await here.accept()
            size = len(await heard(peer))  # so the node is writing
            peer.shutdown(socket.SHUT_WR)
            while data := await heard(peer, 1_000_000):
                size += len(data)
            assert size < BIG
            assert await here.end() == [AttemptResult.CONNECT_FAILED]
            await wait_until(lambda: not here.pool.connection_count)

    asyncio.run(main())


def test_a_head_that_the_kernel_does_not_take_whole_holds_the_body():
    async def main():
        async with bed() as here:
            here.send(data=bytes(BIG), body=Body(source := Coming()))
            peer = await here.accept()
            await wait_until(lambda: source.said)
            assert source.said == ["pause"]
            size = 0
            while size < BIG and (data := await heard(peer, 1_000_000)):
                size += len(data)
            assert size == BIG
            await wait_until(lambda: source.said[-1] == "resume")

    asyncio.run(main())


@pytest.mark.parametrize("ends", ["after", "before"])  # the body, after or before this answer's own end
def test_a_200_that_begins_before_the_request_is_whole_is_another_requests(ends):
    """A server begins once the last byte has come. A second answer come late must not pass for this one's."""

    async def main():
        async with bed() as here:
            peer, connection = await here.rested()
            here.send(body=(body := Body(Coming())))
            assert await heard(peer) == DATA
            answer = http_response(200, b"stray")
            peer.sendall(answer[:-1] if ends == "before" else answer)
            await wait_until(lambda: connection.last_data_at > connection.upload_progress_at or here.ends)
            body.feed(b"x")
            body.end()
            if ends == "before":
                with contextlib.suppress(OSError):
                    peer.sendall(answer[-1:])
            assert await here.end() == [AttemptResult.CONNECT_FAILED]
            await wait_until(lambda: not here.pool.connection_count)

    asyncio.run(main())


def test_a_server_that_turns_a_request_away_before_its_end_is_heard_and_sent_no_more():
    async def main():
        async with bed() as here:
            here.send(body=(body := Body(source := Coming())))
            peer = await here.accept()
            assert await heard(peer) == DATA
            peer.sendall(http_response(503, Srv_Declined="1"))
            assert await here.end() == [AttemptResult.REJECTED]
            body.feed(b"x")
            body.end()
            assert await heard(peer) == b""
            assert "abandoned" not in source.said  # another server may take it from its start
            await wait_until(lambda: not here.pool.connection_count)

    asyncio.run(main())


def test_a_body_that_has_ended_holds_its_source_no_more():
    """Guard: with its reading stopped, a caller's leaving went unseen until the server had taken all."""

    async def main():
        async with bed() as here:
            body = Body(source := Coming())
            body.feed(b"x")
            here.send(data=bytes(BIG), body=body)
            body.end()  # while the attempt connects
            peer = await here.accept()
            assert await heard(peer)
            assert "pause" not in source.said
            close(peer, reset=True)
            assert await here.end() == [AttemptResult.CONNECT_FAILED]

    asyncio.run(main())


def test_an_early_answer_and_a_reset_met_by_a_write_are_a_request_that_never_ran():
    async def main():
        async with bed() as here:
            here.send(body=(body := Body(Coming())))
            peer = await here.accept()
            assert await heard(peer) == DATA
            (connection,) = here.pool._connections
            peer.sendall(http_response(500))
            act(peer, "reset", connection)
            body.feed(b"x")  # fails, and what was there to read goes with it
            body.end()
            assert await here.end() == [AttemptResult.CONNECT_FAILED]
            await wait_until(lambda: not here.pool.connection_count)

    asyncio.run(main())
