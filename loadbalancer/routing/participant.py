"""A node's part of two-phase activation: brings texts to its disk, votes, switches at T, falls back when
its lease ends.

Facts come in as calls with the node's own clock (`now`, ms), actions go out; the shell carries them out in
order and reports each Fetch, Store and Vote that has ended. The stand at a moment:

    detached   no live lease by the node's own clock: version 0
    waiting    a live lease, but the version in force, or one decided, is not on this disk yet, or S has not
               been known closely enough to switch to the decided one: version 0, and the lease does not
               count for routes yet
    following  a live lease and all that is decided on this disk: the version in force at the best estimate
               of S

Only the end of its lease makes a following node stop following: each row with a live lease is asked before
a decision, and one that comes after it waits until it holds what is decided. So no two followers run
different versions, but for the clock bound around T.

Order on disk: checked, stored with fsync, only then a yes. A yes is true for as long as the process runs,
and a Forget is asked for only once the log has ended an activation. A process that starts again has what it
stored (`restored`), runs version 0, and learns the outcome from its first answer.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, fields, replace
from enum import Enum
from typing import Any

from loadbalancer.endpoints import Endpoint, RouteVersion
from loadbalancer.routing.coordinator import DECIDED, MAX_WHY, PREPARING, digest
from loadbalancer.routing.route_table import RouteTable, check, parse


@dataclass(slots=True, frozen=True)
class Fetch:
    """GET the version's text; then `fetched`."""

    number: int


@dataclass(slots=True, frozen=True)
class Store:
    """Write and fsync; then `stored`. Writes and removals of a number are carried out in the order they are
    asked."""

    number: int
    text: str


@dataclass(slots=True, frozen=True)
class Vote:
    """Send it; `voted` once the service has answered. A lost one is asked for again at a later renewal's
    answer."""

    incarnation: int
    number: int
    yes: bool
    why: str


@dataclass(slots=True, frozen=True)
class Forget:
    number: int


@dataclass(slots=True, frozen=True)
class Apply:
    event: RouteVersion
    due: float  # own clock, ms: when it should have been; now less this is how late


Action = Fetch | Store | Vote | Forget | Apply


class Stage(Enum):
    FETCHING = "fetching"
    MISSING = "missing"  # a fetch has failed
    READ = "read"
    UNREADABLE = "unreadable"
    STORING = "storing"
    STORED = "stored"


@dataclass(slots=True, frozen=True)
class Copy:
    """This node's copy of a version."""

    digest: str
    stage: Stage
    text: str = ""  # until stored
    table: RouteTable | None = None
    objection: str | None = None  # None: not checked yet; "": none
    failure: str = ""  # the last store's
    again_at: float = 0.0  # own clock: not fetched or stored again before
    sent: bool = False  # the vote, under this incarnation
    heard: bool = False  # and that the service has it
    timed: bool = False  # in force, or S has been known within the bound: no switch at a wrong moment

    @property
    def busy(self) -> bool:
        return self.stage in (Stage.FETCHING, Stage.STORING)


@dataclass(slots=True, frozen=True)
class Told:
    """What the last answer said."""

    rev: int
    in_force: tuple[int, str]  # number, digest
    pending: tuple[int, str] | None = None
    at: float | None = None  # T of the pending one in S, once decided

    @classmethod
    def of(cls, routes: dict[str, Any]) -> Told:
        """From a renewal's answer; ValueError on one that is malformed."""
        try:
            force, pending, rev = routes["in_force"], routes["pending"], int(routes["rev"])
            in_force = (int(force["number"]), str(force["digest"]))
            if pending is None:
                return cls(rev, in_force)
            coming = (int(pending["number"]), str(pending["digest"]))
            if pending["phase"] == PREPARING:
                return cls(rev, in_force, coming)
            at = float(pending["at"])
            if pending["phase"] != DECIDED or not math.isfinite(at):
                raise ValueError(f"phase {pending['phase']!r} at {at}")
            return cls(rev, in_force, coming, at)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise ValueError(f"malformed routes: {type(error).__name__}: {error}"[:MAX_WHY]) from error

    def decided(self) -> list[tuple[int, str]]:
        """What a follower must hold: the version in force and a decided one; version 0 needs no copy."""
        held = [self.in_force] if self.in_force[0] else []
        return [*held, self.pending] if self.pending and self.at is not None else held

    def wanted(self) -> list[tuple[int, str]]:
        held = [self.in_force] if self.in_force[0] else []
        return [*held, self.pending] if self.pending else held


@dataclass(slots=True)
class Follower:
    """`classes`: this node's. `bound_ms`: a node that knows S less closely than this votes no. All values
    in the fields but `copies` are immutable: `copy` is cheap and `key` can be hashed."""

    classes: tuple[str, ...]
    bound_ms: float
    retry_ms: float = 200.0  # after a fetch or store that failed
    running: int = 0  # the version last applied
    incarnation: int | None = None
    live_until: float | None = None  # own clock
    offset: tuple[float, float] = (0.0, 0.0)  # S less the own clock: least, most
    told: Told | None = None
    servers: tuple[Endpoint, ...] | None = None  # None: no list yet
    blind: frozenset[str] = frozenset()
    copies: dict[int, Copy] = field(default_factory=dict)

    # ------------------------------------------------------------ facts

    def restored(self, found: Iterable[tuple[int, str]]) -> list[Action]:
        """At the start: the numbers and texts on disk. One that can't be read is forgotten."""
        actions: list[Action] = []
        for number, text in found:
            try:
                self.copies[number] = Copy(digest(text), Stage.STORED, table=parse(number, text))
            except ValueError:
                actions.append(Forget(number))
        return actions

    def answer(
        self, now: float, incarnation: int, live_until: float, s: tuple[float, float], routes: dict[str, Any]
    ) -> list[Action]:
        """A renewal or enrolment was answered: the lease by the own clock from when it was sent, S now as
        an interval.

        One fact, so that no lease is ever longer than what is known. An answer older than one already seen
        changes nothing; ValueError on malformed `routes`, and nothing is changed.
        """
        told = Told.of(routes)
        same = incarnation == self.incarnation
        # Guard: forgetting by an old answer what was voted on since would make a counted yes untrue.
        if (
            self.told
            and self.incarnation is not None
            and (incarnation, told.rev) < (self.incarnation, self.told.rev)
        ):
            return []
        for number, copy in self.copies.items():
            heard = copy.heard and same
            self.copies[number] = replace(copy, heard=heard, sent=heard)
        if same and self.live_until is not None:
            live_until = max(live_until, self.live_until)
        self.incarnation, self.live_until, self.told = incarnation, live_until, told
        return self.tick(now, s)

    def lease(self, now: float, live_until: float | None) -> list[Action]:
        """The lease ends at another time than the last answer said; None: it has ended."""
        self.live_until = live_until
        return self._step(now)

    def gone(self, now: float) -> list[Action]:
        """The service has no row of this node: it enrols anew, perhaps at one that counts from the start."""
        self.incarnation = None
        return self.lease(now, None)

    def seen(self, now: float, servers: tuple[Endpoint, ...], blind: Collection[str] = ()) -> list[Action]:
        """The server list, whole, and the addresses whose route is marked blind."""
        self.servers, self.blind = servers, frozenset(blind)
        return self._step(now)

    def fetched(self, now: float, number: int, text: str | None) -> list[Action]:
        """None: it could not be had now."""
        copy = self.copies.get(number)
        if copy is None or copy.stage is not Stage.FETCHING:
            return []
        if text is None or digest(text) != copy.digest:
            copy = replace(copy, stage=Stage.MISSING, again_at=now + self.retry_ms)
        else:
            try:
                copy = replace(copy, stage=Stage.READ, text=text, table=parse(number, text))
            except ValueError as error:
                copy = replace(copy, stage=Stage.UNREADABLE, objection=f"unreadable: {error}")
        self.copies[number] = copy
        return self._step(now)

    def stored(self, now: float, number: int, ok: bool, why: str = "") -> list[Action]:
        """`ok`: written and synced."""
        copy = self.copies.get(number)
        if copy is None or copy.stage is not Stage.STORING:
            return []
        if ok:
            copy = replace(copy, stage=Stage.STORED, text="")
        else:
            again_at = now + self.retry_ms
            copy = replace(copy, stage=Stage.READ, failure=f"not writable: {why}", again_at=again_at)
        self.copies[number] = copy
        return self._step(now)

    def voted(self, incarnation: int, number: int) -> None:
        """The service has the vote that was cast under this incarnation."""
        copy = self.copies.get(number)
        if copy is not None and incarnation == self.incarnation:
            self.copies[number] = replace(copy, heard=True)

    def tick(self, now: float, s: tuple[float, float] | None = None) -> list[Action]:
        """Time has passed; `s`: S now, where the estimate has changed."""
        if s is not None:
            self.offset = (s[0] - now, s[1] - now)
        return self._step(now)

    # ------------------------------------------------------------ what it tells

    def next_due(self, now: float) -> float | None:
        """When, by the own clock, tick has something to do; not after now: at once; None: not by time
        alone."""
        due = []
        if self.live_until is not None and self.running:
            due.append(self.live_until)
        if self._waits_for_moment(now):
            due.append(self._moment())
        if self.told is not None and self.stand(now) != "detached":
            due += [
                copy.again_at
                for number, _ in self.told.wanted()
                if (copy := self.copies.get(number)) is not None
                and (copy.stage is Stage.MISSING or (copy.failure and not self._asked(number)))
            ]
        return min(due, default=None)

    def stand(self, now: float) -> str:
        if self.live_until is None or now >= self.live_until or self.told is None:
            return "detached"
        return "following" if all(self._ready(*one) for one in self.told.decided()) else "waiting"

    def status(self, now: float) -> dict[str, Any]:
        """For operators."""
        told = self.told
        return {
            "version": self.running,
            "stand": self.stand(now),
            "in_force": told.in_force[0] if told else None,
            "pending": told.pending[0] if told and told.pending else None,
            "at": told.at if told else None,
            "copies": {
                number: {"stage": copy.stage.value, "why": copy.objection or copy.failure}
                for number, copy in self.copies.items()
            },
        }

    def copy(self) -> Follower:
        return replace(self, copies=dict(self.copies))

    def key(self) -> tuple[object, ...]:
        names = [item.name for item in fields(self) if item.name not in ("copies", "servers")]
        plain = tuple(getattr(self, name) for name in names)
        return (*plain, tuple(sorted(self.copies.items(), key=lambda item: item[0])), repr(self.servers))

    # ------------------------------------------------------------ steps

    def _step(self, now: float) -> list[Action]:
        told = self.told
        if told is None:
            return []
        actions = self._drop(told)
        if self.stand(now) != "detached":
            for number, its_digest in told.wanted():
                actions += self._bring(now, number, its_digest)
        return actions + self._run(now, told)

    def _asked(self, number: int) -> bool:
        """It is being prepared, so it is to be voted on."""
        told = self.told
        return told is not None and told.pending is not None and told.pending[0] == number and told.at is None

    def _drop(self, told: Told) -> list[Action]:
        """What no answer speaks of any more, or has another text than the answer's."""
        gone = [
            number
            for number, copy in self.copies.items()
            if (number, copy.digest) not in told.wanted() and not copy.busy
        ]
        return [Forget(number) for number in gone if self.copies.pop(number).stage is Stage.STORED]

    def _bring(self, now: float, number: int, its_digest: str) -> list[Action]:
        copy = self.copies.get(number)
        if copy is None or (copy.stage is Stage.MISSING and now >= copy.again_at):
            self.copies[number] = Copy(its_digest, Stage.FETCHING)
            return [Fetch(number)]
        close = self.offset[1] - self.offset[0] <= 2 * self.bound_ms
        # Guard: a process that came after the decision has cast no vote, so it has to know S closely first.
        if not copy.timed and (close or (self.told is not None and self.told.in_force[0] == number)):
            copy = self.copies[number] = replace(copy, timed=True)
        if copy.busy or copy.stage is Stage.MISSING:
            return []
        if self._asked(number):
            copy = self._judged(copy)
            self.copies[number] = copy
            if copy.objection is None:
                return []  # until there is a list
            if copy.objection or copy.stage is Stage.STORED:
                return self._vote(number, copy)
        if copy.stage is Stage.READ and now >= copy.again_at:
            self.copies[number] = replace(copy, stage=Stage.STORING, failure="")
            return [Store(number, copy.text)]
        return []

    def _judged(self, copy: Copy) -> Copy:
        if copy.failure and not copy.objection:
            return replace(copy, objection=copy.failure)
        if copy.objection is not None or self.servers is None or copy.table is None:
            return copy
        why = check(copy.table, self.classes, self.servers, self.blind)
        wide = (self.offset[1] - self.offset[0]) / 2
        if not wide <= self.bound_ms:
            why.append(f"service time is known to {wide:.1f} ms only")
        return replace(copy, objection="; ".join(why)[:MAX_WHY])

    def _vote(self, number: int, copy: Copy) -> list[Action]:
        if copy.sent or self.incarnation is None:
            return []
        self.copies[number] = replace(copy, sent=True)
        return [Vote(self.incarnation, number, not copy.objection, copy.objection or "")]

    def _run(self, now: float, told: Told) -> list[Action]:
        number, due = 0, now
        if self.stand(now) == "following":
            number = told.in_force[0]
            if told.pending and told.at is not None:
                # Once switched it stays so, though a better estimate of S may say that T has yet to come.
                passed = self._moment() <= now or self.running == told.pending[0]
                number, due = (told.pending[0], min(now, self._moment())) if passed else (number, now)
        elif self.live_until is not None:
            due = min(now, self.live_until)
        if number == self.running:
            return []
        self.running = number
        copy = self.copies.get(number)
        classes = copy.table.of(self.classes) if copy is not None and copy.table is not None else {}
        return [Apply(RouteVersion(number, classes), due)]

    def _ready(self, number: int, its_digest: str) -> bool:
        copy = self.copies.get(number)
        return copy is not None and copy.timed and copy.stage is Stage.STORED and copy.digest == its_digest

    def _waits_for_moment(self, now: float) -> bool:
        told = self.told
        coming = told.pending[0] if told is not None and told.pending and told.at is not None else None
        return coming is not None and self.stand(now) == "following" and self.running != coming

    def _moment(self) -> float:
        """T by the own clock, at the middle of what S may be."""
        assert self.told is not None
        assert self.told.at is not None
        return self.told.at - (self.offset[0] + self.offset[1]) / 2
