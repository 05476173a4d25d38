"""Bodies and answers too long to be held whole."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from loadbalancer.balancing.actions import Send
from loadbalancer.balancing.events import AttemptOutcome, Request, RequestCancelled, RequestReceived
from loadbalancer.endpoints import AttemptResult
from loadbalancer.node.http import client_connection as http_module
from loadbalancer.node.http.body import HIGH_WATER_BYTES, Body
from loadbalancer.node.listener import request_parser as request_parser_module
from loadbalancer.node.node import Node
from loadbalancer.node.upstream import attempt as upstream_module
from tests.support.builders import BalancerEnvironment, sent
from tests.support.loopback import (
    Client,
    ScriptedBalancer,
    StubServer,
    exchange,
    http_response,
    request,
    running_node,
    targets,
    wait_until,
)

MIB = 1024 * 1024
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

# ---------------------------------------------------------------------- the body


class Ends:
    """A source and a sink that note what is asked of them."""

    def __init__(self) -> None:
        self.said: list[str] = []
        self.data = b""

    def pause(self) -> None:
        self.said.append("pause")

    def resume(self) -> None:
        self.said.append("resume")

    def abandon(self) -> None:
        self.said.append("abandoned")

    def write(self, data: bytes) -> None:
        self.data += data

    def end(self) -> None:
        self.said.append("end")

    def fail(self) -> None:
        self.said.append("broken")


def test_reading_stops_at_the_high_water_mark_until_somebody_takes_it():
    source, sink = Ends(), Ends()
    body = Body(source)
    body.feed(b"x" * (HIGH_WATER_BYTES - 1))
    assert source.said == []
    body.feed(b"yz")
    assert source.said == ["pause"]
    body.attach(sink)
    assert source.said == ["pause", "resume"]
    body.feed(b"!")
    body.end()
    assert sink.data == b"x" * (HIGH_WATER_BYTES - 1) + b"yz!"
    assert sink.said == ["end"]


def test_what_fits_under_the_mark_may_be_taken_again_and_what_does_not_may_not():
    source = Ends()
    body = Body(source)
    body.feed(b"abc")
    first, second = Ends(), Ends()
    body.attach(first)
    body.feed(b"def")
    body.detach(first)
    assert body.replayable
    body.attach(second)
    assert second.data == b"abcdef"
    body.feed(b"x" * HIGH_WATER_BYTES)
    body.detach(second)
    assert not body.replayable
    assert source.said[-1] == "abandoned"


def test_a_sink_that_is_full_holds_the_source():
    source, sink = Ends(), Ends()
    body = Body(source)
    body.attach(sink)
    body.pause()
    body.pause()
    assert source.said == ["resume", "pause"]
    body.resume()
    assert source.said[-1] == "resume"


def test_a_body_that_breaks_says_so_once():
    sink = Ends()
    body = Body(Ends())
    body.attach(sink)
    body.fail()
    body.end()
    body.fail()
    assert sink.said == ["broken"]


# ----------------------------------------------------------------------- answers


@contextlib.asynccontextmanager
async def behind(serve: Serve, **more: object) -> AsyncIterator[Node]:
    """A node before one server, given as what it does with each connection."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(guarded, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with running_node(known=targets(s0=(f"127.0.0.1:{port}", "Ready")), **more) as node:
        yield node
    server.close()


def answering(head: bytes, *pieces: bytes) -> Serve:
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


async def body_of(reader: asyncio.StreamReader) -> bytes:
    """The next answer's body, by either framing."""
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
        answering(HEAD, LONG),
        answering(HEAD, LONG[:10], LONG[10:70_000], LONG[70_000:]),
        answering(
            CHUNKED, b"%x\r\n%b\r\n" % (MIB, LONG[:MIB]), b"%x\r\n%b\r\n0\r\n\r\n" % (2 * MIB, LONG[MIB:])
        ),
    ],
)
def test_a_long_answer_is_passed_on_whole_and_the_connections_are_kept(serve, monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        async with behind(serve) as node:
            caller = await Client.connect(node)
            for at in range(2):
                caller.writer.write(request(name=f"q{at}"))
                assert await body_of(caller.reader) == LONG
            await wait_until(lambda: not node.request_registry.streaming)
            assert node.pool.connection_count == 1
            assert not node.request_registry.active
            caller.writer.close()

    asyncio.run(main())


def test_a_long_answer_that_ends_with_its_connection_is_whole_for_the_caller():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG)
            await writer.drain()

        async with behind(serve) as node:
            caller = await Client.connect(node)
            caller.writer.write(request())
            assert await body_of(caller.reader) == LONG
            caller.writer.close()

    asyncio.run(main())


def test_the_first_bytes_are_passed_on_before_the_last_have_come_and_are_the_outcome():
    async def main():
        more = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + LONG[:1000])
            await more.wait()
            writer.write(LONG[1000:])
            await writer.drain()
            await reader.read()

        async with behind(serve) as node:
            node.driver.balancer = scripted = ScriptedBalancer(
                lambda event: [Send(event.id, "s0")] if isinstance(event, Request) else []
            )
            caller = await Client.connect(node)
            caller.writer.write(request(Req_Deadline_Ms="20000"))
            await caller.reader.readuntil(b"\r\n\r\n")
            assert await caller.reader.readexactly(1000) == LONG[:1000]
            (outcome,) = scripted.events_of(AttemptOutcome)
            assert (outcome.result, outcome.request_ended) == (AttemptResult.OK, True)
            assert (
                node.metrics.render(
                    node.request_registry.unanswered + node.request_registry.streaming, 0, 0
                ).count(b"concurrent=1")
                == 1
            )
            more.set()
            assert await caller.reader.readexactly(len(LONG) - 1000) == LONG[1000:]
            await wait_until(lambda: not node.request_registry.streaming)
            assert b"proxy.replies.read.success=1" in node.render_metrics()
            caller.writer.close()

    asyncio.run(main())


def test_a_caller_that_reads_slowly_holds_the_server_and_costs_little_memory():
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

        async with behind(serve) as node:
            caller = await Client.connect(node)
            caller.writer.write(request())
            await caller.reader.readuntil(b"\r\n\r\n")
            (connection,) = node.listener.connections
            await wait_until(lambda: connection._stream is not None and connection._stream.body.paused)
            assert connection._transport.get_write_buffer_size() < MIB
            assert written < total
            left = total
            while left:
                left -= len(await caller.reader.read(MIB))
            await wait_until(lambda: not node.request_registry.streaming)
            caller.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("head", [HEAD, CHUNKED + b"300000\r\n"])
def test_a_long_answer_that_breaks_off_is_seen_to_be_cut_short(head):
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + LONG[:100_000])
            await writer.drain()

        async with behind(serve) as node:
            caller = await Client.connect(node)
            caller.writer.write(request())
            with contextlib.suppress(ConnectionError):
                answer = await caller.reader.read()
                assert not answer.endswith(b"0\r\n\r\n")
                assert len(answer) < len(LONG)
            await wait_until(lambda: not node.request_registry.streaming)
            assert b"proxy.replies.read.error=1" in node.render_metrics()

    asyncio.run(main())


def test_a_caller_that_leaves_gives_the_servers_connection_up():
    async def main():
        left = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + LONG[:100_000])
            with contextlib.suppress(ConnectionError):
                await reader.read()
            left.set()

        async with behind(serve) as node:
            caller = await Client.connect(node)
            caller.writer.write(request())
            await caller.reader.readexactly(1000)
            caller.writer.transport.abort()
            async with asyncio.timeout(20):
                await left.wait()
            await wait_until(lambda: not node.request_registry.streaming and not node.pool.connection_count)

    asyncio.run(main())


def test_a_server_that_falls_silent_within_a_long_answer_is_given_up(monkeypatch):
    async def main():
        monkeypatch.setattr(upstream_module, "STREAM_IDLE_TIMEOUT_S", 0.05)

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + LONG[:100_000])
            await reader.read()

        async with behind(serve) as node:
            caller = await Client.connect(node)
            caller.writer.write(request())
            with contextlib.suppress(ConnectionError):
                assert len(await caller.reader.read()) < len(LONG)
            await wait_until(lambda: not node.request_registry.streaming)

    asyncio.run(main())


def test_a_caller_of_http_1_0_gets_a_long_answer_of_no_length_to_the_close():
    async def main():
        async with behind(answering(CHUNKED, b"%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG))) as node:
            caller = await Client.connect(node)
            caller.writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            head, _, body = (await caller.reader.read()).partition(b"\r\n\r\n")
            assert b"Transfer-Encoding" not in head
            assert body == LONG

    asyncio.run(main())


def test_an_answer_past_the_longest_is_unreadable_before_its_caller_sees_any_of_it():
    async def main():
        node_gave: list[int] = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            node_gave.append(1)
            length = 3_000_000_000 if len(node_gave) == 1 else 4
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + b"done")
            await reader.read()

        async with behind(serve) as node:
            sends = iter(["s0", "s0"])
            node.driver.balancer = ScriptedBalancer(
                lambda event: (
                    [Send(event.id, next(sends))]
                    if isinstance(event, Request)
                    or (isinstance(event, AttemptOutcome) and not event.request_ended)
                    else []
                )
            )
            assert (await exchange(node, request())).body == b"done"  # of a second attempt
            assert node.pool.malformed_responses == 1

    asyncio.run(main())


def test_a_chunked_answer_past_the_longest_is_broken_off(monkeypatch):
    async def main():
        monkeypatch.setattr(http_module, "MAX_BODY_BYTES", MIB)
        async with behind(answering(CHUNKED, b"%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG))) as node:
            caller = await Client.connect(node)
            caller.writer.write(request())
            with contextlib.suppress(ConnectionError):
                assert len(await caller.reader.read()) < len(LONG)
            await wait_until(lambda: not node.request_registry.streaming and not node.pool.connection_count)
            assert node.pool.malformed_responses == 1

    asyncio.run(main())


def test_the_long_text_of_an_error_is_not_waited_for():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 500 Word\r\nContent-Length: 9999999\r\n\r\n" + LONG[: 2 * HIGH_WATER_BYTES]
            )
            await reader.read()

        async with behind(serve, settings={"tier": 1}) as node:
            caller = await Client.connect(node)
            assert (await caller.exchange(request("post"))).status == 502
            assert node.event_counts["error"] == 1
            caller.writer.close()

    asyncio.run(main())


# ---------------------------------------------------------------------- requests


def chunked(data: bytes, name: str = "q1", size: int = 100_000) -> bytes:
    head = f"POST /post/1 HTTP/1.1\r\nReq-Id: {name}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    return head + b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


class Taking:
    """A server that keeps what it is sent, by either framing."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.heads: list[bytes] = []
        self.lost = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            self.heads.append(head)
            body = b""
            try:
                if b"transfer-encoding: chunked" in head:
                    while size := int(await reader.readline(), 16):
                        body += await reader.readexactly(size)
                        await reader.readexactly(2)
                    await reader.readexactly(2)
                else:
                    length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
                    body = await reader.readexactly(length)
            except (ConnectionError, asyncio.IncompleteReadError, ValueError):
                self.lost += 1
                raise
            self.bodies.append(body)
            writer.write(http_response())


@pytest.mark.parametrize("data", [request("post", "q1", LONG), chunked(LONG)])
def test_a_long_request_reaches_the_server_whole_and_the_connections_are_kept(data, monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        server = Taking()
        async with behind(server.serve) as node:
            caller = await Client.connect(node)
            assert (await caller.exchange(data)).status == 200
            assert server.bodies == [LONG]
            assert (await caller.exchange(request("post", "q2", b"short"))).status == 200
            assert server.bodies[1:] == [b"short"]
            assert (
                node.pool.connection_count,
                node.request_registry.unanswered,
                node.request_registry.receiving,
                node.metrics.attempts_sent,
            ) == (1, 0, 0, 2)
            caller.writer.close()

    asyncio.run(main())


def test_a_long_request_is_handed_on_early_and_its_time_runs_from_its_last_byte():
    async def main():
        server = Taking()
        async with behind(server.serve) as node:
            node.driver.balancer = scripted = ScriptedBalancer(
                lambda event: [Send(event.id, "s0")] if isinstance(event, Request) else []
            )
            caller = await Client.connect(node)
            data = request("post", "q1", LONG, Req_Deadline_Ms="5000")
            caller.writer.write(data[:MIB])
            await wait_until(lambda: scripted.events_of(Request) and server.heads)
            (early,) = scripted.events_of(Request)
            assert early.receiving
            (job,) = node.request_registry.active.values()
            assert job.backstop_timer is None
            assert node.metrics.attempts_sent == 0
            caller.writer.write(data[MIB:])
            assert (await caller.read_response()).status == 200
            (arrived,) = scripted.events_of(RequestReceived)
            assert arrived.deadline_ms > early.deadline_ms
            (outcome,) = scripted.events_of(AttemptOutcome)
            assert outcome.latency_ms <= (node.loop.time() - job.received_at) * 1000.0
            assert node.metrics.attempts_sent == 1
            caller.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "data", [request("post", "q1", LONG[:HIGH_WATER_BYTES]), chunked(LONG[:HIGH_WATER_BYTES])]
)
def test_a_body_that_ends_while_its_attempt_still_connects_is_sent_once(data):
    async def main():
        server = Taking()
        async with behind(server.serve) as node:
            up, opened = asyncio.Event(), node.pool.open_connection

            async def slowly(endpoint):
                await up.wait()
                return await opened(endpoint)

            node.pool.open_connection = slowly
            caller = await Client.connect(node)
            end = len(data) - 5  # handed on with the last byte of its body due, or the last chunk
            caller.writer.write(data[:end])
            await wait_until(lambda: node.listener.connections)
            (connection,) = node.listener.connections
            coming = connection._parser
            await wait_until(lambda: coming.request and coming.request.body.size >= HIGH_WATER_BYTES - 5)
            connection._transport.resume_reading()
            caller.writer.write(data[end:])
            await wait_until(lambda: coming.request is None)
            up.set()
            assert (await caller.read_response()).status == 200
            assert server.bodies == [LONG[:HIGH_WATER_BYTES]]
            assert node.pool.connection_count == 1
            caller.writer.close()

    asyncio.run(main())


def test_a_server_that_reads_slowly_holds_the_caller():
    async def main():
        go_on = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await go_on.wait()
            assert len(await reader.readexactly(16 * MIB)) == 16 * MIB
            writer.write(http_response())
            await reader.read()

        async with behind(serve) as node:
            caller = await Client.connect(node)
            caller.writer.write(request("post", "q1", bytes(16 * MIB)))
            # not only its first bytes held back, as they are while the attempt still connects
            await wait_until(
                lambda: [
                    c
                    for c in node.listener.connections
                    if c._parser.request and c._parser.request.body.paused
                ]
            )
            (connection,) = node.listener.connections
            assert connection._read_control.body_paused
            node.listener.expire(node.loop.time() + 60.0)  # not the caller's fault
            assert node.listener.expired == 0
            go_on.set()
            assert (await caller.read_response()).status == 200
            caller.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("how", ["leaves", "stalls", "breaks its chunks"])
def test_a_caller_that_does_not_finish_a_long_request_gives_the_attempt_up_unsent(how):
    async def main():
        server = Taking()
        async with behind(server.serve) as node:
            caller = await Client.connect(node)
            data = chunked(LONG)
            caller.writer.write(data[:MIB])
            await wait_until(lambda: server.heads)
            if how == "leaves":
                caller.writer.transport.abort()
            elif how == "stalls":
                await wait_until(lambda: not node.listener.connections or node.request_registry.receiving)
                node.listener.expire(node.loop.time() + 60.0)
                assert (await caller.read_response()).status == 408
            else:
                caller.writer.write(b"\r\nnonsense\r\n" * 100_000)
                assert (await caller.read_response()).status == 400
            await wait_until(lambda: server.lost and not node.request_registry.active)
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


def test_a_long_request_that_cannot_connect_goes_to_another_server_from_its_start():
    async def main():
        server, gone = Taking(), StubServer()
        await gone.start()
        gone._server.close()
        await gone._server.wait_closed()
        async with behind(server.serve) as node:
            node.pool.set_endpoint("gone", ("127.0.0.1", gone.port))

            def act(event):
                if isinstance(event, Request):
                    return [Send(event.id, "gone")]
                never = isinstance(event, AttemptOutcome) and event.result is AttemptResult.CONNECT_FAILED
                return [Send(event.id, "s0")] if never else []

            node.driver.balancer = ScriptedBalancer(act)
            caller = await Client.connect(node)
            assert (await caller.exchange(request("post", "q1", LONG))).status == 200
            assert server.bodies == [LONG]
            caller.writer.close()

    asyncio.run(main())


def test_a_long_request_turned_away_once_its_start_is_not_held_is_refused():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(LONG))
            writer.write(http_response(503, Srv_Declined="1"))
            await reader.read()

        async with behind(serve) as node:
            answer = await exchange(node, request("post", "q1", LONG))
            assert answer.status == 503
            assert not node.request_registry.active

    asyncio.run(main())


def test_an_answer_before_the_requests_end_is_passed_on_and_ends_the_connection():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http_response(503, Srv_Declined="1"))
            await reader.read()

        async with behind(serve) as node:
            caller = await Client.connect(node)
            caller.writer.write(request("post", "q1", LONG)[:MIB])
            answer = await caller.read_response()
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            assert (node.request_registry.unanswered, node.request_registry.receiving) == (0, 0)
            caller.writer.close()

    asyncio.run(main())


def test_more_long_requests_than_memory_allows_are_refused():
    async def main():
        server = Taking()
        async with behind(server.serve, limits={"memory_mb": 1, "sockets": 1024}) as node:
            assert node.request_registry.max_receiving == 1
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


def test_a_chunked_request_past_the_limit_gets_413(monkeypatch):
    async def main():
        monkeypatch.setattr(request_parser_module, "MAX_BODY_BYTES", MIB)
        server = Taking()
        async with behind(server.serve) as node:
            caller = await Client.connect(node)
            caller.writer.write(chunked(LONG))
            assert (await caller.read_response()).status == 413
            await wait_until(lambda: not node.request_registry.active)
            assert not server.bodies

    asyncio.run(main())


def test_in_the_module_a_request_still_coming_in_is_no_load_and_its_latency_starts_at_its_end():
    bed = BalancerEnvironment(2)
    acts = bed.handle(Request("r", "post", bed.now + 2000.0, receiving=True))
    (send,) = sent(acts)
    peer = bed.balancer.endpoints[send.server]
    assert (peer.in_flight, peer.attempts_sent_ms) == (0.0, {})
    bed.now += 60_000.0
    bed.handle(RequestReceived("r", bed.now + 2000.0))
    assert peer.in_flight == 1.0
    assert list(peer.attempts_sent_ms.values()) == [bed.now]
    bed.now += 100.0
    bed.end_attempt("r", send.server, AttemptResult.OK, 100.0)
    assert (peer.in_flight, peer.attempts_sent_ms, bed.balancer.pending) == (0.0, {}, {})


def test_in_the_module_a_request_that_never_arrives_leaves_no_load_behind():
    bed = BalancerEnvironment(2)
    (send,) = sent(bed.handle(Request("r", "post", bed.now + 2000.0, receiving=True)))
    bed.handle(RequestCancelled("r"))
    bed.end_attempt("r", send.server, AttemptResult.CONNECT_FAILED, request_ended=True)
    bed.handle(RequestReceived("r", bed.now + 2000.0))
    assert bed.balancer.endpoints[send.server].in_flight == 0.0
    assert not bed.balancer.pending
