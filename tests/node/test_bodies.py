"""Streamed request and response bodies, which are too long to buffer completely."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from loadbalancer.balancing.actions import Send
from loadbalancer.balancing.events import AttemptOutcome, Request, RequestCancelled, RequestReceived
from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http import client_connection as client_connection_module
from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.listener import request_parser as request_parser_module
from loadbalancer.node.node import Node
from loadbalancer.node.upstream import attempt as attempt_module
from tests.support.builders import BalancerEnvironment, sent
from tests.support.loopback import (
    Client,
    ScriptedBalancer,
    StubServer,
    exchange,
    http_response,
    loopback_node,
    request,
    targets,
    wait_until,
)

MIB = 1024 * 1024
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

# ---------------------------------------------------------------------- the body


class RecordingSourceAndSink:
    """A body's source and sink that records the calls it gets."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.data = b""

    def pause(self) -> None:
        self.calls.append("pause")

    def resume(self) -> None:
        self.calls.append("resume")

    def abandon(self) -> None:
        self.calls.append("abandon")

    def write(self, data: bytes) -> None:
        self.data += data

    def end(self) -> None:
        self.calls.append("end")

    def fail(self) -> None:
        self.calls.append("fail")


def test_body_pauses_its_source_at_high_water_mark_until_sink_is_attached():
    source, sink = RecordingSourceAndSink(), RecordingSourceAndSink()
    body = Body(source)
    body.feed(b"x" * (HIGH_WATER_BYTES - 1))
    assert source.calls == []
    body.feed(b"yz")
    assert source.calls == ["pause"]
    body.attach(sink)
    assert source.calls == ["pause", "resume"]
    body.feed(b"!")
    body.end()
    assert sink.data == b"x" * (HIGH_WATER_BYTES - 1) + b"yz!"
    assert sink.calls == ["end"]


def test_body_is_replayable_only_below_the_high_water_mark():
    source = RecordingSourceAndSink()
    body = Body(source)
    body.feed(b"abc")
    first, second = RecordingSourceAndSink(), RecordingSourceAndSink()
    body.attach(first)
    body.feed(b"def")
    body.detach(first)
    assert body.replayable
    body.attach(second)
    assert second.data == b"abcdef"
    body.feed(b"x" * HIGH_WATER_BYTES)
    body.detach(second)
    assert not body.replayable
    assert source.calls[-1] == "abandon"


def test_paused_sink_pauses_the_source():
    source, sink = RecordingSourceAndSink(), RecordingSourceAndSink()
    body = Body(source)
    body.attach(sink)
    body.pause()
    body.pause()
    assert source.calls == ["resume", "pause"]
    body.resume()
    assert source.calls[-1] == "resume"


def test_failed_body_reports_the_failure_once():
    sink = RecordingSourceAndSink()
    body = Body(RecordingSourceAndSink())
    body.attach(sink)
    body.fail()
    body.end()
    body.fail()
    assert sink.calls == ["fail"]


# ----------------------------------------------------------------------- responses


@contextlib.asynccontextmanager
async def running_node(serve: Serve, **more: object) -> AsyncIterator[Node]:
    """Run a node in front of one server, which handles each connection with `serve`."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(guarded, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with loopback_node(known=targets(s0=(f"127.0.0.1:{port}", "Ready")), **more) as node:
        yield node
    server.close()


def respond_with(head: bytes, *pieces: bytes) -> Serve:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            for piece in (head, *pieces):
                writer.write(piece)
                await writer.drain()

    return serve


LONG = bytes(range(256)) * 4096 * 3  # 3 MiB
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def read_body(reader: asyncio.StreamReader) -> bytes:
    """Read the next response and return its body, with either framing."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    assert head.startswith(b"http/1.1 200 ")
    if b"content-length: " in head:
        return await reader.readexactly(int(head.split(b"content-length: ")[1].split(b"\r\n")[0]))
    assert b"transfer-encoding: chunked" in head
    body = b""
    while size := int((await reader.readline()), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


@pytest.mark.parametrize(
    "serve",
    [
        respond_with(HEAD, LONG),
        respond_with(HEAD, LONG[:10], LONG[10:70_000], LONG[70_000:]),
        respond_with(
            CHUNKED, b"%x\r\n%b\r\n" % (MIB, LONG[:MIB]), b"%x\r\n%b\r\n0\r\n\r\n" % (2 * MIB, LONG[MIB:])
        ),
    ],
)
def test_long_response_is_forwarded_completely_and_connections_are_reused(serve, monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        async with running_node(serve) as node:
            client = await Client.connect(node)
            for index in range(2):
                client.writer.write(request(name=f"q{index}"))
                assert await read_body(client.reader) == LONG
            await wait_until(lambda: not node.request_registry.streaming)
            assert node.pool.connection_count == 1
            assert not node.request_registry.active
            client.writer.close()

    asyncio.run(main())


def test_long_response_ending_with_its_connection_is_complete_for_the_client():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG)
            await writer.drain()

        async with running_node(serve) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            assert await read_body(client.reader) == LONG
            client.writer.close()

    asyncio.run(main())


def test_streamed_response_is_forwarded_early_and_its_start_is_the_outcome():
    async def main():
        more = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + LONG[:1000])
            await more.wait()
            writer.write(LONG[1000:])
            await writer.drain()
            await reader.read()

        async with running_node(serve) as node:
            node.driver.balancer = scripted = ScriptedBalancer(
                lambda event: [Send(event.id, "s0")] if isinstance(event, Request) else []
            )
            client = await Client.connect(node)
            client.writer.write(request(Req_Deadline_Ms="20000"))
            await client.reader.readuntil(b"\r\n\r\n")
            assert await client.reader.readexactly(1000) == LONG[:1000]
            (outcome,) = scripted.events_of(AttemptOutcome)
            assert (outcome.result, outcome.request_ended) == (AttemptResult.OK, True)
            assert (
                node.metrics.render(
                    node.request_registry.unanswered + node.request_registry.streaming, 0, 0
                ).count(b"concurrent=1")
                == 1
            )
            more.set()
            assert await client.reader.readexactly(len(LONG) - 1000) == LONG[1000:]
            await wait_until(lambda: not node.request_registry.streaming)
            assert b"proxy.replies.read.success=1" in node.render_metrics()
            client.writer.close()

    asyncio.run(main())


def test_slow_client_pauses_the_server_and_uses_little_memory():
    async def main():
        total = 24 * MIB
        written = 0

        async def serve(reader, writer):
            nonlocal written
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total)
            while written < total:
                writer.write(bytes(MIB))
                written += MIB
                await writer.drain()

        async with running_node(serve) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            await client.reader.readuntil(b"\r\n\r\n")
            (connection,) = node.listener.connections
            await wait_until(lambda: connection._stream is not None and connection._stream.body.paused)
            assert connection._transport.get_write_buffer_size() < MIB
            assert written < total
            remaining = total
            while remaining:
                remaining -= len(await client.reader.read(MIB))
            await wait_until(lambda: not node.request_registry.streaming)
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("head", [HEAD, CHUNKED + b"300000\r\n"])
def test_client_detects_a_truncated_streamed_response(head):
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + LONG[:100_000])
            await writer.drain()

        async with running_node(serve) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            with contextlib.suppress(ConnectionError):
                response = await client.reader.read()
                assert not response.endswith(b"0\r\n\r\n")
                assert len(response) < len(LONG)
            await wait_until(lambda: not node.request_registry.streaming)
            assert b"proxy.replies.read.error=1" in node.render_metrics()

    asyncio.run(main())


def test_client_disconnect_closes_the_server_connection():
    async def main():
        disconnected = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + LONG[:100_000])
            with contextlib.suppress(ConnectionError):
                await reader.read()
            disconnected.set()

        async with running_node(serve) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            await client.reader.readexactly(1000)
            client.writer.transport.abort()
            async with asyncio.timeout(20):
                await disconnected.wait()
            await wait_until(lambda: not node.request_registry.streaming and not node.pool.connection_count)

    asyncio.run(main())


def test_streamed_response_of_silent_server_is_aborted(monkeypatch):
    async def main():
        monkeypatch.setattr(attempt_module, "STREAM_IDLE_TIMEOUT_S", 0.05)

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + LONG[:100_000])
            await reader.read()

        async with running_node(serve) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            with contextlib.suppress(ConnectionError):
                assert len(await client.reader.read()) < len(LONG)
            await wait_until(lambda: not node.request_registry.streaming)

    asyncio.run(main())


def test_http_1_0_client_gets_a_chunked_response_ended_by_the_close():
    async def main():
        async with running_node(respond_with(CHUNKED, b"%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG))) as node:
            client = await Client.connect(node)
            client.writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            head, _, body = (await client.reader.read()).partition(b"\r\n\r\n")
            assert b"Transfer-Encoding" not in head
            assert body == LONG

    asyncio.run(main())


def test_response_declared_too_long_is_malformed_and_not_forwarded():
    async def main():
        attempts: list[int] = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            attempts.append(1)
            length = 3_000_000_000 if len(attempts) == 1 else 4
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + b"done")
            await reader.read()

        async with running_node(serve) as node:
            sends = iter(["s0", "s0"])
            node.driver.balancer = ScriptedBalancer(
                lambda event: (
                    [Send(event.id, next(sends))]
                    if isinstance(event, Request)
                    or (isinstance(event, AttemptOutcome) and not event.request_ended)
                    else []
                )
            )
            assert (await exchange(node, request())).body == b"done"  # from the second attempt
            assert node.pool.malformed_responses == 1

    asyncio.run(main())


def test_chunked_response_past_the_limit_is_aborted(monkeypatch):
    async def main():
        monkeypatch.setattr(client_connection_module, "MAX_BODY_BYTES", MIB)
        async with running_node(respond_with(CHUNKED, b"%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG))) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            with contextlib.suppress(ConnectionError):
                assert len(await client.reader.read()) < len(LONG)
            await wait_until(lambda: not node.request_registry.streaming and not node.pool.connection_count)
            assert node.pool.malformed_responses == 1

    asyncio.run(main())


def test_error_response_is_handled_before_its_long_body_ends():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 500 Word\r\nContent-Length: 9999999\r\n\r\n" + LONG[: 2 * HIGH_WATER_BYTES]
            )
            await reader.read()

        async with running_node(serve, settings={"tier": 1}) as node:
            client = await Client.connect(node)
            assert (await client.exchange(request("post"))).status == 502
            assert node.event_counts["error"] == 1
            client.writer.close()

    asyncio.run(main())


# ---------------------------------------------------------------------- requests


def chunked(data: bytes, name: str = "q1", size: int = 100_000) -> bytes:
    head = f"POST /post/1 HTTP/1.1\r\nReq-Id: {name}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    pieces = [data[start : start + size] for start in range(0, len(data), size)]
    return head + b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


class RecordingServer:
    """A server that records request heads and bodies, with either framing."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.heads: list[bytes] = []
        self.incomplete = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            self.heads.append(head)
            body = b""
            try:
                if b"transfer-encoding: chunked" in head:
                    while size := int(await reader.readuntil(b"\n"), 16):
                        body += await reader.readexactly(size)
                        await reader.readexactly(2)
                    await reader.readexactly(2)
                else:
                    length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
                    body = await reader.readexactly(length)
            except (ConnectionError, asyncio.IncompleteReadError, ValueError):
                self.incomplete += 1
                raise
            self.bodies.append(body)
            writer.write(http_response())


@pytest.mark.parametrize("data", [request("post", "q1", LONG), chunked(LONG)])
def test_long_request_is_forwarded_completely_and_connections_are_reused(data, monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        server = RecordingServer()
        async with running_node(server.serve) as node:
            client = await Client.connect(node)
            assert (await client.exchange(data)).status == 200
            assert server.bodies == [LONG]
            assert (await client.exchange(request("post", "q2", b"short"))).status == 200
            assert server.bodies[1:] == [b"short"]
            assert (
                node.pool.connection_count,
                node.request_registry.unanswered,
                node.request_registry.receiving,
                node.metrics.attempts_sent,
            ) == (1, 0, 0, 2)
            client.writer.close()

    asyncio.run(main())


def test_long_request_is_dispatched_early_and_timeout_starts_at_last_byte():
    async def main():
        server = RecordingServer()
        async with running_node(server.serve) as node:
            node.driver.balancer = scripted = ScriptedBalancer(
                lambda event: [Send(event.id, "s0")] if isinstance(event, Request) else []
            )
            client = await Client.connect(node)
            data = request("post", "q1", LONG, Req_Deadline_Ms="5000")
            client.writer.write(data[:MIB])
            await wait_until(lambda: scripted.events_of(Request) and server.heads)
            (early,) = scripted.events_of(Request)
            assert early.receiving
            (active,) = node.request_registry.active.values()
            assert active.backstop_timer is None
            assert node.metrics.attempts_sent == 0
            client.writer.write(data[MIB:])
            assert (await client.read_response()).status == 200
            (received,) = scripted.events_of(RequestReceived)
            assert received.deadline_ms > early.deadline_ms
            (outcome,) = scripted.events_of(AttemptOutcome)
            assert outcome.latency_ms <= (node.loop.time() - active.received_at) * 1000.0
            assert node.metrics.attempts_sent == 1
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "data", [request("post", "q1", LONG[:HIGH_WATER_BYTES]), chunked(LONG[:HIGH_WATER_BYTES])]
)
def test_body_that_ends_while_its_attempt_connects_is_sent_once(data):
    async def main():
        server = RecordingServer()
        async with running_node(server.serve) as node:
            up, open_connection = asyncio.Event(), node.pool.open_connection

            async def open_late(endpoint):
                await up.wait()
                return await open_connection(endpoint)

            node.pool.open_connection = open_late
            client = await Client.connect(node)
            end = len(data) - 5  # dispatched before its last bytes, or its last chunk, arrive
            client.writer.write(data[:end])
            await wait_until(lambda: node.listener.connections)
            (connection,) = node.listener.connections
            parser = connection._parser
            await wait_until(lambda: parser.request and parser.request.body.size >= HIGH_WATER_BYTES - 5)
            connection._transport.resume_reading()
            client.writer.write(data[end:])
            await wait_until(lambda: parser.request is None)
            up.set()
            assert (await client.read_response()).status == 200
            assert server.bodies == [LONG[:HIGH_WATER_BYTES]]
            assert node.pool.connection_count == 1
            client.writer.close()

    asyncio.run(main())


def test_slow_server_pauses_the_client():
    async def main():
        go_on = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await go_on.wait()
            assert len(await reader.readexactly(16 * MIB)) == 16 * MIB
            writer.write(http_response())
            await reader.read()

        async with running_node(serve) as node:
            client = await Client.connect(node)
            client.writer.write(request("post", "q1", bytes(16 * MIB)))
            # Wait for the pause by the slow server, not the one while the attempt is still connecting.
            await wait_until(
                lambda: [
                    c
                    for c in node.listener.connections
                    if c._parser.request and c._parser.request.body.paused
                ]
            )
            (connection,) = node.listener.connections
            assert connection._read_control.body_paused
            node.listener.expire(node.loop.time() + 60.0)  # the client is not overdue
            assert node.listener.expired == 0
            go_on.set()
            assert (await client.read_response()).status == 200
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("failure", ["disconnects", "stalls", "sends invalid chunks"])
def test_incomplete_long_request_ends_its_attempt_unsent(failure):
    async def main():
        server = RecordingServer()
        async with running_node(server.serve) as node:
            client = await Client.connect(node)
            data = chunked(LONG)
            client.writer.write(data[:MIB])
            await wait_until(lambda: server.heads)
            if failure == "disconnects":
                client.writer.transport.abort()
            elif failure == "stalls":
                await wait_until(lambda: not node.listener.connections or node.request_registry.receiving)
                node.listener.expire(node.loop.time() + 60.0)
                assert (await client.read_response()).status == 408
            else:
                client.writer.write(b"\r\nnonsense\r\n" * 100_000)
                assert (await client.read_response()).status == 400
            await wait_until(lambda: server.incomplete and not node.request_registry.active)
            assert not server.bodies
            assert len(server.heads) == 1
            assert (
                node.request_registry.unanswered,
                node.request_registry.receiving,
                node.metrics.attempts_sent,
            ) == (
                0,
                0,
                0,
            )

    asyncio.run(main())


def test_long_request_is_retried_from_its_start_after_connect_failed():
    async def main():
        server, stopped = RecordingServer(), StubServer()
        await stopped.start()
        stopped._server.close()
        await stopped._server.wait_closed()
        async with running_node(server.serve) as node:
            node.pool.set_endpoint("stopped", ("127.0.0.1", stopped.port))

            def act(event):
                if isinstance(event, Request):
                    return [Send(event.id, "stopped")]
                unsent = isinstance(event, AttemptOutcome) and event.result is AttemptResult.CONNECT_FAILED
                return [Send(event.id, "s0")] if unsent else []

            node.driver.balancer = ScriptedBalancer(act)
            client = await Client.connect(node)
            assert (await client.exchange(request("post", "q1", LONG))).status == 200
            assert server.bodies == [LONG]
            client.writer.close()

    asyncio.run(main())


def test_rejected_long_request_whose_body_is_not_replayable_gets_503():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(LONG))
            writer.write(http_response(503, Srv_Declined="1"))
            await reader.read()

        async with running_node(serve) as node:
            response = await exchange(node, request("post", "q1", LONG))
            assert response.status == 503
            assert not node.request_registry.active

    asyncio.run(main())


def test_response_before_the_end_of_the_request_closes_the_client_connection():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http_response(503, Srv_Declined="1"))
            await reader.read()

        async with running_node(serve) as node:
            client = await Client.connect(node)
            client.writer.write(request("post", "q1", LONG)[:MIB])
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (503, "close")
            assert (node.request_registry.unanswered, node.request_registry.receiving) == (0, 0)
            client.writer.close()

    asyncio.run(main())


def test_long_requests_beyond_the_memory_limit_are_rejected():
    async def main():
        server = RecordingServer()
        async with running_node(server.serve, limits={"memory_mb": 1, "sockets": 1024}) as node:
            assert node.memory.max_uploads == 1
            first = await Client.connect(node)
            first.writer.write(request("post", "q1", LONG)[:MIB])
            await wait_until(lambda: node.request_registry.receiving)
            second = await Client.connect(node)
            second.writer.write(request("post", "q2", LONG)[:MIB])
            assert (await second.read_response()).status == 503
            first.writer.write(request("post", "q1", LONG)[MIB:])
            assert (await first.read_response()).status == 200
            first.writer.close()
            second.writer.close()

    asyncio.run(main())


def test_chunked_request_past_the_limit_gets_413(monkeypatch):
    async def main():
        monkeypatch.setattr(request_parser_module, "MAX_BODY_BYTES", MIB)
        server = RecordingServer()
        async with running_node(server.serve) as node:
            client = await Client.connect(node)
            client.writer.write(chunked(LONG))
            assert (await client.read_response()).status == 413
            await wait_until(lambda: not node.request_registry.active)
            assert not server.bodies

    asyncio.run(main())


def test_balancer_counts_a_request_as_load_only_from_its_last_byte():
    env = BalancerEnvironment(2)
    actions = env.handle(Request("r", "post", env.now + 2000.0, receiving=True))
    (send,) = sent(actions)
    endpoint = env.balancer.endpoints[send.server]
    assert (endpoint.in_flight, endpoint.attempts_sent_ms) == (0.0, {})
    env.now += 60_000.0
    env.handle(RequestReceived("r", env.now + 2000.0))
    assert endpoint.in_flight == 1.0
    assert list(endpoint.attempts_sent_ms.values()) == [env.now]
    env.now += 100.0
    env.end_attempt("r", send.server, AttemptResult.OK, 100.0)
    assert (endpoint.in_flight, endpoint.attempts_sent_ms, env.balancer.pending) == (0.0, {}, {})


def test_balancer_counts_no_load_for_a_request_that_is_never_completed():
    env = BalancerEnvironment(2)
    (send,) = sent(env.handle(Request("r", "post", env.now + 2000.0, receiving=True)))
    env.handle(RequestCancelled("r"))
    env.end_attempt("r", send.server, AttemptResult.CONNECT_FAILED, request_ended=True)
    env.handle(RequestReceived("r", env.now + 2000.0))
    assert env.balancer.endpoints[send.server].in_flight == 0.0
    assert not env.balancer.pending
