"""The node over loopback sockets: requests, responses, balancer events, and the endpoint list."""

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
    BlockedServer,
    Client,
    Discovery,
    ScriptedBalancer,
    StubServer,
    config,
    exchange,
    http_response,
    list_response,
    loopback_node,
    request,
    wait_until,
)


def send_to(*names):
    """Return an `act` that sends each request to the first server, and after each failure to the next."""
    sent = {}

    def act(event):
        if isinstance(event, Request) or (isinstance(event, AttemptOutcome) and not event.request_ended):
            attempt = sent[event.id] = sent.get(event.id, -1) + 1
            return [Send(event.id, names[attempt])] if attempt < len(names) else [Fail(event.id)]
        return []

    return act


def test_request_is_forwarded_and_response_returned():
    async def main():
        async def script(message):
            return http_response(200, b"posted", Srv_Load="TEXT inflight=7, queue=3, util=0.61")

        server = StubServer(script)
        async with loopback_node(server) as node:
            response = await exchange(
                node, request("post", "q7", b'{"a":1}', Req_Deadline_Ms="9000", Idempotency_Key="k1")
            )
            assert (response.status, response.body) == (200, b"posted")
            received = server.requests[0]
            assert received.start_line == ["POST", "/post/7f3a?x=1", "HTTP/1.1"]
            assert received.body == b'{"a":1}'
            assert (received.headers["req-id"], received.headers["idempotency-key"]) == ("q7", "k1")
            assert 0 < int(received.headers["req-deadline-ms"]) < 9000
            assert node.driver.balancer.endpoints["s0"].reported_queue == 3
            assert node.request_registry.active == {}

    asyncio.run(main())


def test_request_headers_reach_balancer():
    async def main():
        async with loopback_node(StubServer()) as node:
            node.driver.balancer = scripted = ScriptedBalancer(lambda event: [Reject(event.id, 250.0)])
            before = node.clock.unix_ms()
            response = await exchange(
                node,
                request(Req_Owner="acme", Req_Retry="1", Req_Cost="1500", Req_Deadline_Ms="5000"),
            )
            assert (response.status, response.headers["retry-after"]) == (503, "0.250")
            event = scripted.events_of(Request)[0]
            assert (event.service, event.tenant, event.is_retry, event.cost_hint_ms) == (
                "read",
                "acme",
                True,
                1.5,
            )
            assert event.deadline_ms < node.clock.unix_ms() + 5000  # the travel time is deducted
            assert event.deadline_ms > before + 4900

    asyncio.run(main())


@pytest.mark.parametrize("kind", ["post", "read"])
def test_node_does_not_resend_on_its_own_after_connection_reset(kind, monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        async def script(message):
            return None if len(server.requests) == 2 else http_response()

        server = StubServer(script)
        async with loopback_node(server) as node:
            node.driver.balancer = scripted = ScriptedBalancer(send_to("s0"))
            assert (await exchange(node, request(kind, "q1"))).status == 200
            assert (await exchange(node, request(kind, "q2"))).status == 502  # on the reused connection
            assert (server.connections, len(server.requests)) == (1, 2)
            assert [event.result for event in scripted.events_of(AttemptOutcome)] == [
                AttemptResult.OK,
                AttemptResult.RESET,
            ]

    asyncio.run(main())


def test_single_shot_request_is_retried_only_if_server_declined_it():
    async def main():
        async def script(message):
            return (
                http_response(503, Srv_Declined="1")
                if message.headers["req-id"] == "q1"
                else http_response(500)
            )

        first, second = StubServer(script), StubServer(script)
        async with loopback_node(first, second) as node:
            assert (await exchange(node, request("post", "q1"))).status == 503
            assert len(first.requests) == len(second.requests) == 1
            assert (await exchange(node, request("post", "q2"))).status == 502
            assert len(first.requests) + len(second.requests) == 3

    asyncio.run(main())


def test_send_beyond_max_attempts_or_after_request_end_is_abandoned():
    async def main():
        async def script(message):
            return http_response(500)

        server = StubServer(script)
        async with loopback_node(server) as node:

            def act(event):
                abandoned = isinstance(event, AttemptOutcome) and event.result is AttemptResult.ABANDONED
                if isinstance(event, Request | AttemptOutcome):
                    return [Fail(event.id)] if abandoned else [Send(event.id, "s0")]
                return []

            node.driver.balancer = scripted = ScriptedBalancer(act)
            assert (await exchange(node, request())).status == 502
            assert len(server.requests) == 3
            outcomes = scripted.events_of(AttemptOutcome)
            assert [event.attempt for event in outcomes] == [0, 1, 2, 3]
            assert outcomes[-1].result is AttemptResult.ABANDONED
            node.driver.balancer = scripted = ScriptedBalancer()
            node.driver._execute(Send("q1", "s0"))
            assert [(event.result, event.request_ended) for event in scripted.events_of(AttemptOutcome)] == [
                (AttemptResult.ABANDONED, True)
            ]
            assert len(server.requests) == 3

    asyncio.run(main())


def test_client_disconnect_cancels_request_and_ends_its_attempt():
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            client.writer.write(request())
            await wait_until(lambda: server.requests)
            assert node.driver.balancer.endpoints["s0"].in_flight == 1.0
            client.writer.close()
            await wait_until(lambda: not node.request_registry.active)
            assert node.driver.balancer.endpoints["s0"].in_flight == 0.0
            assert node.request_registry.unanswered == 0

    asyncio.run(main())


def test_losing_hedged_attempt_reports_outcome_after_request_end():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, StubServer()) as node:

            def act(event):
                if isinstance(event, Request):
                    return [Send(event.id, "s0"), Send(event.id, "s1")]
                return []

            node.driver.balancer = scripted = ScriptedBalancer(act)
            assert (await exchange(node, request())).body == b"done"
            server.release.set()
            await wait_until(lambda: not node.request_registry.active)
            outcomes = scripted.events_of(AttemptOutcome)
            assert [(event.attempt, event.request_ended) for event in outcomes] == [(1, True), (0, True)]

    asyncio.run(main())


@pytest.mark.parametrize("kind", [Request, AttemptOutcome])
def test_balancer_exception_still_yields_response(kind):
    async def main():
        async with loopback_node(StubServer(lambda message: asyncio.sleep(0, http_response(500)))) as node:

            def act(event):
                if isinstance(event, kind):
                    raise RuntimeError("broken")
                return [Send(event.id, "s0")] if isinstance(event, Request) else []

            node.driver.balancer = scripted = ScriptedBalancer(act)
            assert (await exchange(node, request())).status == 500
            assert scripted.events_of(RequestCancelled)
            assert not node.request_registry.active
            assert node.listener.ready

    asyncio.run(main())


def test_balancer_exception_on_timer_event_fires_timer_again(monkeypatch):
    async def main():
        monkeypatch.setattr(driver_module, "TIMER_RETRY_DELAY_S", 0.01)

        def act(event):
            if isinstance(event, TimerFired) and len(scripted.events_of(TimerFired)) == 1:
                raise RuntimeError("broken")
            return []

        async with loopback_node(StubServer()) as node:
            node.driver.balancer = scripted = ScriptedBalancer(act)
            node.driver._execute(SetTimer(1.0, "tick"))
            await wait_until(
                lambda: len([event for event in scripted.events_of(TimerFired) if event.name == "tick"]) == 2
            )

    asyncio.run(main())


def test_request_ignored_by_balancer_gets_504_at_deadline():
    async def main():
        async with loopback_node(StubServer()) as node:
            node.driver.balancer = scripted = ScriptedBalancer()
            assert (await exchange(node, request(Req_Deadline_Ms="200"))).status == 504
            assert [event.id for event in scripted.events_of(RequestCancelled)] == ["q1"]

    asyncio.run(main())


def test_attempt_timeout_is_capped_by_request_deadline():
    async def main():
        async with loopback_node(BlockedServer()) as node:

            def act(event):
                if isinstance(event, Request):
                    return [Send(event.id, "s0", 60_000.0)]
                return [Fail(event.id)] if isinstance(event, AttemptOutcome) else []

            node.driver.balancer = scripted = ScriptedBalancer(act)
            assert (await exchange(node, request(Req_Deadline_Ms="300"))).status == 504
            # The balancer's timeout of the attempt came first, not the node's timeout of the request.
            assert [event.result for event in scripted.events_of(AttemptOutcome)] == [AttemptResult.TIMEOUT]
            assert not scripted.events_of(RequestCancelled)

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
        (request("move"), 400),  # no idempotency key
        (request("other"), 404),
        (b"GET / HTTP/1.1\r\nReq-Id: q\r\n\r\n", 404),
        (request().replace(b"GET", b"POST"), 405),
        (b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nContent-Length: %d\r\n\r\n" % TOO_LONG, 413),
    ],
)
def test_invalid_request_is_rejected_before_balancer(data, status):
    async def main():
        async with loopback_node(StubServer()) as node:
            node.driver.balancer = scripted = ScriptedBalancer()
            assert (await exchange(node, data)).status == status
            assert not scripted.events_of(Request)
            assert not node.request_registry.active

    asyncio.run(main())


def test_statistics_count_malformed_requests_apart_from_invalid_ones(caplog):
    caplog.set_level("INFO", logger="loadbalancer")

    async def main():
        async with loopback_node(StubServer()) as node:
            assert (await exchange(node, request(Req_Deadline_Ms="soon"))).status == 400
            assert (await exchange(node, b"nonsense\r\n\r\n")).status == 400
            node.periodic_tasks._log_statistics()
            assert "bad requests 400 1, malformed requests 1, requests 1;" in caplog.text

    asyncio.run(main())


def test_plain_64_kib_body_and_chunked_body_are_forwarded():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            assert (await exchange(node, request("post", "q1", b"x" * 65536))).status == 200
            chunked = b"POST /post/1 HTTP/1.1\r\nReq-Id: q2\r\nTransfer-Encoding: chunked\r\n\r\n"
            assert (await exchange(node, chunked + b"3\r\nabc\r\n0\r\n\r\n")).status == 200
            assert [len(message.body) for message in server.requests] == [65536, 3]

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
def test_absolute_target_is_forwarded_as_path_and_query(target, expected):
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            data = b"POST " + target + b" HTTP/1.1\r\nHost: x\r\nReq-Id: q1\r\nContent-Length: 0\r\n\r\n"
            response = await exchange(node, data)
            assert response.status == (200 if expected else 404)
            assert [message.start_line[1] for message in server.requests] == ([expected] if expected else [])
            assert (await exchange(node, b"GET http://x/up HTTP/1.1\r\nHost: x\r\n\r\n")).status == 200

    asyncio.run(main())


def test_trailers_and_chunk_extensions_are_ignored():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            head = b"POST /post/1 HTTP/1.1\r\nReq-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
            body = b"7530;note=1\r\n" + b"x" * 30_000 + b"\r\n0\r\nReq-Id: other\r\nX-Sum: 1\r\n\r\n"
            assert (await exchange(node, head + body)).status == 200
            (received,) = server.requests
            assert received.headers["req-id"] == "q1"
            assert len(received.body) == 30_000

    asyncio.run(main())


def test_headers_listed_in_connection_are_dropped_except_request_id():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            more = {"Connection": "keep-alive, X-Hop, req-id", "X-Hop": "1", "X-End": "2"}
            assert (await exchange(node, request("post", "q1", **more))).status == 200
            (received,) = server.requests
            assert "x-hop" not in received.headers
            assert (received.headers["x-end"], received.headers["req-id"]) == ("2", "q1")

    asyncio.run(main())


def test_duplicate_id_in_flight_is_rejected():
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            first = asyncio.create_task(exchange(node, request("post", "q1")))
            await wait_until(lambda: server.requests)
            assert (await exchange(node, request("post", "q1"))).status == 400
            server.release.set()
            assert (await first).status == 200
            assert len(server.requests) == 1

    asyncio.run(main())


def test_pipelined_requests_get_responses_in_order():
    async def main():
        async with loopback_node(
            StubServer(lambda message: asyncio.sleep(0, http_response(200, message.body)))
        ) as node:
            client = await Client.connect(node)
            client.writer.write(b"".join(request("post", f"q{index}", b"%d" % index) for index in range(5)))
            assert [(await client.read_response()).body for _ in range(5)] == [b"0", b"1", b"2", b"3", b"4"]
            assert (await client.exchange(request("post", "q9", b"9"))).body == b"9"
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("data", [b"", b"\r\n", b"GET /read/1 HTT", request("post", "q1", b"whole")[:-1]])
def test_incomplete_request_gets_408_or_close_within_3_s(data):
    async def main():
        async with loopback_node(StubServer()) as node:
            start = node.loop.time()
            client = await Client.connect(node)
            await wait_until(lambda: node.listener.connections)
            connection = next(iter(node.listener.connections))
            opened = connection.last_activity_at
            client.writer.write(data)
            await wait_until(
                lambda: not data or connection.last_activity_at > opened
            )  # the node has read the data
            node.listener.expire(start + HEAD_TIMEOUT_S)  # not due yet
            assert node.listener.expired == 0
            assert HEAD_TIMEOUT_S + BODY_GRACE_S + SWEEP_INTERVAL_S < 3.0
            node.listener.expire(node.loop.time() + HEAD_TIMEOUT_S)
            response = await client.reader.read()
            assert response == b"" or response.startswith(b"HTTP/1.1 408 ")
            assert node.listener.expired == 1
            client.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("head_s", "size", "after_s", "cut_off"),
    [
        (2.0, 0, 0.2, False),  # a slow head
        (2.0, 60_000, 0.9, False),  # then a slow body: 64 kB per second
        (2.0, 10_000, 0.9, True),
        (0.0, 100, 2.0, False),  # within HEAD_TIMEOUT_S no minimum rate applies
        (0.0, 100, 2.4, True),
        (0.0, 65_000, 1.9, False),
    ],
)
def test_slow_head_and_slow_body_have_separate_timeouts(head_s, size, after_s, cut_off):
    async def main():
        async with loopback_node(StubServer()) as node:
            client = await Client.connect(node)
            await wait_until(lambda: node.listener.connections)
            (connection,) = node.listener.connections
            data = request("post", "q1", b"x" * 65_536)
            client.writer.write(data[: len(data) - 65_536 + size])
            await wait_until(
                lambda: connection._parser.state is ReceiveState.BODY and connection._parser.size == size
            )
            connection._parser.head_received_at = connection._parser.started_at + head_s
            now = connection._parser.head_received_at + after_s
            node.listener.expire(now)
            assert node.listener.expired == cut_off
            assert size / after_s < MIN_BODY_BYTES_PER_S or not cut_off
            client.writer.close()

    asyncio.run(main())


def test_idle_or_waiting_client_connection_does_not_expire():
    async def main():
        server = BlockedServer()
        async with loopback_node(server) as node:
            client = await Client.connect(node)
            client.writer.write(request(name="q1"))
            await wait_until(lambda: server.requests)
            node.listener.expire(node.loop.time() + 60.0)
            server.release.set()
            assert (await client.read_response()).status == 200
            node.listener.expire(node.loop.time() + 60.0)
            assert (await client.exchange(request(name="q2"))).status == 200
            assert node.listener.expired == 0
            client.writer.close()

    asyncio.run(main())


def test_request_over_max_open_is_rejected():
    async def main():
        server = BlockedServer()
        async with loopback_node(server, bounds={"maxOpen": 1}) as node:
            first = asyncio.create_task(exchange(node, request(name="q1")))
            await wait_until(lambda: server.requests)
            assert (await exchange(node, request(name="q2"))).status == 503
            server.release.set()
            assert (await first).status == 200
            assert len(server.requests) == 1

    asyncio.run(main())


def test_many_connections_stay_within_limit_and_all_are_accepted():
    async def main():
        async with loopback_node(StubServer(), limits={"sockets": 132}) as node:
            clients = [await Client.connect(node) for _ in range(200)]
            await wait_until(lambda: len(node.listener.connections) <= node.listener.request_limit)
            assert node.listener.request_limit == 45
            assert (await clients[-1].exchange(request())).status == 200
            for client in clients:
                client.writer.close()

    asyncio.run(main())


def test_burst_of_connections_stays_within_descriptor_limit():
    async def main():
        async with (
            loopback_node(StubServer(), limits={"sockets": 132}) as node,
            contextlib.AsyncExitStack() as stack,
        ):
            before = len(os.listdir("/proc/self/fd"))
            # All wait in the kernel's accept queue before the node's event loop runs.
            burst = [stack.enter_context(socket.create_connection(node.listener.address)) for _ in range(200)]
            burst[-1].sendall(request())
            peak, readable = 0, select.poll()  # select() takes no descriptor above 1,023
            readable.register(burst[-1], select.POLLIN)
            async with asyncio.timeout(20):
                while not readable.poll(0):
                    peak = max(peak, len(os.listdir("/proc/self/fd")) - before - len(burst))
                    await asyncio.sleep(0)
            assert burst[-1].recv(12) == b"HTTP/1.1 200"
            assert node.listener.request_limit <= peak <= 100

    asyncio.run(main())


def test_connection_over_limit_of_busy_ones_gets_503_and_close():
    async def main():
        async with loopback_node(StubServer(), limits={"sockets": 132}) as node:
            node.driver.balancer = scripted = ScriptedBalancer()  # leaves every request in flight
            clients = [await Client.connect(node) for _ in range(node.listener.request_limit)]
            for index, client in enumerate(clients):
                client.writer.write(request(name=f"q{index}"))
            await wait_until(lambda: node.request_registry.unanswered == len(clients))
            late = await exchange(node, request(name="late"))
            assert (late.status, late.headers["connection"]) == (503, "close")
            assert len(scripted.events_of(Request)) == len(clients)
            await wait_until(lambda: len(node.listener.connections) == len(clients))
            for index, client in enumerate(clients):
                node.driver._execute(Reject(f"q{index}"))
                assert (await client.read_response()).status == 503
                client.writer.close()

    asyncio.run(main())


def test_list_updates_reach_balancer_as_full_delta_and_failed():
    async def main():
        server = StubServer()
        await server.start()
        discovery = Discovery(
            list_response(5, True, s1=(server.endpoint, "Ready")),
            list_response(6, False, s1=(server.endpoint, "Terminating"), s2=(server.endpoint, "Ready")),
            http_response(503),
        )
        async with loopback_node(StubServer(), discovery=discovery) as node:
            node.driver.balancer = scripted = ScriptedBalancer()
            # On the initial list, the balancer has already requested a watch.
            await wait_until(lambda: len(scripted.events_of(EndpointListUpdate)) == 3)
            kinds = [event.kind for event in scripted.events_of(EndpointListUpdate)]
            assert kinds == [EndpointListKind.FULL, EndpointListKind.DELTA, EndpointListKind.FAILED]
            assert set(node.pool._endpoints) == {"s2"}
            queries = [message.start_line[1] for message in discovery.requests]
            assert [query.split("?")[1].split("&")[0] for query in queries] == [
                "since=1",
                "since=5",
                "since=6",
            ]
            assert discovery.connections == 1
        server.stop()

    asyncio.run(main())


def test_initial_list_reaches_balancer_first_and_as_cached():
    async def main():
        async with loopback_node(StubServer()) as node:
            node.driver.balancer = scripted = ScriptedBalancer()
            await node.start()
            assert [event.kind for event in scripted.events_of(EndpointListUpdate)] == [
                EndpointListKind.CACHED
            ]
            assert scripted.events[0].endpoints[0].launched_ms is None  # boot_ms 0 means launched long ago

    asyncio.run(main())


@pytest.mark.parametrize(
    "response",
    [
        http_response(500),
        http_response(200, b"{"),
        http_response(200, b"[]"),
        http_response(200, b'{"rev":2,"all":true,"targets":[{"uid":"x"}]}'),
        http_response(
            200, b'{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":"nowhere","state":"Ready"}]}'
        ),
        http_response(
            200, b'{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":"127.0.0.1:1","state":"Odd"}]}'
        ),
        None,
    ],
)
def test_failed_or_malformed_discovery_response_keeps_last_list(response, caplog):
    async def main():
        discovery = Discovery(response)
        async with loopback_node(StubServer(), discovery=discovery) as node:
            node.driver.balancer = scripted = ScriptedBalancer()  # requests no watch
            await wait_until(lambda: scripted.events_of(EndpointListUpdate))
            assert [event.kind for event in scripted.events_of(EndpointListUpdate)] == [
                EndpointListKind.FAILED
            ]
            assert (set(node.pool._endpoints), node.listener.ready) == ({"s0"}, True)
            assert "the last list stays in use" in caplog.text
            await wait_until(lambda: len(discovery.requests) == 2)  # regardless of the balancer

    asyncio.run(main())


def test_oversized_list_is_a_failure_and_keeps_last_list(monkeypatch, caplog):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.client.MAX_LIST_BYTES", 400)
        huge = list_response(2, True, **{f"s{n}": (f"127.0.0.1:{1000 + n}", "Ready") for n in range(20)})
        async with loopback_node(StubServer(), discovery=Discovery(huge)) as node:
            node.driver.balancer = scripted = ScriptedBalancer()
            await wait_until(lambda: scripted.events_of(EndpointListUpdate))
            assert [event.kind for event in scripted.events_of(EndpointListUpdate)] == [
                EndpointListKind.FAILED
            ]
            assert set(node.pool._endpoints) == {"s0"}
            assert "the last list stays in use" in caplog.text

    asyncio.run(main())


def test_discovery_poll_times_out_and_is_repeated(monkeypatch):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.RESPONSE_TIMEOUT_S", 0.05)
        discovery = Discovery()
        async with loopback_node(
            StubServer(), discovery=discovery, settings={"invariants": {"askWithinMs": 100.0}}
        ) as node:
            await wait_until(lambda: len(discovery.requests) >= 2)
            assert discovery.requests[0].start_line[1].endswith("&timeout_ms=50")
            assert node.event_counts["list failed"] >= 1

    asyncio.run(main())


def test_pushed_list_is_applied_after_failed_poll(monkeypatch):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.INITIAL_BACKOFF_S", 0.01)
        discovery = Discovery(http_response(503), list_response(5, True, s9=("127.0.0.1:9", "Ready")))
        async with loopback_node(
            StubServer(), discovery=discovery, settings={"registryMode": "push"}
        ) as node:
            await wait_until(lambda: set(node.pool._endpoints) == {"s9"})
            assert set(node.driver.balancer.endpoints) == {"s9"}

    asyncio.run(main())


def requested_waits_ms(discovery):
    return [int(message.start_line[1].rpartition("=")[2]) for message in discovery.requests]


class SilentAtFirst(Discovery):
    """A stub of discovery that never responds to its first poll."""

    async def _next(self, message):
        if len(self.requests) == 1:
            await asyncio.Event().wait()
        return await super()._next(message)


def test_first_poll_without_response_is_repeated_quickly(monkeypatch):
    """Guards against a long first poll: an agent that didn't respond to it was noticed only after 6 s."""
    monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.RESPONSE_TIMEOUT_S", 0.05)
    monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.INITIAL_BACKOFF_S", 0.01)

    async def main():
        discovery = SilentAtFirst(list_response(5, True, s9=("127.0.0.1:9", "Ready")), http_response(503))
        async with loopback_node(
            StubServer(), discovery=discovery, settings={"registryMode": "push"}
        ) as node:
            await wait_until(lambda: set(node.pool._endpoints) == {"s9"})
            await wait_until(lambda: len(discovery.requests) == 4)
            assert requested_waits_ms(discovery) == [50, 50, 2750, 50]  # a long poll only after a response

    asyncio.run(main())


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_new_discovery_address_is_polled_at_once_after_failures_of_old_one(mode):
    """Guards against a late list: it must arrive 4 s after SIGHUP; a backoff took 4 s, a silent poll 6 s."""

    async def main():
        new, old = Discovery(list_response(6, True, s6=("127.0.0.1:6", "Ready"))), Discovery(None)
        await new.start()
        async with loopback_node(StubServer(), discovery=old, settings={"registryMode": mode}) as node:
            await wait_until(lambda: node.event_counts["list failed"])
            node.balancer = ScriptedBalancer()  # requests no watch itself
            node.watcher.change_address(parse_address(new.endpoint))
            await wait_until(lambda: "s6" in node.pool._endpoints and len(new.requests) == 2)
            assert requested_waits_ms(new) == [50, 2750]
        new.stop()

    asyncio.run(main())


def test_stale_list_is_a_failure_and_newer_list_stays(monkeypatch, caplog):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.INITIAL_BACKOFF_S", 0.01)
        discovery = Discovery(
            list_response(5, True, s5=("127.0.0.1:5", "Ready")),
            list_response(3, True, s3=("127.0.0.1:3", "Ready")),
            list_response(4, False, s5=("127.0.0.1:5", "Gone")),
            list_response(6, False, s6=("127.0.0.1:6", "Ready")),
        )
        async with loopback_node(
            StubServer(), discovery=discovery, settings={"registryMode": "push"}
        ) as node:
            await wait_until(lambda: "s6" in node.pool._endpoints)
            assert set(node.pool._endpoints) == set(node.driver.balancer.endpoints) == {"s5", "s6"}
            assert node.event_counts["list failed"] == 2
            assert caplog.text.count("stale list, revision 3 after 5") == 1
            assert caplog.text.count("the last list stays in use") == 1  # once per series of failures

    asyncio.run(main())


def test_restarted_revisions_are_accepted_after_hold_time(monkeypatch, caplog):
    async def main():
        monkeypatch.setattr("loadbalancer.node.discovery.poll_policy.INITIAL_BACKOFF_S", 0.01)
        monkeypatch.setattr("loadbalancer.node.discovery.revision_guard.REBUILD_HOLD_S", 0.0)
        discovery = Discovery(
            list_response(50, True, s5=("127.0.0.1:5", "Ready")),
            list_response(2, True, s2=("127.0.0.1:2", "Ready")),
            list_response(3, True, s2=("127.0.0.1:2", "Ready"), s3=("127.0.0.1:3", "Ready")),
            list_response(4, False, s4=("127.0.0.1:4", "Ready")),
        )
        async with loopback_node(
            StubServer(), discovery=discovery, settings={"registryMode": "push"}
        ) as node:
            await wait_until(lambda: "s4" in node.pool._endpoints)
            assert set(node.pool._endpoints) == {"s2", "s3", "s4"}
            assert node.event_counts["list failed"] == 1
            assert caplog.text.count("restarted its revisions (3 after 50)") == 1

    asyncio.run(main())


def test_lower_revisions_are_accepted_from_new_discovery_address():
    async def main():
        new = Discovery(list_response(1, True, s1=("127.0.0.1:1", "Ready")))
        await new.start()
        discovery = Discovery(list_response(5, True, s5=("127.0.0.1:5", "Ready")))
        async with loopback_node(
            StubServer(), discovery=discovery, settings={"registryMode": "push"}
        ) as node:
            await wait_until(lambda: "s5" in node.pool._endpoints)
            node.watcher.change_address(parse_address(new.endpoint))
            await wait_until(lambda: set(node.pool._endpoints) == {"s1"})
        new.stop()

    asyncio.run(main())


def test_backoffs_after_simultaneous_poll_failures_are_spread_out():
    """Guards against synchronized polls: after their first watches failed, all nodes polled within 10 ms."""
    backoffs = sorted(PollPolicy(5.0, 5.0, Random(seed)).record_failure() for seed in range(40))
    assert 0.25 <= backoffs[0] < 0.3
    assert 0.45 < backoffs[-1] <= 0.5
    assert max(later - earlier for earlier, later in itertools.pairwise(backoffs)) < 0.05


def test_draining_server_fails_attempts_that_wait_for_connection():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            node.driver.balancer = scripted = ScriptedBalancer(send_to("s0", "s0"))
            client = await Client.connect(node)
            hold = asyncio.Event()

            async def hang(endpoint):
                await hold.wait()

            node.pool.open_connection = hang  # no connection is ever established
            client.writer.write(request())
            await wait_until(lambda: node.pool.connection_count)
            update = DiscoveryResponse(
                9, False, (Endpoint("s0", state=EndpointStatus.DRAINING),), {"s0": ("", 1)}
            )
            node.endpoint_list.apply_update(EndpointListKind.DELTA, update)
            assert [event.result for event in scripted.events_of(AttemptOutcome)] == [
                AttemptResult.CONNECT_FAILED
            ] * 2
            assert (await client.read_response()).status == 502
            assert server.requests == []
            client.writer.close()

    asyncio.run(main())


def test_node_is_ready_only_with_a_ready_server():
    async def main():
        up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        discovery = Discovery(list_response(5, True, s9=("127.0.0.1:9", "Ready")))
        async with loopback_node(discovery=discovery) as node:
            assert (await exchange(node, up)).status == 503
            await wait_until(lambda: node.listener.ready)
            assert (await exchange(node, up)).status == 200

    asyncio.run(main())


def test_clock_starts_at_unix_time_and_is_monotonic(monkeypatch):
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


def test_seed_is_parsed_as_hexadecimal():
    assert config("127.0.0.1:1").seed == 0x8C1F30D27A5BE964


def test_send_after_deadline_is_abandoned_without_connection():
    async def main():
        server = StubServer()
        async with loopback_node(server) as node:

            def act(event):
                if isinstance(event, Request):
                    return [Send(event.id, "s0"), Send(event.id, "s0")]
                return [Reject(event.id)] if isinstance(event, AttemptOutcome) else []

            node.driver.balancer = scripted = ScriptedBalancer(act)
            assert (await exchange(node, request(Req_Deadline_Ms="0"))).status == 503
            outcomes = [(event.result, event.attempt) for event in scripted.events_of(AttemptOutcome)]
            assert outcomes == [(AttemptResult.ABANDONED, 0), (AttemptResult.ABANDONED, 1)]
            assert server.connections == 0

    asyncio.run(main())


def test_connections_from_before_server_restart_are_not_reused(monkeypatch):
    monkeypatch.setattr("loadbalancer.node.upstream.pool.REUSE_DELAY_S", 0.0)

    async def main():
        server = StubServer()
        async with loopback_node(server) as node:
            assert (await exchange(node, request(name="q1"))).status == 200
            endpoints = {"s0": ("127.0.0.1", server.port)}
            for launched in (5.0, 5.0):
                update = DiscoveryResponse(9, False, (Endpoint("s0", launched_ms=launched),), endpoints)
                node.endpoint_list.apply_update(EndpointListKind.DELTA, update)
                assert (await exchange(node, request(name="q2"))).status == 200
            assert server.connections == 2

    asyncio.run(main())
