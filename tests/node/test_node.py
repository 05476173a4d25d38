"""The node over loopback: requests, answers, the decision module's events, and the server list."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import select
import socket
import time
from random import Random

import pytest

from loadbalancer.balancing.actions import Fail, Reject, Send, SetTimer
from loadbalancer.balancing.events import (
    AttemptOutcome,
    EndpointListUpdate,
    Request,
    RequestCancelled,
    TimerFired,
)
from loadbalancer.endpoints import AttemptResult, Endpoint, EndpointListKind, EndpointStatus
from loadbalancer.node import balancer_driver as driver_module
from loadbalancer.node.address import parse_address
from loadbalancer.node.clock import Clock
from loadbalancer.node.discovery.poll_policy import PollPolicy
from loadbalancer.node.discovery.response import DiscoveryResponse
from loadbalancer.node.listener.listener import SWEEP_INTERVAL_S
from loadbalancer.node.listener.request_parser import (
    BODY_GRACE_S,
    HEAD_TIMEOUT_S,
    MIN_BODY_BYTES_PER_S,
    ReceiveState,
)
from tests.support.loopback import (
    Caller,
    Discovery,
    Held,
    Peer,
    Scripted,
    ask,
    config,
    listing,
    reply,
    request,
    running,
    until,
)


def send_to(*names):
    """Acts for a scripted module: each request goes to the first name, and on each failure to the next."""
    tries = {}

    def act(event):
        if isinstance(event, Request) or (isinstance(event, AttemptOutcome) and not event.request_ended):
            at = tries[event.id] = tries.get(event.id, -1) + 1
            return [Send(event.id, names[at])] if at < len(names) else [Fail(event.id)]
        return []

    return act


def test_a_request_goes_on_unchanged_and_its_answer_comes_back():
    async def main():
        async def script(message):
            return reply(200, b"posted", Srv_Load="TEXT inflight=7, queue=3, util=0.61")

        server = Peer(script)
        async with running(server) as node:
            answer = await ask(
                node, request("post", "q7", b'{"a":1}', Req_Deadline_Ms="9000", Idempotency_Key="k1")
            )
            assert (answer.status, answer.body) == (200, b"posted")
            seen = server.seen[0]
            assert seen.first == ["POST", "/post/7f3a?x=1", "HTTP/1.1"]
            assert seen.body == b'{"a":1}'
            assert (seen.headers["req-id"], seen.headers["idempotency-key"]) == ("q7", "k1")
            assert 0 < int(seen.headers["req-deadline-ms"]) < 9000
            assert node.driver.balancer.endpoints["s0"].reported_queue == 3
            assert node.request_registry.active == {}

    asyncio.run(main())


def test_the_module_hears_what_the_request_says():
    async def main():
        async with running(Peer()) as node:
            node.driver.balancer = scripted = Scripted(lambda event: [Reject(event.id, 250.0)])
            before = node.clock.unix_ms()
            answer = await ask(
                node,
                request(Req_Owner="acme", Req_Retry="1", Req_Cost="1500", Req_Deadline_Ms="5000"),
            )
            assert (answer.status, answer.headers["retry-after"]) == (503, "0.250")
            heard = scripted.of(Request)[0]
            assert (heard.service, heard.tenant, heard.is_retry, heard.cost_hint_ms) == (
                "read",
                "acme",
                True,
                1.5,
            )
            assert heard.deadline_ms < node.clock.unix_ms() + 5000  # the way there and back comes off
            assert heard.deadline_ms > before + 4900

    asyncio.run(main())


@pytest.mark.parametrize("kind", ["post", "read"])
def test_nothing_is_sent_again_but_by_the_module(kind, monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        async def script(message):
            return None if len(server.seen) == 2 else reply()

        server = Peer(script)
        async with running(server) as node:
            node.driver.balancer = scripted = Scripted(send_to("s0"))
            assert (await ask(node, request(kind, "q1"))).status == 200
            assert (await ask(node, request(kind, "q2"))).status == 502  # on the connection kept from before
            assert (server.connections, len(server.seen)) == (1, 2)
            assert [event.result for event in scripted.of(AttemptOutcome)] == [
                AttemptResult.OK,
                AttemptResult.RESET,
            ]

    asyncio.run(main())


def test_an_unsafe_request_that_may_have_run_fails_and_a_declined_one_is_tried_elsewhere():
    async def main():
        async def script(message):
            return reply(503, Srv_Declined="1") if message.headers["req-id"] == "q1" else reply(500)

        first, second = Peer(script), Peer(script)
        async with running(first, second) as node:
            assert (await ask(node, request("post", "q1"))).status == 503
            assert len(first.seen) == len(second.seen) == 1
            assert (await ask(node, request("post", "q2"))).status == 502
            assert len(first.seen) + len(second.seen) == 3

    asyncio.run(main())


def test_a_send_past_the_attempts_allowed_or_for_an_ended_request_is_moot():
    async def main():
        async def script(message):
            return reply(500)

        server = Peer(script)
        async with running(server) as node:

            def act(event):
                moot = isinstance(event, AttemptOutcome) and event.result is AttemptResult.ABANDONED
                if isinstance(event, Request | AttemptOutcome):
                    return [Fail(event.id)] if moot else [Send(event.id, "s0")]
                return []

            node.driver.balancer = scripted = Scripted(act)
            assert (await ask(node, request())).status == 502
            assert len(server.seen) == 3
            outcomes = scripted.of(AttemptOutcome)
            assert [event.attempt for event in outcomes] == [0, 1, 2, 3]
            assert outcomes[-1].result is AttemptResult.ABANDONED
            node.driver.balancer = scripted = Scripted()
            node.driver._carry_out(Send("q1", "s0"))
            assert [(event.result, event.request_ended) for event in scripted.of(AttemptOutcome)] == [
                (AttemptResult.ABANDONED, True)
            ]
            assert len(server.seen) == 3

    asyncio.run(main())


def test_a_caller_that_closes_has_lapsed_and_its_attempt_still_gets_its_outcome():
    async def main():
        server = Held()
        async with running(server) as node:
            caller = await Caller.to(node)
            caller.writer.write(request())
            await until(lambda: server.seen)
            assert node.driver.balancer.endpoints["s0"].in_flight == 1.0
            caller.writer.close()
            await until(lambda: not node.request_registry.active)
            assert node.driver.balancer.endpoints["s0"].in_flight == 0.0
            assert node.request_registry.unanswered == 0

    asyncio.run(main())


def test_a_second_copys_loser_gets_its_outcome_after_the_request_is_over():
    async def main():
        server = Held()
        async with running(server, Peer()) as node:

            def act(event):
                if isinstance(event, Request):
                    return [Send(event.id, "s0"), Send(event.id, "s1")]
                return []

            node.driver.balancer = scripted = Scripted(act)
            assert (await ask(node, request())).body == b"done"
            server.release.set()
            await until(lambda: not node.request_registry.active)
            outcomes = scripted.of(AttemptOutcome)
            assert [(event.attempt, event.request_ended) for event in outcomes] == [(1, True), (0, True)]

    asyncio.run(main())


@pytest.mark.parametrize("kind", [Request, AttemptOutcome])
def test_a_fault_of_the_module_leaves_no_request_unanswered(kind):
    async def main():
        async with running(Peer(lambda message: asyncio.sleep(0, reply(500)))) as node:

            def act(event):
                if isinstance(event, kind):
                    raise RuntimeError("broken")
                return [Send(event.id, "s0")] if isinstance(event, Request) else []

            node.driver.balancer = scripted = Scripted(act)
            assert (await ask(node, request())).status == 500
            assert scripted.of(RequestCancelled)
            assert not node.request_registry.active
            assert node.listener.ready

    asyncio.run(main())


def test_a_fault_on_an_alarm_does_not_stop_the_modules_clockwork(monkeypatch):
    async def main():
        monkeypatch.setattr(driver_module, "TIMER_RETRY_DELAY_S", 0.01)

        def act(event):
            if isinstance(event, TimerFired) and len(scripted.of(TimerFired)) == 1:
                raise RuntimeError("broken")
            return []

        async with running(Peer()) as node:
            node.driver.balancer = scripted = Scripted(act)
            node.driver._carry_out(SetTimer(1.0, "tick"))
            await until(
                lambda: len([event for event in scripted.of(TimerFired) if event.name == "tick"]) == 2
            )

    asyncio.run(main())


def test_a_request_that_the_module_forgets_is_answered_at_its_deadline():
    async def main():
        async with running(Peer()) as node:
            node.driver.balancer = scripted = Scripted()
            assert (await ask(node, request(Req_Deadline_Ms="200"))).status == 504
            assert [event.id for event in scripted.of(RequestCancelled)] == ["q1"]

    asyncio.run(main())


def test_an_attempt_ends_before_the_deadline_whatever_time_out_it_was_given():
    async def main():
        async with running(Held()) as node:

            def act(event):
                if isinstance(event, Request):
                    return [Send(event.id, "s0", 60_000.0)]
                return [Fail(event.id)] if isinstance(event, AttemptOutcome) else []

            node.driver.balancer = scripted = Scripted(act)
            assert (await ask(node, request(Req_Deadline_Ms="300"))).status == 504
            # The module's answer to its time-out came first, not the node's own.
            assert [event.result for event in scripted.of(AttemptOutcome)] == [AttemptResult.TIMEOUT]
            assert not scripted.of(RequestCancelled)

    asyncio.run(main())


TOO_LONG = 32 * 1024 * 1024 + 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read/1 HTTP/1.1\r\nbad header\r\n\r\n", 400),
        (b"GET /read/1 HTTP/1.1\r\nHost: x\r\n\r\n", 400),  # no id
        (request(Req_Deadline_Ms="soon"), 400),
        (request(Req_Deadline_Ms="-5"), 400),
        (request(X_Long="y" * 20_000), 400),
        (b"GET /read/1 HTTP/1.1\r\nX-Endless: " + b"y" * 200_000, 400),
        (request("move"), 400),  # no key
        (request("other"), 404),
        (b"GET / HTTP/1.1\r\nReq-Id: q\r\n\r\n", 404),
        (request().replace(b"GET", b"POST"), 405),
        (b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nContent-Length: %d\r\n\r\n" % TOO_LONG, 413),
    ],
)
def test_bad_callers_are_answered_and_never_reach_the_module(data, status):
    async def main():
        async with running(Peer()) as node:
            node.driver.balancer = scripted = Scripted()
            assert (await ask(node, data)).status == status
            assert not scripted.of(Request)
            assert not node.request_registry.active

    asyncio.run(main())


def test_a_body_of_64_kib_passes_in_both_forms():
    async def main():
        server = Peer()
        async with running(server) as node:
            assert (await ask(node, request("post", "q1", b"x" * 65536))).status == 200
            chunked = b"POST /post/1 HTTP/1.1\r\nReq-Id: q2\r\nTransfer-Encoding: chunked\r\n\r\n"
            assert (await ask(node, chunked + b"3\r\nabc\r\n0\r\n\r\n")).status == 200
            assert [len(message.body) for message in server.seen] == [65536, 3]

    asyncio.run(main())


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        (b"/post/1?x=/a", "/post/1?x=/a"),
        (b"http://service.internal/post/1?x=1", "/post/1?x=1"),
        (b"HTTP://service.internal:80/post/1", "/post/1"),
        (b"http://service.internal", None),
        (b"http://service.internal?x=1", None),
    ],
)
def test_a_target_may_be_absolute_and_a_server_sees_its_path_and_query(target, expected):
    async def main():
        server = Peer()
        async with running(server) as node:
            data = b"POST " + target + b" HTTP/1.1\r\nHost: x\r\nReq-Id: q1\r\nContent-Length: 0\r\n\r\n"
            answer = await ask(node, data)
            assert answer.status == (200 if expected else 404)
            assert [message.first[1] for message in server.seen] == ([expected] if expected else [])
            assert (await ask(node, b"GET http://x/up HTTP/1.1\r\nHost: x\r\n\r\n")).status == 200

    asyncio.run(main())


def test_trailers_and_chunk_extensions_change_nothing():
    async def main():
        server = Peer()
        async with running(server) as node:
            head = b"POST /post/1 HTTP/1.1\r\nReq-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
            body = b"7530;note=1\r\n" + b"x" * 30_000 + b"\r\n0\r\nReq-Id: other\r\nX-Sum: 1\r\n\r\n"
            assert (await ask(node, head + body)).status == 200
            (seen,) = server.seen
            assert seen.headers["req-id"] == "q1"
            assert len(seen.body) == 30_000

    asyncio.run(main())


def test_headers_named_by_connection_stay_on_this_side_but_for_those_a_server_needs():
    async def main():
        server = Peer()
        async with running(server) as node:
            more = {"Connection": "keep-alive, X-Hop, req-id", "X-Hop": "1", "X-End": "2"}
            assert (await ask(node, request("post", "q1", **more))).status == 200
            (seen,) = server.seen
            assert "x-hop" not in seen.headers
            assert (seen.headers["x-end"], seen.headers["req-id"]) == ("2", "q1")

    asyncio.run(main())


def test_the_same_id_twice_at_once_is_not_sent_twice():
    async def main():
        server = Held()
        async with running(server) as node:
            first = asyncio.create_task(ask(node, request("post", "q1")))
            await until(lambda: server.seen)
            assert (await ask(node, request("post", "q1"))).status == 400
            server.release.set()
            assert (await first).status == 200
            assert len(server.seen) == 1

    asyncio.run(main())


def test_requests_that_come_at_once_are_answered_in_turn():
    async def main():
        async with running(Peer(lambda message: asyncio.sleep(0, reply(200, message.body)))) as node:
            caller = await Caller.to(node)
            caller.writer.write(b"".join(request("post", f"q{at}", b"%d" % at) for at in range(5)))
            assert [(await caller.answer()).body for _ in range(5)] == [b"0", b"1", b"2", b"3", b"4"]
            assert (await caller.ask(request("post", "q9", b"9"))).body == b"9"
            caller.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("said", [b"", b"\r\n", b"GET /read/1 HTT", request("post", "q1", b"whole")[:-1]])
def test_a_peer_that_sends_no_whole_request_is_answered_or_closed_within_3_s(said):
    async def main():
        async with running(Peer()) as node:
            begun = node.loop.time()
            caller = await Caller.to(node)
            await until(lambda: node.listener.connections)
            connection = next(iter(node.listener.connections))
            opened = connection.last_activity_at
            caller.writer.write(said)
            await until(
                lambda: not said or connection.last_activity_at > opened
            )  # what was sent has been read
            node.listener.expire(begun + HEAD_TIMEOUT_S)  # not due yet
            assert node.listener.expired == 0
            assert HEAD_TIMEOUT_S + BODY_GRACE_S + SWEEP_INTERVAL_S < 3.0
            node.listener.expire(node.loop.time() + HEAD_TIMEOUT_S)
            answer = await caller.reader.read()
            assert answer == b"" or answer.startswith(b"HTTP/1.1 408 ")
            assert node.listener.expired == 1
            caller.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("head_s", "size", "after_s", "cut_off"),
    [
        (2.0, 0, 0.2, False),  # a slow head
        (2.0, 60_000, 0.9, False),  # and then a slow body: 64 kB a second
        (2.0, 10_000, 0.9, True),
        (0.0, 100, 2.0, False),  # before a head need be whole nothing is overdue
        (0.0, 100, 2.4, True),
        (0.0, 65_000, 1.9, False),
    ],
)
def test_a_slow_head_and_a_slow_body_are_each_given_their_time(head_s, size, after_s, cut_off):
    async def main():
        async with running(Peer()) as node:
            caller = await Caller.to(node)
            await until(lambda: node.listener.connections)
            (connection,) = node.listener.connections
            data = request("post", "q1", b"x" * 65_536)
            caller.writer.write(data[: len(data) - 65_536 + size])
            await until(
                lambda: connection._parser.state is ReceiveState.BODY and connection._parser.size == size
            )
            connection._parser.head_received_at = connection._parser.started_at + head_s
            now = connection._parser.head_received_at + after_s
            node.listener.expire(now)
            assert node.listener.expired == cut_off
            assert size / after_s < MIN_BODY_BYTES_PER_S or not cut_off
            caller.writer.close()

    asyncio.run(main())


def test_a_caller_between_requests_or_waiting_for_its_answer_is_not_closed_for_want_of_one():
    async def main():
        server = Held()
        async with running(server) as node:
            caller = await Caller.to(node)
            caller.writer.write(request(name="q1"))
            await until(lambda: server.seen)
            node.listener.expire(node.loop.time() + 60.0)
            server.release.set()
            assert (await caller.answer()).status == 200
            node.listener.expire(node.loop.time() + 60.0)
            assert (await caller.ask(request(name="q2"))).status == 200
            assert node.listener.expired == 0
            caller.writer.close()

    asyncio.run(main())


def test_more_open_requests_than_allowed_are_refused_at_once():
    async def main():
        server = Held()
        async with running(server, bounds={"maxOpen": 1}) as node:
            first = asyncio.create_task(ask(node, request(name="q1")))
            await until(lambda: server.seen)
            assert (await ask(node, request(name="q2"))).status == 503
            server.release.set()
            assert (await first).status == 200
            assert len(server.seen) == 1

    asyncio.run(main())


def test_a_flood_of_connections_stays_within_its_share_and_all_are_taken():
    async def main():
        async with running(Peer(), limits={"sockets": 132}) as node:
            callers = [await Caller.to(node) for _ in range(200)]
            await until(lambda: len(node.listener.connections) <= node.listener.request_limit)
            assert node.listener.request_limit == 45
            assert (await callers[-1].ask(request())).status == 200
            for caller in callers:
                caller.writer.close()

    asyncio.run(main())


def test_a_burst_of_connections_stays_within_the_descriptors_while_it_is_taken_in():
    async def main():
        async with running(Peer(), limits={"sockets": 132}) as node, contextlib.AsyncExitStack() as stack:
            before = len(os.listdir("/proc/self/fd"))
            # All are in the kernel's queue before the node has a turn.
            burst = [stack.enter_context(socket.create_connection(node.listener.address)) for _ in range(200)]
            burst[-1].sendall(request())
            peak = 0
            async with asyncio.timeout(20):
                while not select.select([burst[-1]], [], [], 0)[0]:
                    peak = max(peak, len(os.listdir("/proc/self/fd")) - before - len(burst))
                    await asyncio.sleep(0)
            assert burst[-1].recv(12) == b"HTTP/1.1 200"
            assert node.listener.request_limit <= peak <= 100

    asyncio.run(main())


def test_busy_connections_over_the_limit_are_refused_at_once_and_closed():
    async def main():
        async with running(Peer(), limits={"sockets": 132}) as node:
            node.driver.balancer = scripted = Scripted()  # holds every request
            callers = [await Caller.to(node) for _ in range(node.listener.request_limit)]
            for at, caller in enumerate(callers):
                caller.writer.write(request(name=f"q{at}"))
            await until(lambda: node.request_registry.unanswered == len(callers))
            late = await ask(node, request(name="late"))
            assert (late.status, late.headers["connection"]) == (503, "close")
            assert len(scripted.of(Request)) == len(callers)
            await until(lambda: len(node.listener.connections) == len(callers))
            for at, caller in enumerate(callers):
                node.driver._carry_out(Reject(f"q{at}"))
                assert (await caller.answer()).status == 503
                caller.writer.close()

    asyncio.run(main())


def test_the_list_reaches_the_module_as_cached_full_delta_and_failed():
    async def main():
        server = Peer()
        await server.start()
        discovery = Discovery(
            listing(5, True, s1=(server.endpoint, "Ready")),
            listing(6, False, s1=(server.endpoint, "Terminating"), s2=(server.endpoint, "Ready")),
            reply(503),
        )
        async with running(Peer(), discovery=discovery) as node:
            node.driver.balancer = scripted = Scripted()
            # The module's first act, on the known list, was to ask for a watch.
            await until(lambda: len(scripted.of(EndpointListUpdate)) == 3)
            forms = [event.kind for event in scripted.of(EndpointListUpdate)]
            assert forms == [EndpointListKind.FULL, EndpointListKind.DELTA, EndpointListKind.FAILED]
            assert set(node.pool._endpoints) == {"s2"}
            queries = [message.first[1] for message in discovery.seen]
            assert [query.split("?")[1].split("&")[0] for query in queries] == [
                "since=1",
                "since=5",
                "since=6",
            ]
            assert discovery.connections == 1
        server.stop()

    asyncio.run(main())


def test_the_known_list_comes_first_and_as_cached():
    async def main():
        async with running(Peer()) as node:
            node.driver.balancer = scripted = Scripted()
            await node.start()
            assert [event.kind for event in scripted.of(EndpointListUpdate)] == [EndpointListKind.CACHED]
            assert scripted.events[0].endpoints[0].launched_ms is None  # 0 means long ago

    asyncio.run(main())


@pytest.mark.parametrize(
    "news",
    [
        reply(500),
        reply(200, b"{"),
        reply(200, b"[]"),
        reply(200, b'{"rev":2,"all":true,"targets":[{"uid":"x"}]}'),
        reply(200, b'{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":"nowhere","state":"Ready"}]}'),
        reply(200, b'{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":"127.0.0.1:1","state":"Odd"}]}'),
        None,
    ],
)
def test_any_bad_discovery_call_is_a_failure_and_keeps_the_list(news, caplog):
    async def main():
        discovery = Discovery(news)
        async with running(Peer(), discovery=discovery) as node:
            node.driver.balancer = scripted = Scripted()  # asks for no watch
            await until(lambda: scripted.of(EndpointListUpdate))
            assert [event.kind for event in scripted.of(EndpointListUpdate)] == [EndpointListKind.FAILED]
            assert (set(node.pool._endpoints), node.listener.ready) == ({"s0"}, True)
            assert "the last list stays in use" in caplog.text
            await until(lambda: len(discovery.seen) == 2)  # whatever the module does

    asyncio.run(main())


def test_a_list_larger_than_any_may_be_is_a_failure_and_keeps_the_list(monkeypatch, caplog):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.client.MAX_LIST_BYTES", 400)
        huge = listing(2, True, **{f"s{n}": (f"127.0.0.1:{1000 + n}", "Ready") for n in range(20)})
        async with running(Peer(), discovery=Discovery(huge)) as node:
            node.driver.balancer = scripted = Scripted()
            await until(lambda: scripted.of(EndpointListUpdate))
            assert [event.kind for event in scripted.of(EndpointListUpdate)] == [EndpointListKind.FAILED]
            assert set(node.pool._endpoints) == {"s0"}
            assert "the last list stays in use" in caplog.text

    asyncio.run(main())


def test_a_hung_discovery_call_fails_and_the_module_asks_again(monkeypatch):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.RESPONSE_TIMEOUT_S", 0.05)
        discovery = Discovery()
        async with running(
            Peer(), discovery=discovery, settings={"invariants": {"askWithinMs": 100.0}}
        ) as node:
            await until(lambda: len(discovery.seen) >= 2)
            assert discovery.seen[0].first[1].endswith("&timeout_ms=50")
            assert node.event_counts["list failed"] >= 1

    asyncio.run(main())


def test_a_pushed_list_is_followed_unasked_and_through_failures(monkeypatch):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.INITIAL_BACKOFF_S", 0.01)
        discovery = Discovery(reply(503), listing(5, True, s9=("127.0.0.1:9", "Ready")))
        async with running(Peer(), discovery=discovery, settings={"registryMode": "push"}) as node:
            await until(lambda: set(node.pool._endpoints) == {"s9"})
            assert set(node.driver.balancer.endpoints) == {"s9"}

    asyncio.run(main())


def waits(discovery):
    return [int(message.first[1].rpartition("=")[2]) for message in discovery.seen]


class Deaf(Discovery):
    """Stays silent on its first call."""

    async def _next(self, message):
        if len(self.seen) == 1:
            await asyncio.Event().wait()
        return await super()._next(message)


def test_a_pushed_list_that_is_silent_from_the_start_is_asked_again_at_once(monkeypatch):
    """Guard: what an agent has counts as told from a process's first moment; its silence showed after 6 s."""
    monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.RESPONSE_TIMEOUT_S", 0.05)
    monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.INITIAL_BACKOFF_S", 0.01)

    async def main():
        discovery = Deaf(listing(5, True, s9=("127.0.0.1:9", "Ready")), reply(503))
        async with running(Peer(), discovery=discovery, settings={"registryMode": "push"}) as node:
            await until(lambda: set(node.pool._endpoints) == {"s9"})
            await until(lambda: len(discovery.seen) == 4)
            assert waits(discovery) == [50, 50, 2750, 50]  # long only while discovery is heard

    asyncio.run(main())


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_discovery_moved_to_is_asked_at_once_whatever_became_of_the_old_one(mode):
    """Guard: its news counts as told 4 s after SIGHUP, and a call could be 4 s off or silent for 6 s."""

    async def main():
        elsewhere, gone = Discovery(listing(6, True, s6=("127.0.0.1:6", "Ready"))), Discovery(None)
        await elsewhere.start()
        async with running(Peer(), discovery=gone, settings={"registryMode": mode}) as node:
            await until(lambda: node.event_counts["list failed"])
            node.balancer = Scripted()  # asks for no watch of its own
            node.watcher.change_address(parse_address(elsewhere.endpoint))
            await until(lambda: "s6" in node.pool._endpoints and len(elsewhere.seen) == 2)
            assert waits(elsewhere) == [50, 2750]
        elsewhere.stop()

    asyncio.run(main())


def test_a_stale_list_is_a_failure_and_the_newer_one_holds(monkeypatch, caplog):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.INITIAL_BACKOFF_S", 0.01)
        discovery = Discovery(
            listing(5, True, s5=("127.0.0.1:5", "Ready")),
            listing(3, True, s3=("127.0.0.1:3", "Ready")),
            listing(4, False, s5=("127.0.0.1:5", "Gone")),
            listing(6, False, s6=("127.0.0.1:6", "Ready")),
        )
        async with running(Peer(), discovery=discovery, settings={"registryMode": "push"}) as node:
            await until(lambda: "s6" in node.pool._endpoints)
            assert set(node.pool._endpoints) == set(node.driver.balancer.endpoints) == {"s5", "s6"}
            assert node.event_counts["list failed"] == 2
            assert caplog.text.count("stale list, revision 3 after 5") == 1
            assert caplog.text.count("the last list stays in use") == 1  # once for the stretch

    asyncio.run(main())


def test_a_rebuilt_discovery_counting_again_is_taken_once_it_has_said_so_long_enough(monkeypatch, caplog):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.INITIAL_BACKOFF_S", 0.01)
        monkeypatch.setattr("loadbalancer.node.discovery.revision_guard.REBUILD_HOLD_S", 0.0)
        discovery = Discovery(
            listing(50, True, s5=("127.0.0.1:5", "Ready")),
            listing(2, True, s2=("127.0.0.1:2", "Ready")),
            listing(3, True, s2=("127.0.0.1:2", "Ready"), s3=("127.0.0.1:3", "Ready")),
            listing(4, False, s4=("127.0.0.1:4", "Ready")),
        )
        async with running(Peer(), discovery=discovery, settings={"registryMode": "push"}) as node:
            await until(lambda: "s4" in node.pool._endpoints)
            assert set(node.pool._endpoints) == {"s2", "s3", "s4"}
            assert node.event_counts["list failed"] == 1
            assert caplog.text.count("restarted its revisions (3 after 50)") == 1

    asyncio.run(main())


def test_a_discovery_moved_to_may_count_its_versions_from_elsewhere():
    async def main():
        elsewhere = Discovery(listing(1, True, s1=("127.0.0.1:1", "Ready")))
        await elsewhere.start()
        discovery = Discovery(listing(5, True, s5=("127.0.0.1:5", "Ready")))
        async with running(Peer(), discovery=discovery, settings={"registryMode": "push"}) as node:
            await until(lambda: "s5" in node.pool._endpoints)
            node.watcher.change_address(parse_address(elsewhere.endpoint))
            await until(lambda: set(node.pool._endpoints) == {"s1"})
        elsewhere.stop()

    asyncio.run(main())


def test_nodes_whose_discovery_failed_in_the_same_moment_ask_again_spread_out():
    """Guard: the first watches of a whole fleet fell silent, and all of it asked again within some 10 ms."""
    pauses = sorted(PollPolicy(5.0, 5.0, Random(seed)).record_failure() for seed in range(40))
    assert 0.25 <= pauses[0] < 0.3
    assert 0.45 < pauses[-1] <= 0.5
    assert max(later - earlier for earlier, later in itertools.pairwise(pauses)) < 0.05


def test_a_drain_moves_what_waits_to_connect_to_another_server():
    async def main():
        server = Peer()
        async with running(server) as node:
            node.driver.balancer = scripted = Scripted(send_to("s0", "s0"))
            caller = await Caller.to(node)
            hold = asyncio.Event()

            async def never(endpoint):
                await hold.wait()

            node.pool.open_connection = never  # a connection that does not come up
            caller.writer.write(request())
            await until(lambda: node.pool.connection_count)
            row = DiscoveryResponse(
                9, False, (Endpoint("s0", state=EndpointStatus.DRAINING),), {"s0": ("", 1)}
            )
            node.endpoint_list.apply_update(EndpointListKind.DELTA, row)
            assert [event.result for event in scripted.of(AttemptOutcome)] == [
                AttemptResult.CONNECT_FAILED
            ] * 2
            assert (await caller.answer()).status == 502
            assert server.seen == []
            caller.writer.close()

    asyncio.run(main())


def test_ready_only_with_a_server_to_send_to():
    async def main():
        up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        discovery = Discovery(listing(5, True, s9=("127.0.0.1:9", "Ready")))
        async with running(discovery=discovery) as node:
            assert (await ask(node, up)).status == 503
            await until(lambda: node.listener.ready)
            assert (await ask(node, up)).status == 200

    asyncio.run(main())


def test_the_clock_is_unix_time_once_and_never_goes_back(monkeypatch):
    class Loop:
        def __init__(self):
            self.times = itertools.count(100.0, 0.5)

        def time(self):
            return next(self.times)

    before = time.time() * 1000.0
    clock = Clock(Loop())
    assert abs(clock.unix_ms() - before) < 60_000
    monkeypatch.setattr(time, "time", lambda: 0.0)
    first, second = clock.unix_ms(), clock.unix_ms()
    assert first < second


def test_the_seed_is_hex_text():
    assert config("127.0.0.1:1").seed == 0x8C1F30D27A5BE964


def test_a_send_whose_time_is_over_is_moot_and_touches_no_socket():
    async def main():
        server = Peer()
        async with running(server) as node:

            def act(event):
                if isinstance(event, Request):
                    return [Send(event.id, "s0"), Send(event.id, "s0")]
                return [Reject(event.id)] if isinstance(event, AttemptOutcome) else []

            node.driver.balancer = scripted = Scripted(act)
            assert (await ask(node, request(Req_Deadline_Ms="0"))).status == 503
            outcomes = [(event.result, event.attempt) for event in scripted.of(AttemptOutcome)]
            assert outcomes == [(AttemptResult.ABANDONED, 0), (AttemptResult.ABANDONED, 1)]
            assert server.connections == 0

    asyncio.run(main())


def test_connections_from_before_a_servers_restart_are_not_used(monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        server = Peer()
        async with running(server) as node:
            assert (await ask(node, request(name="q1"))).status == 200
            endpoints = {"s0": ("127.0.0.1", server.port)}
            for launched in (5.0, 5.0):
                row = DiscoveryResponse(9, False, (Endpoint("s0", launched_ms=launched),), endpoints)
                node.endpoint_list.apply_update(EndpointListKind.DELTA, row)
                assert (await ask(node, request(name="q2"))).status == 200
            assert server.connections == 2

    asyncio.run(main())
