"""What counts against the pool's limit, late connections, and what the pool takes for granted."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
from collections.abc import Iterator

import pytest

from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http.body import HIGH_WATER_BYTES
from loadbalancer.node.http.client_connection import Response
from tests.support.loopback import (
    Client,
    StubServer,
    http_response,
    request,
    running_node,
    stalled_listener,
    wait_until,
)
from tests.support.pooled import DATA, act, bed, heard


def test_a_resting_connection_that_has_ended_makes_no_room():
    """Guard: closing it once more passed for room, and the pool went over its limit."""

    async def main():
        async with bed(limit=1) as here:
            here.pool.set_endpoint("other", here.listener.getsockname())
            peer, connection = await here.rested()
            act(peer, "end", connection)
            await wait_until(lambda: not here.pool.connection_count)
            for name in ("other", "other"):
                here.pool.start_attempt(
                    name, lambda wait: DATA, 20.0, lambda result, _: here.ends.append(result)
                )
            assert await here.end() == [AttemptResult.CONNECT_FAILED]
            assert here.pool.connection_count == 1

    asyncio.run(main())


def test_a_connection_that_has_just_come_up_counts_once():
    """Guard: in that turn it was counted as opening too, and another attempt was refused for want of room."""

    async def main():
        async with bed(limit=2) as here:
            sizes: list[int] = []

            def on_sent() -> None:
                sizes.append(here.pool.connection_count)
                if len(sizes) == 1:
                    here.send()

            here.pool.on_sent = on_sent
            here.send()
            for _ in range(2):
                peer = await here.accept()
                assert await heard(peer) == DATA
                peer.sendall(http_response())
            assert await here.end(2) == [AttemptResult.OK, AttemptResult.OK]
            assert sizes == [1, 2]

    asyncio.run(main())


@contextlib.contextmanager
def no_descriptors() -> Iterator[None]:
    """Every descriptor of this process is in use."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest = os.dup(0)
    os.close(lowest)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_with_no_descriptor_left_an_attempt_could_not_connect_and_the_next_one_can():
    async def main():
        async with bed() as here:
            with no_descriptors():
                here.send()
                assert await here.end() == [AttemptResult.CONNECT_FAILED]
            assert not here.pool._opening
            assert not here.pool._endpoints["s"].waiting
            here.ends.clear()
            await here.rested()

    asyncio.run(main())


GIVEN_UP = {
    "answered": http_response(200, Connection="close"),
    "unreadable": b"no answer\r\n\r\n",
    "cut short": http_response()[:-1],
    "silent": b"",
}


@pytest.mark.parametrize("how", [*GIVEN_UP, "connecting"])
def test_what_has_just_been_given_up_leaves_room_for_a_repeat_at_once(how):
    """Guard: its connection counted until the loop's next turn, so at the limit the repeat was refused."""

    async def main():
        async with bed(limit=1) as here:
            ends: list[AttemptResult] = []

            def on_result(result: AttemptResult, _response: Response | None) -> None:
                ends.append(result)
                here.send()

            here.pool.connect_timeout_s = 0.1 if how == "connecting" else 20.0
            timeout_s = 0.5 if how == "silent" else 20.0
            with (
                stalled_listener()
                if how == "connecting"
                else contextlib.nullcontext(here.listener) as listener
            ):
                here.pool.set_endpoint("first", listener.getsockname())
                here.pool.start_attempt("first", lambda wait: DATA, timeout_s, on_result)
                if how != "connecting":
                    peer = await here.accept()
                    assert await heard(peer) == DATA
                    peer.sendall(GIVEN_UP[how])
                    if how == "cut short":
                        peer.close()
                await wait_until(lambda: ends)
            here.pool.connect_timeout_s = 20.0
            peer = await here.accept()
            assert await heard(peer) == DATA
            peer.sendall(http_response())
            assert await here.end() == [AttemptResult.OK]
            assert here.pool.connection_count == 1

    asyncio.run(main())


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("wanted", [True, False])
def test_a_connection_that_is_late_carries_its_request_or_leaves_nothing_behind(wanted):
    """The kernel tries again after a second, when the server's queue has room."""

    async def main():
        with stalled_listener() as listener:
            listener.setblocking(False)
            async with bed() as here:
                here.pool.set_endpoint("late", listener.getsockname())
                loop, before = asyncio.get_running_loop(), descriptors()
                attempt = here.pool.start_attempt(
                    "late", lambda wait: DATA, 20.0, lambda end, _: here.ends.append(end)
                )
                await wait_until(lambda: descriptors() > before)
                assert here.pool.connection_count == 1
                if not wanted:
                    attempt.cancel()
                    assert here.pool.connection_count == 0
                    await wait_until(lambda: descriptors() == before)
                    assert here.ends == [AttemptResult.CANCELLED]
                    assert not here.pool._opening
                    return
                peers: list[socket.socket] = []

                async def serve() -> None:
                    while True:
                        peers.append((await loop.sock_accept(listener))[0])

                accepting = asyncio.create_task(serve())
                with contextlib.ExitStack() as stack:
                    await wait_until(lambda: here.pool._connections)
                    local = [c._transport.get_extra_info("sockname") for c in here.pool._connections]
                    await wait_until(lambda: [p for p in peers if p.getpeername() in local])
                    for peer in peers:
                        stack.enter_context(peer)
                    (ours,) = [p for p in peers if p.getpeername() in local]
                    ours.setblocking(False)
                    assert await loop.sock_recv(ours, 1000) == DATA
                    await loop.sock_sendall(ours, http_response())
                    assert await here.end() == [AttemptResult.OK]
                    assert here.pool.connection_count == 1
                    accepting.cancel()

    asyncio.run(main())


# ------------------------------------------------------------------ what it rests on


def test_nothing_is_held_back_by_the_system_on_either_side():
    """A small write that waits for an acknowledgement would go with a close over unread bytes."""

    async def main():
        server = StubServer()
        async with running_node(server) as node:
            caller = await Client.connect(node)
            assert (await caller.exchange(request())).status == 200
            connections = [*node.listener.connections, *node.pool._connections]
            assert len(connections) == 2
            for connection in connections:
                raw = connection._transport.get_extra_info("socket")
                assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            caller.writer.close()

    asyncio.run(main())


def test_a_closing_or_closed_connection_is_asked_nothing_of_the_kernel():
    async def main():
        async with bed() as here:
            _, connection = await here.rested()
            connection.abort()
            assert not connection.usable
            await asyncio.sleep(0)
            assert connection._transport.get_extra_info("socket").fileno() == -1
            assert not connection.usable

    asyncio.run(main())


LONG_START = b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + bytes(HIGH_WATER_BYTES + 1)


@pytest.mark.parametrize("answer", [http_response(), LONG_START, b"no answer\r\n\r\n"])
def test_an_error_in_whoever_hears_an_outcome_costs_no_more_than_its_connection(answer):
    async def main():
        async with bed() as here:
            errors: list[dict[str, object]] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))

            def on_result(result: AttemptResult, response: Response | None) -> None:
                raise RuntimeError

            here.pool.start_attempt("s", lambda wait: DATA, 20.0, on_result)
            peer = await here.accept()
            assert await heard(peer) == DATA
            peer.sendall(answer)
            await wait_until(lambda: not here.pool.connection_count)
            assert [type(error["exception"]) for error in errors] == [RuntimeError]
            await here.rested()

    asyncio.run(main())


def test_an_outcome_may_send_on_the_connection_that_brought_it(monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        async with bed() as here:

            def on_result(result: AttemptResult, response: Response | None) -> None:
                here.ends.append(result)
                if len(here.ends) < 3:
                    here.pool.start_attempt("s", lambda wait: DATA, 20.0, on_result)

            here.pool.start_attempt("s", lambda wait: DATA, 20.0, on_result)
            peer = await here.accept()
            for _ in range(3):
                assert await heard(peer) == DATA
                peer.sendall(http_response())
            assert await here.end(3) == [AttemptResult.OK] * 3
            assert here.pool.connection_count == 1

    asyncio.run(main())
