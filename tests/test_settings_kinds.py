"""Deployments whose settings differ where it hurts, on a real node: all is served, and failures answered."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from loadbalancer.balancing.events import TimerFired
from loadbalancer.node.node import Node
from tests.support.loopback import Caller, Held, Message, Peer, ask, reply, request, running, targets, until

LONG = {"aimMs": 20000.0, "giveUpMs": 30000.0}
KEYED = {"effect": "guarded", "memorySpanMs": 9000.0}
SCOPES = [LONG | KEYED | {"name": f"keyed-{scope}", "keyScope": scope} for scope in ("all", "zone", "cell")]
READ = LONG | {"name": "read", "effect": "free"}
POST = LONG | {"name": "post", "effect": "single_shot"}
ZERO = {"aimMs": 20000.0, "giveUpMs": 30000.0, "credit": 0.0}

KINDS: dict[str, dict[str, Any]] = {
    "keyed classes of each scope": {"settings": {"categories": SCOPES}},
    "no cancelling": {"bounds": {"cancel": False}},
    "no second copies": {"bounds": {"secondCopies": False}},
    "one attempt": {"bounds": {"maxAttempts": 1}},
    "no bounds at all": {"settings": {"bounds": None, "invariants": None, "prices": None}},
    "no load reports": {"settings": {"feedback": {"fields": [], "via": "off"}}},
    "no word of reports": {"settings": {"feedback": None}},
    "reports of other names and order": {
        "settings": {"feedback": {"fields": ["novel", "load_share", "depth"]}}
    },
    "one class": {"settings": {"categories": [READ]}},
    "worth by work": {"settings": {"valueBy": "work"}},
    "a later tier": {"settings": {"tier": 2, "accounts": [{"name": "north", "quotaPerS": 1.0}]}},
    "tenants without quotas": {
        "settings": {"accounts": [{"name": "north"}, {"name": "south", "fraction": 1}]}
    },
    "nothing inside its share": {
        "settings": {"accounts": [{"name": "north", "quotaPerS": 0}], "overShareWorth": 0, "siblings": 4}
    },
    "worth nothing": {"settings": {"categories": [READ | ZERO, POST | ZERO]}},
    "connections that rest for less than they settle": {"bounds": {"connIdleMs": 4.0}},
    "connections that rest for no time": {"bounds": {"connIdleMs": 0.001}},
    "few descriptors": {"limits": {"memory_mb": 32, "sockets": 256}},
    "hardly any descriptors": {"limits": {"memory_mb": 4, "sockets": 40}},
    "one request at a time": {"bounds": {"maxOpen": 1}},
    "no zones": {"settings": {"locality": None, "zones": []}},
    "pushed lists": {"settings": {"registryMode": "push"}},
}


def asked(kind: str, name: str, **headers: str) -> bytes:
    safe = kind == "read"
    return request("read" if safe else kind, name, **({} if safe else {"Idempotency_Key": name}), **headers)


@contextlib.contextmanager
def unaccepting() -> Iterator[str]:
    """An address at which a further connection never comes up: its queue is full and nobody accepts."""
    with socket.socket() as listener, contextlib.ExitStack() as waiting:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            caller = waiting.enter_context(socket.socket())
            caller.setblocking(False)
            caller.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def classes(node: Node) -> list[str]:
    return [kind.name for kind in node.config.settings.classes]


def sound(node: Node) -> None:
    assert not node.event_counts["balancer faults"]
    assert not node.event_counts["backstop responses"]
    assert not node.request_registry.active


@pytest.mark.parametrize("kind", list(KINDS))
def test_each_class_is_served_and_what_fails_is_answered(kind):
    async def script(message: Message) -> bytes | None:
        if message.headers["req-id"].startswith("lost"):
            return None  # reset once it may have run
        declined = message.headers["req-id"].startswith("full")
        return (
            reply(503, Srv_Declined="1") if declined else reply(200, Srv_Load="TEXT depth=1, load_share=0.2")
        )

    async def main():
        first, second = Peer(script), Peer(script)
        async with running(first, second, **KINDS[kind]) as node:
            for turn in range(3):
                for name in classes(node):
                    headers = {"Req_Owner": "north", "Req_Cost": "3000"}
                    answer = await ask(node, asked(name, f"good-{name}-{turn}", **headers))
                    assert (answer.status, answer.body) == (200, b"done"), name
            for name in classes(node):
                effect = node.request_registry._classes[name].effect
                answer = await ask(node, asked(name, f"full-{name}"))
                assert answer.status == 503, name  # turned away wherever it went: a refusal
                answer = await ask(node, asked(name, f"lost-{name}"))
                assert answer.status == (503 if effect.value == "safe" else 502), name
            ids = [message.headers["req-id"] for peer in (first, second) for message in peer.seen]
            most = node.config.settings.max_attempts
            assert all(ids.count(name) <= most for name in ids)
            assert all(ids.count(name) <= 1 for name in ids if name.startswith("lost-post"))
            sound(node)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("scope", "places"), [("all", {"s1", "s2", "s3"}), ("zone", {"s1"}), ("cell", {"s1"})]
)
def test_a_keyed_request_that_may_have_run_is_sent_again_only_within_its_scope(scope, places):
    """s0 resets it; s1 shares its zone and cell, s2 the number of its cell but not its zone, s3 nothing."""

    async def main():
        first, others = Peer(), {f"s{at}": Peer() for at in (1, 2, 3)}

        async def reset(_message: Message) -> None:
            return None

        first.script = reset
        zones = {"s0": ("a", 1), "s1": ("a", 1), "s2": ("b", 1), "s3": ("b", 2)}
        for peer in (first, *others.values()):
            await peer.start()
        addresses = {"s0": first.endpoint} | {name: peer.endpoint for name, peer in others.items()}
        settings = {"categories": [LONG | KEYED | {"name": "move", "keyScope": scope}]}
        for turn in range(12):
            known = targets(**{name: (address, "Ready") for name, address in addresses.items()})
            for row in known:
                row["az"], row["pod_group"] = zones[row["uid"]]
            async with running(known=known, settings=settings, seed=f"{turn:x}") as node:
                answer = await ask(node, asked("move", f"q{turn}"))
                assert answer.status == 200
                sound(node)
        again = {message.headers["req-id"] for message in first.seen}
        assert again, "no first attempt came to the server that resets"
        seen = {name for name, peer in others.items() for m in peer.seen if m.headers["req-id"] in again}
        assert seen <= places
        for peer in (first, *others.values()):
            peer.stop()

    asyncio.run(main())


def test_never_two_attempts_of_one_request_at_once_whatever_second_copies_says():
    """The module does not use what bounds.secondCopies allows."""

    async def main():
        servers = [Held() for _ in range(3)]
        async with running(*servers, bounds={"secondCopies": True, "maxAttempts": 5}) as node:
            caller = await Caller.to(node)
            caller.writer.write(request("read", "q1"))
            await until(lambda: any(server.seen for server in servers))
            for _ in range(50):  # periods go by, each of which might send another
                node.handle_event(TimerFired("period"))
            assert sum(len(server.seen) for server in servers) == 1
            assert node.request_registry.active["q1"].attempts_in_flight == 1
            for server in servers:
                server.release.set()
            assert (await caller.answer()).status == 200

    asyncio.run(main())


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("late_worth", [0.0, 0.5])
def test_deadlines_of_a_tenth_of_a_second_are_kept_at_a_server_that_hangs(cancel, late_worth):
    kinds = [("read", "free"), ("move", "guarded"), ("post", "single_shot")]
    short = {"aimMs": 40.0, "giveUpMs": 100.0, "memorySpanMs": 50.0, "lateWorth": late_worth}
    settings = {"categories": [short | {"name": name, "effect": effect} for name, effect in kinds]}

    async def main():
        async with running(Held(), settings=settings, bounds={"cancel": cancel}) as node:
            for name, effect in kinds:
                answer = await ask(node, asked(name, f"q-{name}"))
                assert answer.status == (503 if effect == "free" else 504)
            sound(node)

    asyncio.run(main())


def test_a_connect_limit_beyond_the_deadline_ends_with_the_deadline():
    settings = {"categories": [{"name": "post", "aimMs": 40.0, "giveUpMs": 100.0, "effect": "single_shot"}]}

    async def main():
        with unaccepting() as address:
            known = targets(s0=(address, "Ready"))
            bounds = {"connectTimeoutMs": 60000.0}
            async with running(known=known, settings=settings, bounds=bounds) as node:
                answer = await ask(node, asked("post", "q1"))
                assert answer.status == 503  # never written, so a refusal
                sound(node)
                await until(lambda: not node.pool.connection_count)

    asyncio.run(main())


def test_names_that_are_not_ascii_are_those_of_the_settings():
    """A class by its percent-encoded path, a tenant by its header's bytes: UTF-8, as the settings are."""

    async def main():
        settings = {
            "categories": [READ | {"name": name} for name in ("tänk it", "a/b")],
            "accounts": [{"name": "nörd", "quotaPerS": 0.001}],
        }
        async with running(Peer(), settings=settings) as node:
            bucket = node.driver.balancer.admission.buckets["nörd"]
            for path, owner, cost in (
                ("/t%C3%A4nk%20it/1", "nörd".encode(), 1.0),
                ("/a%2Fb/1", b"\xff\xfe", 0.0),
            ):
                bucket.tokens = 1.0
                head = f"GET {path} HTTP/1.1\r\nHost: x\r\nReq-Id: {path}\r\nReq-Owner: "
                answer = await ask(node, head.encode() + owner + b"\r\n\r\n")
                assert answer.status == 200
                assert 1.0 - bucket.tokens == pytest.approx(cost, abs=0.01)

    asyncio.run(main())
