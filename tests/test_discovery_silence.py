"""What discovery has is learned within 6 s of when it could be had, whatever its calls come to."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

import orjson
import pytest
from clocks import run
from loopback import read_message, reply

from orchidledge.interface import ListForm
from orchidledge.net.discovery import Listing, Patience, Watcher, parse_listing

TOLD_S = 6.0  # by the operators' terms, not by the program's own constant
PUSH_S, ASK_S = 0.5, 5.0  # the longest pause that a node's settings leave it
MODES = pytest.mark.parametrize("pause_s", [PUSH_S, ASK_S], ids=["push", "ask"])


class Luck(Random):
    """Every draw at one end of its range."""

    def __init__(self, end: float) -> None:
        super().__init__(0)
        self.end = end

    def uniform(self, a: float, b: float) -> float:
        return a + (b - a) * self.end


# ------------------------------------------------------------------------- the clock


@MODES
def test_what_a_silent_watch_misses_is_learned_in_time(pause_s):
    patience = Patience(20.0, pause_s, Luck(1.0))
    patience.answered()
    silent_s = patience.limit_s
    assert silent_s + patience.failed() + patience.limit_s < TOLD_S


@MODES
def test_the_call_after_any_number_of_failures_comes_in_time(pause_s):
    """The worst: discovery is back right after a call was sent that it will never answer."""
    patience = Patience(20.0, pause_s, Luck(1.0))
    pauses = []
    for _ in range(5000):  # some hours of an outage
        unheard_s = patience.limit_s
        pauses.append(patience.failed())
        assert unheard_s + pauses[-1] + patience.limit_s < TOLD_S
    assert pauses == sorted(pauses)
    assert pauses[-1] == (PUSH_S if pause_s == PUSH_S else pytest.approx(3.2))  # backs off where it may crowd
    patience.answered()
    assert patience.failed() == pauses[0]


@MODES
def test_pauses_are_drawn_apart_at_every_failure(pause_s):
    fleet = [Patience(20.0, pause_s, Random(seed)) for seed in range(40)]
    for _ in range(6):
        pauses = sorted(patience.failed() for patience in fleet)
        assert pauses[-1] > 1.8 * pauses[0]
        assert max(later - earlier for earlier, later in itertools.pairwise(pauses)) < 0.1 * pauses[-1]


def test_settings_may_leave_less():
    patience = Patience(0.1, 0.1, Luck(1.0))
    assert patience.wait_ms == 50
    patience.answered()
    assert patience.wait_ms == 100
    assert [patience.failed() for _ in range(4)] == [0.1] * 4


# ----------------------------------------------------- a watcher on the test's clock


def row(rev: int, whole: bool = True, **more: Any) -> bytes:
    return orjson.dumps({"rev": rev, "all": whole, "targets": []} | more)


@dataclass
class Source:
    """A discovery that holds a version, and does to each call what the test has set."""

    rev: int = 1
    act: str = "answer"
    text: bytes = b""  # of a 200 that is spoilt
    calls: list[str] = field(default_factory=list)
    connections: int = 0

    def __post_init__(self) -> None:
        self.news = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.lost: dict[asyncio.StreamWriter, str] = {}  # connections on which nothing good comes any more

    async def open(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()[:2]

    def change(self, rev: int | None = None) -> float:
        """Something new is there from now on; when."""
        self.rev = self.rev + 1 if rev is None else rev
        self.news.set()
        self.news = asyncio.Event()
        return now()

    def close(self) -> None:
        """Its listener and what is open: as a process that dies."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                target = (await read_message(reader)).first[1]
                self.calls.append(target)
                await self._answer(target, writer)

    def fall_silent(self, how: str) -> float:
        """What is open now brings nothing whole any more; what is opened anew is served. When."""
        self.lost |= dict.fromkeys(self.writers, how)
        return now()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        asked = "since" in target
        since, _, wait = target.partition("since=")[2].partition("&timeout_ms=")
        if self.act == "answer" and asked and int(since) >= self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), int(wait) / 1000.0)
        act = self.lost.get(writer, self.act)
        if act == "answer":
            writer.write(reply(200, row(self.rev, not asked)))
        elif act == "silent":
            await asyncio.Event().wait()
        elif act == "drip":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
            while not writer.is_closing():
                writer.write(b" ")
                await asyncio.sleep(0.1)
        elif act == "cut":
            writer.write(reply(200, row(self.rev))[:-9])
            writer.close()
        elif act == "reset":
            writer.transport.abort()
        elif act == "no length":
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + row(self.rev))
            writer.close()
        elif act == "spoilt":
            writer.write(reply(200, self.text))
        else:
            writer.write(reply(int(act), Location="http://127.0.0.1:1/"))


def now() -> float:
    return asyncio.get_running_loop().time()


class Listener:
    """What the node hears, and when; raises at what it hears if told to."""

    def __init__(self) -> None:
        self.heard: list[tuple[float, ListForm, int]] = []
        self.raises: dict[ListForm, BaseException] = {}  # once each
        self.more = asyncio.Event()

    def __call__(self, form: ListForm, news: Listing | None) -> None:
        if (error := self.raises.pop(form, None)) is not None:
            raise error
        self.more.set()
        self.heard.append((now(), form, 0 if news is None else news.revision))

    async def learned(self, rev: int) -> float:
        """When this version, or a later one, was heard."""
        while not (at := [at for at, _, had in self.heard if had >= rev]):
            await self.next()
        return at[0]

    async def next(self) -> None:
        """Until something is heard; a watch that has ended fails the test by this limit."""
        self.more.clear()
        await asyncio.wait_for(self.more.wait(), 60.0)


@contextlib.asynccontextmanager
async def watching(
    source: Source, pause_s: float = PUSH_S, known: int = 1, luck: float = 1.0
) -> AsyncIterator[tuple[Watcher, Listener]]:
    listener = Listener()
    watcher = Watcher(source.address, known, Patience(20.0, pause_s, Luck(luck)), listener)
    watcher.start()
    try:
        yield watcher, listener
    finally:
        watcher.close()
        source.close()


@MODES
@pytest.mark.parametrize("how", ["silent", "drip"])
@pytest.mark.parametrize("into_s", [0.0, 0.7, 2.7])
def test_a_watch_that_falls_silent_is_opened_anew_in_time(pause_s, how, into_s):
    """Guard: a wait of 5 s that fell silent was noticed 6.2 s after it began."""

    async def main():
        await (source := Source(rev=2)).open()
        async with watching(source, pause_s) as (_, listener):
            began = await listener.learned(2)
            await asyncio.sleep(into_s)
            fell_silent = source.fall_silent(how)
            assert fell_silent - began < 2.75  # in the first long wait
            source.change()
            assert await listener.learned(3) - fell_silent < TOLD_S
            assert source.connections == 2

    run(main())


# ------------------------------------------------------------ whatever a list can raise


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
            while listener.heard[-1][1] is not ListForm.FAILED:
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
    listing = parse_listing(orjson.loads(text))
    assert (listing.revision, len(listing.servers), set(listing.endpoints)) == (9, servers, {"s1"})
    assert listing.servers[-1].launched_ms is None


FAULTS = [
    RuntimeError("x"),
    KeyError("x"),
    OverflowError("x"),
    RecursionError("x"),
    MemoryError(),
    AssertionError(),
]


@MODES
@pytest.mark.parametrize("form", [ListForm.DELTA, ListForm.FAILED])
@pytest.mark.parametrize("error", FAULTS, ids=lambda error: type(error).__name__)
def test_a_listener_that_raises_leaves_a_watch_running_and_is_told_again(pause_s, form, error):
    async def main():
        await (source := Source(rev=2)).open()
        async with watching(source, pause_s) as (_, listener):
            await listener.learned(2)
            listener.raises = {form: error}
            if form is ListForm.FAILED:
                source.fall_silent("reset")
            began = source.change()
            assert await listener.learned(3) - began < TOLD_S
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
                while [form for _, form, _ in listener.heard].count(ListForm.FAILED) < 6:
                    await listener.next()
            back = now()
            assert await listener.learned(3) - back < TOLD_S

    run(main())


# ------------------------------------------------- older versions, a move, and the end


@MODES
@pytest.mark.parametrize("known", [41, 2], ids=["known before the start", "heard"])
def test_a_discovery_that_counts_again_is_followed_in_time(pause_s, known):
    """Guard: it told nothing but changes since its own version, which were refused as stale for good, or were
    taken for all that is new."""

    async def main():
        await (source := Source(rev=41)).open()
        async with watching(source, pause_s, known) as (_, listener):
            if known == 2:
                await listener.learned(41)
            source.fall_silent("reset")
            began = source.change(7)
            while not any((form, rev) == (ListForm.FULL, 7) for _, form, rev in listener.heard):
                await listener.next()
                assert now() - began < TOLD_S

    run(main())


@MODES
@pytest.mark.parametrize("act", ["silent", "drip", "reset", "cut", "no length", "302", "500", "503"])
@pytest.mark.parametrize("outage_s", [0.1, 3.0, 8.0])
def test_discovery_that_fails_from_the_start_is_followed_at_its_return(pause_s, act, outage_s):
    async def main():
        await (source := Source(rev=2, act=act)).open()
        async with watching(source, pause_s) as (_, listener):
            await asyncio.sleep(outage_s)
            source.act = "answer"
            assert await listener.learned(2) - outage_s < TOLD_S

    run(main())


@MODES
@pytest.mark.parametrize("old", ["answer", "silent", "503", "reset"])
@pytest.mark.parametrize("after_s", [0.0, 0.4, 1.5])
def test_a_move_is_followed_at_once_whatever_the_old_address_does(pause_s, old, after_s):
    """After SIGHUP a change counts as told 4 s later; a second SIGHUP to the same address changes nothing."""

    async def main():
        await (source := Source(act=old)).open()
        await (new := Source(rev=3)).open()
        async with watching(source, pause_s) as (watcher, listener):
            await asyncio.sleep(after_s)
            moved = now()
            watcher.move(new.address)
            watcher.move(new.address)
            assert await listener.learned(3) - moved < 0.1
            assert new.connections == 1
            watcher.move(source.address)
            watcher.move(new.address)
            new.change()
            assert await listener.learned(4) - moved < 0.3
        new.close()

    run(main())


def test_no_watch_begins_after_the_end():
    async def main():
        await (source := Source(rev=2)).open()
        await (new := Source(rev=3)).open()
        async with watching(source) as (watcher, listener):
            await listener.learned(2)
            watcher.close()
            watcher.move(new.address)
            watcher.start()
            await asyncio.sleep(10.0)
            assert not new.connections
            assert len(listener.heard) == 1
        new.close()

    run(main())
