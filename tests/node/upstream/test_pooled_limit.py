"""The pool's connection limit, late connections, and the pool's assumptions about sockets."""

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
from loadbalancer.node.http.response import Response
from tests.support.loopback import (
    Client,
    StubServer,
    http_response,
    loopback_node,
    request,
    stalled_listener,
    wait_until,
)
from tests.support.pool_environment import REQUEST, perform, pool_environment, receive


def test_closed_idle_connection_frees_no_capacity():
    """Regression: closing it again counted as freed capacity, and the pool exceeded its limit."""

    async def main():
        async with pool_environment(limit=1) as env:
            env.pool.set_endpoint("other", env.listener.getsockname())
            server, connection = await env.open_idle()
            perform(server, "close", connection)
            await wait_until(lambda: not env.pool.connection_count)
            for name in ("other", "other"):
                env.pool.start_attempt(
                    name, lambda wait: REQUEST, 20.0, lambda result, _: env.results.append(result)
                )
            assert await env.wait_for_results() == [AttemptResult.CONNECT_FAILED]
            assert env.pool.connection_count == 1

    asyncio.run(main())


def test_connection_that_has_just_opened_counts_once():
    """Regression: it also counted as opening in that loop iteration, so another attempt was rejected."""

    async def main():
        async with pool_environment(limit=2) as env:
            sizes: list[int] = []

            def on_sent() -> None:
                sizes.append(env.pool.connection_count)
                if len(sizes) == 1:
                    env.send()

            env.pool.on_sent = on_sent
            env.send()
            for _ in range(2):
                server = await env.accept()
                assert await receive(server) == REQUEST
                server.sendall(http_response())
            assert await env.wait_for_results(2) == [AttemptResult.OK, AttemptResult.OK]
            assert sizes == [1, 2]

    asyncio.run(main())


@contextlib.contextmanager
def no_descriptors() -> Iterator[None]:
    """Make every new file descriptor of this process fail."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_attempt_without_free_descriptors_fails_to_connect_and_next_succeeds():
    async def main():
        async with pool_environment() as env:
            with no_descriptors():
                env.send()
                assert await env.wait_for_results() == [AttemptResult.CONNECT_FAILED]
            assert not env.pool._opening
            assert not env.pool._endpoints["s"].waiting
            env.results.clear()
            await env.open_idle()

    asyncio.run(main())


RESPONSES = {
    "complete": http_response(200, Connection="close"),
    "malformed": b"not http\r\n\r\n",
    "truncated": http_response()[:-1],
    "silent": b"",
}


@pytest.mark.parametrize("case", [*RESPONSES, "connecting"])
def test_ended_attempt_frees_capacity_for_a_retry_at_once(case):
    """Regression: its connection counted until the next loop iteration, so a retry at the limit failed."""

    async def main():
        async with pool_environment(limit=1) as env:
            results: list[AttemptResult] = []

            def on_result(result: AttemptResult, _response: Response | None) -> None:
                results.append(result)
                env.send()

            env.pool.connect_timeout_s = 0.1 if case == "connecting" else 20.0
            timeout_s = 0.5 if case == "silent" else 20.0
            with (
                stalled_listener()
                if case == "connecting"
                else contextlib.nullcontext(env.listener) as listener
            ):
                env.pool.set_endpoint("first", listener.getsockname())
                env.pool.start_attempt("first", lambda wait: REQUEST, timeout_s, on_result)
                if case != "connecting":
                    server = await env.accept()
                    assert await receive(server) == REQUEST
                    server.sendall(RESPONSES[case])
                    if case == "truncated":
                        server.close()
                await wait_until(lambda: results)
            env.pool.connect_timeout_s = 20.0
            server = await env.accept()
            assert await receive(server) == REQUEST
            server.sendall(http_response())
            assert await env.wait_for_results() == [AttemptResult.OK]
            assert env.pool.connection_count == 1

    asyncio.run(main())


def descriptor_count() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("awaited", [True, False])
def test_late_connection_carries_its_request_or_is_released(awaited):
    """The kernel retries the connect after 1 s, when the server's accept queue has space."""

    async def main():
        with stalled_listener() as listener:
            listener.setblocking(False)
            async with pool_environment() as env:
                env.pool.set_endpoint("late", listener.getsockname())
                loop, before = asyncio.get_running_loop(), descriptor_count()
                attempt = env.pool.start_attempt(
                    "late", lambda wait: REQUEST, 20.0, lambda result, _: env.results.append(result)
                )
                await wait_until(lambda: descriptor_count() > before)
                assert env.pool.connection_count == 1
                if not awaited:
                    attempt.cancel()
                    assert env.pool.connection_count == 0
                    await wait_until(lambda: descriptor_count() == before)
                    assert env.results == [AttemptResult.CANCELLED]
                    assert not env.pool._opening
                    return
                accepted: list[socket.socket] = []

                async def serve() -> None:
                    while True:
                        accepted.append((await loop.sock_accept(listener))[0])

                accepting = asyncio.create_task(serve())
                with contextlib.ExitStack() as stack:
                    await wait_until(lambda: env.pool._connections)
                    local = [c._transport.get_extra_info("sockname") for c in env.pool._connections]
                    await wait_until(lambda: [s for s in accepted if s.getpeername() in local])
                    for server in accepted:
                        stack.enter_context(server)
                    (server,) = [s for s in accepted if s.getpeername() in local]
                    server.setblocking(False)
                    assert await loop.sock_recv(server, 1000) == REQUEST
                    await loop.sock_sendall(server, http_response())
                    assert await env.wait_for_results() == [AttemptResult.OK]
                    assert env.pool.connection_count == 1
                    accepting.cancel()

    asyncio.run(main())


# ------------------------------------------------------------------ assumptions about sockets


def test_tcp_nodelay_is_set_on_client_and_server_connections():
    """Without it, a small write that waits for an acknowledgement would be lost in a reset."""

    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            assert (await client.exchange(request())).status == 200
            connections = [*node.listener.connections, *node.pool._connections]
            assert len(connections) == 2
            for connection in connections:
                raw = connection._transport.get_extra_info("socket")
                assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            client.writer.close()

    asyncio.run(main())


def test_closing_or_closed_connection_is_unusable_without_a_system_call():
    async def main():
        async with pool_environment() as env:
            _, connection = await env.open_idle()
            connection.abort()
            assert not connection.usable
            await asyncio.sleep(0)
            assert connection._transport.get_extra_info("socket").fileno() == -1
            assert not connection.usable

    asyncio.run(main())


STREAM_START = b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + bytes(HIGH_WATER_BYTES + 1)


@pytest.mark.parametrize("response_bytes", [http_response(), STREAM_START, b"not http\r\n\r\n"])
def test_exception_in_result_callback_costs_only_its_connection(response_bytes):
    async def main():
        async with pool_environment() as env:
            errors: list[dict[str, object]] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))

            def on_result(result: AttemptResult, response: Response | None) -> None:
                raise RuntimeError

            env.pool.start_attempt("s", lambda wait: REQUEST, 20.0, on_result)
            server = await env.accept()
            assert await receive(server) == REQUEST
            server.sendall(response_bytes)
            await wait_until(lambda: not env.pool.connection_count)
            assert [type(error["exception"]) for error in errors] == [RuntimeError]
            await env.open_idle()

    asyncio.run(main())


def test_result_callback_can_send_on_the_same_connection(monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        async with pool_environment() as env:

            def on_result(result: AttemptResult, response: Response | None) -> None:
                env.results.append(result)
                if len(env.results) < 3:
                    env.pool.start_attempt("s", lambda wait: REQUEST, 20.0, on_result)

            env.pool.start_attempt("s", lambda wait: REQUEST, 20.0, on_result)
            server = await env.accept()
            for _ in range(3):
                assert await receive(server) == REQUEST
                server.sendall(http_response())
            assert await env.wait_for_results(3) == [AttemptResult.OK] * 3
            assert env.pool.connection_count == 1

    asyncio.run(main())
