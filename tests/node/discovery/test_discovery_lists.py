"""Whatever a list, its listener or a call may raise, the watch goes on."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import orjson
import pytest

from loadbalancer.endpoints import EndpointListKind
from loadbalancer.node.discovery.response import decode_response
from tests.support.clocks import run
from tests.support.discoveries import MODES, PROPAGATION_DEADLINE_S, Source, now, row, watching


def target(**more: Any) -> dict[str, Any]:
    return {"uid": "s1", "endpoint": "127.0.0.1:1", "state": "Ready", "boot_ms": 0} | more


def changed(**more: Any) -> bytes:
    return row(9, targets=[target(**more)])


MALFORMED = {
    "nothing": b"",
    "no JSON": b"{",
    "two lists": row(9) * 2,
    "no object": b"[]",
    "null": b"null",
    "a text": b'"rev"',
    "not UTF-8": row(9)[:-1] + b',"x":"\xff"}',
    "a lone surrogate": row(9)[:-1] + b',"x":"\\ud800"}',
    "NaN": b'{"rev":NaN,"all":true,"targets":[]}',
    "infinity": b'{"rev":1e999,"all":true,"targets":[]}',
    "an int past any float": changed(boot_ms=7).replace(b":7", b":" + b"7" * 400),
    "nested past any depth": b'{"rev":9,"all":true,"targets":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "no rev": b'{"all":true,"targets":[]}',
    "rev a bool": row(True),
    "rev a float": row(9).replace(b"9", b"9.0"),
    "rev past 64 bits": row(9).replace(b"9", b"9" * 30),
    "rev below 0": row(-9),
    "rev a text": row(9).replace(b"9", b'"9"'),
    "all a number": row(9, 1),  # type: ignore[arg-type]
    "targets an object": row(9, targets={}),
    "targets null": row(9, targets=None),
    "a target null": row(9, targets=[None]),
    "a target a list": row(9, targets=[[]]),
    "a target a text": row(9, targets=["s1"]),
    "no uid": row(9, targets=[{"endpoint": "127.0.0.1:1", "state": "Ready"}]),
    "uid a list": changed(uid=["s1"]),
    "uid a number": changed(uid=1),
    "no endpoint": row(9, targets=[{"uid": "s1", "state": "Ready"}]),
    "endpoint null": changed(endpoint=None),
    "endpoint with no port": changed(endpoint="127.0.0.1"),
    "port past any": changed(endpoint="127.0.0.1:70000"),
    "port of other digits": changed(endpoint="127.0.0.1:\u0663"),
    "az a list": changed(az=["a"]),
    "az a number": changed(az=1),
    "pod_group a word": changed(pod_group="x"),
    "pod_group a list": changed(pod_group=[1]),
    "pod_group with too many digits": changed(pod_group="1" * 5000),
    "state unknown": changed(state="Odd"),
    "state a list": changed(state=["Ready"]),
    "boot_ms a text": changed(boot_ms="long ago"),
    "boot_ms a list": changed(boot_ms=[1]),
    "boot_ms infinite": changed(boot_ms=7).replace(b":7", b":1e999"),
}


@pytest.mark.parametrize("text", MALFORMED.values(), ids=MALFORMED)
def test_a_malformed_list_is_a_failure_and_the_watch_goes_on(text):
    async def main():
        await (source := Source(rev=2)).open()
        async with watching(source) as (_, listener):
            await listener.learned(2)
            source.act, source.text = "spoilt", text
            began = source.change()
            while listener.heard[-1][1] is not EndpointListKind.FAILED:
                assert len(listener.heard) == 1, "taken"
                await listener.next()
            source.act = "answer"
            assert await listener.learned(3) - began < 1.0
            assert {rev for _, _, rev in listener.heard} <= {0, 2, 3}  # nothing of it was taken

    run(main())


@pytest.mark.parametrize(
    ("text", "servers"),
    [
        (orjson.dumps(orjson.loads(changed()), option=orjson.OPT_INDENT_2), 1),
        (b"\r\n\t " + changed().replace(b",", b" ,\n\t") + b"\n\n", 1),
        (changed(capacity_hint="what?", model=7, later={"deep": [1]}), 1),  # nothing that the node reads
        (changed(pod_group=None, boot_ms=None, az=None), 1),
        (changed(boot_ms=-1, pod_group=2**62), 1),
        (row(9, targets=[target(state="Gone"), target()]), 2),  # twice: the last holds
    ],
)
def test_a_list_in_another_dress_is_taken(text, servers):
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
@pytest.mark.parametrize("form", [EndpointListKind.DELTA, EndpointListKind.FAILED])
@pytest.mark.parametrize("error", FAULTS, ids=lambda error: type(error).__name__)
def test_a_listener_that_raises_leaves_a_watch_running_and_is_told_again(pause_s, form, error):
    async def main():
        await (source := Source(rev=2)).open()
        async with watching(source, pause_s) as (_, listener):
            await listener.learned(2)
            listener.raises = {form: error}
            if form is EndpointListKind.FAILED:
                source.fall_silent("reset")
            began = source.change()
            assert await listener.learned(3) - began < PROPAGATION_DEADLINE_S
            assert not listener.raises
            began = source.change()
            assert await listener.learned(4) - began < 0.1  # and is followed on

    run(main())


@MODES
@pytest.mark.parametrize("error", [*FAULTS, OSError(errno.EMFILE, "no descriptor left"), OSError()])
def test_whatever_a_call_raises_the_next_one_comes(pause_s, error, monkeypatch):
    """A descriptor may be lacking for the connection when clients hold all others."""

    async def main():
        await (source := Source(rev=2)).open()
        async with watching(source, pause_s) as (_, listener):
            await listener.learned(2)
            loop = asyncio.get_running_loop()
            with monkeypatch.context() as patch:

                def refuse(*_: Any, **__: Any) -> Any:
                    raise error

                patch.setattr(loop, "create_connection", refuse)
                source.fall_silent("reset")
                source.change()
                while [form for _, form, _ in listener.heard].count(EndpointListKind.FAILED) < 6:
                    await listener.next()
            back = now()
            assert await listener.learned(3) - back < PROPAGATION_DEADLINE_S

    run(main())
