"""A real node with unusual settings: requests of every class are served, and failures get a response."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from loadbalancer.balancing.events import TimerFired
from loadbalancer.node.node import Node
from tests.support.loopback import (
    BlockedServer,
    Client,
    Message,
    StubServer,
    exchange,
    http_response,
    loopback_node,
    request,
    targets,
    wait_until,
)

LONG_TIMEOUTS = {"aimMs": 20000.0, "giveUpMs": 30000.0}
KEYED = {"effect": "guarded", "memorySpanMs": 9000.0}
CLASSES_BY_SCOPE = [
    LONG_TIMEOUTS | KEYED | {"name": f"keyed-{scope}", "keyScope": scope} for scope in ("all", "zone", "cell")
]
READ = LONG_TIMEOUTS | {"name": "read", "effect": "free"}
POST = LONG_TIMEOUTS | {"name": "post", "effect": "single_shot"}
ZERO_PRIORITY = {"aimMs": 20000.0, "giveUpMs": 30000.0, "credit": 0.0}

CASES: dict[str, dict[str, Any]] = {
    "idempotency keys of each scope": {"settings": {"categories": CLASSES_BY_SCOPE}},
    "no cancellation": {"bounds": {"cancel": False}},
    "no hedged requests": {"bounds": {"secondCopies": False}},
    "one attempt": {"bounds": {"maxAttempts": 1}},
    "no bounds at all": {"settings": {"bounds": None, "invariants": None, "prices": None}},
    "no load reports": {"settings": {"feedback": {"fields": [], "via": "off"}}},
    "no feedback section": {"settings": {"feedback": None}},
    "reports of other names and order": {
        "settings": {"feedback": {"fields": ["novel", "load_share", "depth"]}}
    },
    "one class": {"settings": {"categories": [READ]}},
    "weight by work": {"settings": {"valueBy": "work"}},
    "not the front tier": {"settings": {"tier": 2, "accounts": [{"name": "north", "quotaPerS": 1.0}]}},
    "tenants without quotas": {
        "settings": {"accounts": [{"name": "north"}, {"name": "south", "fraction": 1}]}
    },
    "tenant quota of zero": {
        "settings": {"accounts": [{"name": "north", "quotaPerS": 0}], "overShareWorth": 0, "siblings": 4}
    },
    "priority of zero": {"settings": {"categories": [READ | ZERO_PRIORITY, POST | ZERO_PRIORITY]}},
    "idle timeout below settle time": {"bounds": {"connIdleMs": 4.0}},
    "idle timeout near zero": {"bounds": {"connIdleMs": 0.001}},
    "few descriptors": {"limits": {"memory_mb": 32, "sockets": 256}},
    "very few descriptors": {"limits": {"memory_mb": 4, "sockets": 40}},
    "one request at a time": {"bounds": {"maxOpen": 1}},
    "no zones": {"settings": {"locality": None, "zones": []}},
    "pushed lists": {"settings": {"registryMode": "push"}},
}


def request_of(class_name: str, request_id: str, **headers: str) -> bytes:
    idempotent = class_name == "read"
    return request(
        "read" if idempotent else class_name,
        request_id,
        **({} if idempotent else {"Idempotency_Key": request_id}),
        **headers,
    )


@contextlib.contextmanager
def full_listen_queue() -> Iterator[str]:
    """Yield an address that accepts no connection: its listen queue is full."""
    with socket.socket() as listener, contextlib.ExitStack() as clients:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            client = clients.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def class_names(node: Node) -> list[str]:
    return [service_class.name for service_class in node.config.settings.classes]


def check_no_faults(node: Node) -> None:
    assert not node.event_counts["balancer faults"]
    assert not node.event_counts["backstop responses"]
    assert not node.request_registry.active


@pytest.mark.parametrize("case", list(CASES))
def test_every_class_is_served_and_failed_requests_get_responses(case):
    async def script(message: Message) -> bytes | None:
        if message.headers["req-id"].startswith("lost"):
            return None  # reset, possibly after execution
        rejected = message.headers["req-id"].startswith("full")
        return (
            http_response(503, Srv_Declined="1")
            if rejected
            else http_response(200, Srv_Load="TEXT depth=1, load_share=0.2")
        )

    async def main():
        first, second = StubServer(script), StubServer(script)
        async with loopback_node(first, second, **CASES[case]) as node:
            for round_number in range(3):
                for name in class_names(node):
                    headers = {"Req_Owner": "north", "Req_Cost": "3000"}
                    response = await exchange(node, request_of(name, f"ok-{name}-{round_number}", **headers))
                    assert (response.status, response.body) == (200, b"done"), name
            for name in class_names(node):
                effect = node.request_registry._classes[name].effect
                response = await exchange(node, request_of(name, f"full-{name}"))
                assert response.status == 503, name  # all servers rejected it
                response = await exchange(node, request_of(name, f"lost-{name}"))
                assert response.status == (503 if effect.value == "safe" else 502), name
            ids = [message.headers["req-id"] for server in (first, second) for message in server.seen]
            max_attempts = node.config.settings.max_attempts
            assert all(ids.count(name) <= max_attempts for name in ids)
            assert all(ids.count(name) <= 1 for name in ids if name.startswith("lost-post"))
            check_no_faults(node)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("scope", "allowed_servers"), [("all", {"s1", "s2", "s3"}), ("zone", {"s1"}), ("cell", {"s1"})]
)
def test_possibly_executed_request_with_key_is_retried_within_scope_only(scope, allowed_servers):
    """s0 resets the request; s1 has its zone and cell, s2 its cell number in another zone, s3 neither."""

    async def main():
        resetting, others = StubServer(), {f"s{index}": StubServer() for index in (1, 2, 3)}

        async def reset(_message: Message) -> None:
            return None

        resetting.script = reset
        zones = {"s0": ("a", 1), "s1": ("a", 1), "s2": ("b", 1), "s3": ("b", 2)}
        for server in (resetting, *others.values()):
            await server.start()
        addresses = {"s0": resetting.endpoint} | {name: server.endpoint for name, server in others.items()}
        settings = {"categories": [LONG_TIMEOUTS | KEYED | {"name": "move", "keyScope": scope}]}
        for round_number in range(12):
            known = targets(**{name: (address, "Ready") for name, address in addresses.items()})
            for target in known:
                target["az"], target["pod_group"] = zones[target["uid"]]
            async with loopback_node(known=known, settings=settings, seed=f"{round_number:x}") as node:
                response = await exchange(node, request_of("move", f"q{round_number}"))
                assert response.status == 200
                check_no_faults(node)
        retried_ids = {message.headers["req-id"] for message in resetting.seen}
        assert retried_ids, "no attempt reached the server that resets"
        used_servers = {
            name
            for name, server in others.items()
            for message in server.seen
            if message.headers["req-id"] in retried_ids
        }
        assert used_servers <= allowed_servers
        for server in (resetting, *others.values()):
            server.stop()

    asyncio.run(main())


def test_no_hedged_request_even_if_settings_allow_second_copies():
    """The balancer ignores `bounds.secondCopies`."""

    async def main():
        servers = [BlockedServer() for _ in range(3)]
        async with loopback_node(*servers, bounds={"secondCopies": True, "maxAttempts": 5}) as node:
            caller = await Client.connect(node)
            caller.writer.write(request("read", "q1"))
            await wait_until(lambda: any(server.seen for server in servers))
            for _ in range(50):  # at the end of each period, another attempt might be sent
                node.handle_event(TimerFired("period"))
            assert sum(len(server.seen) for server in servers) == 1
            assert node.request_registry.active["q1"].attempts_in_flight == 1
            for server in servers:
                server.release.set()
            assert (await caller.read_response()).status == 200

    asyncio.run(main())


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("late_weight", [0.0, 0.5])
def test_deadline_of_100_ms_is_met_with_hanging_server(cancel, late_weight):
    effects = [("read", "free"), ("move", "guarded"), ("post", "single_shot")]
    short = {"aimMs": 40.0, "giveUpMs": 100.0, "memorySpanMs": 50.0, "lateWorth": late_weight}
    settings = {"categories": [short | {"name": name, "effect": effect} for name, effect in effects]}

    async def main():
        async with loopback_node(BlockedServer(), settings=settings, bounds={"cancel": cancel}) as node:
            for name, effect in effects:
                response = await exchange(node, request_of(name, f"q-{name}"))
                assert response.status == (503 if effect == "free" else 504)
            check_no_faults(node)

    asyncio.run(main())


def test_connect_timeout_longer_than_deadline_ends_at_deadline():
    settings = {"categories": [{"name": "post", "aimMs": 40.0, "giveUpMs": 100.0, "effect": "single_shot"}]}

    async def main():
        with full_listen_queue() as address:
            known = targets(s0=(address, "Ready"))
            bounds = {"connectTimeoutMs": 60000.0}
            async with loopback_node(known=known, settings=settings, bounds=bounds) as node:
                response = await exchange(node, request_of("post", "q1"))
                assert response.status == 503  # never written, so it is rejected
                check_no_faults(node)
                await wait_until(lambda: not node.pool.connection_count)

    asyncio.run(main())


def test_non_ascii_names_match_those_of_settings():
    """The class in the percent-encoded path and the tenant in the header are UTF-8, as in the settings."""

    async def main():
        settings = {
            "categories": [READ | {"name": name} for name in ("tänk it", "a/b")],
            "accounts": [{"name": "nörd", "quotaPerS": 0.001}],
        }
        async with loopback_node(StubServer(), settings=settings) as node:
            bucket = node.driver.balancer.admission.buckets["nörd"]
            for path, owner, cost in (
                ("/t%C3%A4nk%20it/1", "nörd".encode(), 1.0),
                ("/a%2Fb/1", b"\xff\xfe", 0.0),
            ):
                bucket.tokens = 1.0
                head = f"GET {path} HTTP/1.1\r\nHost: x\r\nReq-Id: {path}\r\nReq-Owner: "
                response = await exchange(node, head.encode() + owner + b"\r\n\r\n")
                assert response.status == 200
                assert 1.0 - bucket.tokens == pytest.approx(cost, abs=0.01)

    asyncio.run(main())
