"""The watch of discovery continues after malformed lists and after any exception of a poll or a listener."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import orjson
import pytest

from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.discovery.response import decode_response
from tests.support.clocks import run
from tests.support.discoveries import (
    MODES,
    PROPAGATION_DEADLINE_S,
    StubDiscovery,
    list_body,
    now,
    running_watcher,
)


def target(**fields: Any) -> dict[str, Any]:
    return {"uid": "s1", "endpoint": "127.0.0.1:1", "state": "Ready", "boot_ms": 0} | fields


def list_with_target(**fields: Any) -> bytes:
    return list_body(9, targets=[target(**fields)])


MALFORMED = {
    "empty body": b"",
    "not JSON": b"{",
    "two lists": list_body(9) * 2,
    "not an object": b"[]",
    "null": b"null",
    "a string": b'"rev"',
    "not UTF-8": list_body(9)[:-1] + b',"x":"\xff"}',
    "a lone surrogate": list_body(9)[:-1] + b',"x":"\\ud800"}',
    "NaN": b'{"rev":NaN,"all":true,"targets":[]}',
    "infinity": b'{"rev":1e999,"all":true,"targets":[]}',
    "an integer too large for a float": list_with_target(boot_ms=7).replace(b":7", b":" + b"7" * 400),
    "nested too deeply": b'{"rev":9,"all":true,"targets":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "no rev": b'{"all":true,"targets":[]}',
    "rev is a bool": list_body(True),
    "rev is a float": list_body(9).replace(b"9", b"9.0"),
    "rev exceeds 64 bits": list_body(9).replace(b"9", b"9" * 30),
    "rev is negative": list_body(-9),
    "rev is a string": list_body(9).replace(b"9", b'"9"'),
    "all is a number": list_body(9, 1),  # type: ignore[arg-type]
    "targets is an object": list_body(9, targets={}),
    "targets is null": list_body(9, targets=None),
    "a target is null": list_body(9, targets=[None]),
    "a target is a list": list_body(9, targets=[[]]),
    "a target is a string": list_body(9, targets=["s1"]),
    "no uid": list_body(9, targets=[{"endpoint": "127.0.0.1:1", "state": "Ready"}]),
    "uid is a list": list_with_target(uid=["s1"]),
    "uid is a number": list_with_target(uid=1),
    "no endpoint": list_body(9, targets=[{"uid": "s1", "state": "Ready"}]),
    "endpoint is null": list_with_target(endpoint=None),
    "endpoint without port": list_with_target(endpoint="127.0.0.1"),
    "port is too large": list_with_target(endpoint="127.0.0.1:70000"),
    "port in non-ASCII digits": list_with_target(endpoint="127.0.0.1:\u0663"),
    "az is a list": list_with_target(az=["a"]),
    "az is a number": list_with_target(az=1),
    "pod_group is a word": list_with_target(pod_group="x"),
    "pod_group is a list": list_with_target(pod_group=[1]),
    "pod_group has too many digits": list_with_target(pod_group="1" * 5000),
    "state is unknown": list_with_target(state="Odd"),
    "state is a list": list_with_target(state=["Ready"]),
    "boot_ms is a string": list_with_target(boot_ms="long ago"),
    "boot_ms is a list": list_with_target(boot_ms=[1]),
    "boot_ms is infinite": list_with_target(boot_ms=7).replace(b":7", b":1e999"),
}


@pytest.mark.parametrize("text", MALFORMED.values(), ids=MALFORMED)
def test_watch_continues_after_malformed_list(text):
    async def main():
        await (discovery := StubDiscovery(rev=2)).open()
        async with running_watcher(discovery) as (_, recorder):
            await recorder.wait_for_revision(2)
            discovery.behaviour, discovery.body = "given body", text
            changed_at = discovery.change()
            while recorder.updates[-1][1] is not EndpointListKind.FAILED:
                assert len(recorder.updates) == 1, "the malformed list was accepted"
                await recorder.next()
            discovery.behaviour = "respond"
            assert await recorder.wait_for_revision(3) - changed_at < 1.0
            assert {rev for _, _, rev in recorder.updates} <= {0, 2, 3}  # the malformed list was not applied

    run(main())


@pytest.mark.parametrize(
    ("text", "servers"),
    [
        (orjson.dumps(orjson.loads(list_with_target()), option=orjson.OPT_INDENT_2), 1),
        (b"\r\n\t " + list_with_target().replace(b",", b" ,\n\t") + b"\n\n", 1),
        (
            list_with_target(capacity_hint="what?", model=7, later={"deep": [1]}),
            1,
        ),  # fields that the node does not read
        (list_with_target(pod_group=None, boot_ms=None, az=None), 1),
        (list_with_target(boot_ms=-1, pod_group=2**62), 1),
        (list_body(9, targets=[target(state="Gone"), target()]), 2),  # listed twice: the last entry counts
    ],
)
def test_list_with_unusual_but_valid_form_is_accepted(text, servers):
    listing = decode_response(orjson.loads(text))
    assert (listing.revision, len(listing.endpoints), set(listing.addresses)) == (9, servers, {"s1"})
    assert listing.endpoints[-1].launched_ms is None


FAULTS = [
    RuntimeError("x"),
    KeyError("x"),
    OverflowError("x"),
    RecursionError("x"),
    MemoryError(),
    AssertionError(),
]


@MODES
@pytest.mark.parametrize("kind", [EndpointListKind.DELTA, EndpointListKind.FAILED])
@pytest.mark.parametrize("error", FAULTS, ids=lambda error: type(error).__name__)
def test_watch_continues_after_listener_raises_and_repeats_update(max_backoff_s, kind, error):
    async def main():
        await (discovery := StubDiscovery(rev=2)).open()
        async with running_watcher(discovery, max_backoff_s) as (_, recorder):
            await recorder.wait_for_revision(2)
            recorder.errors = {kind: error}
            if kind is EndpointListKind.FAILED:
                discovery.break_connections("reset")
            changed_at = discovery.change()
            assert await recorder.wait_for_revision(3) - changed_at < PROPAGATION_DEADLINE_S
            assert not recorder.errors
            changed_at = discovery.change()
            assert await recorder.wait_for_revision(4) - changed_at < 0.1  # the watch continues as before

    run(main())


@MODES
@pytest.mark.parametrize("error", [*FAULTS, OSError(errno.EMFILE, "no file descriptor left"), OSError()])
def test_watch_continues_after_any_error_of_connecting(max_backoff_s, error, monkeypatch):
    """Connecting fails with EMFILE, for example, when clients' connections use all file descriptors."""

    async def main():
        await (discovery := StubDiscovery(rev=2)).open()
        async with running_watcher(discovery, max_backoff_s) as (_, recorder):
            await recorder.wait_for_revision(2)
            loop = asyncio.get_running_loop()
            with monkeypatch.context() as patch:

                def fail(*_: Any, **__: Any) -> Any:
                    raise error

                patch.setattr(loop, "create_connection", fail)
                discovery.break_connections("reset")
                discovery.change()
                while [kind for _, kind, _ in recorder.updates].count(EndpointListKind.FAILED) < 6:
                    await recorder.next()
            recovered_at = now()
            assert await recorder.wait_for_revision(3) - recovered_at < PROPAGATION_DEADLINE_S

    run(main())
