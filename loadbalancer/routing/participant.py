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
from loadbalancer.routing.coordinator import DECIDED, MAX_REASON_LENGTH, PREPARING, digest
from loadbalancer.routing.route_table import RouteTable, find_objections, parse_table


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
class CastVote:
    """Send it; `voted` once the service has answered. A lost one is asked for again at a later renewal's
    answer."""

    incarnation: int
    number: int
    yes: bool
    reason: str


@dataclass(slots=True, frozen=True)
class Delete:
    number: int


@dataclass(slots=True, frozen=True)
class Apply:
    event: RouteVersion
    due_ms: float  # own clock, ms: when it should have been; now less this is how late


Action = Fetch | Store | CastVote | Delete | Apply


class CopyStage(Enum):
    FETCHING = "fetching"
    MISSING = "missing"  # a fetch has failed
    READ = "read"
    UNREADABLE = "unreadable"
    STORING = "storing"
    STORED = "stored"


@dataclass(slots=True, frozen=True)
class VersionCopy:
    """This node's copy of a version."""

    digest: str
    stage: CopyStage
    text: str = ""  # until stored
    table: RouteTable | None = None
    objection: str | None = None  # None: not checked yet; "": none
    store_error: str = ""  # the last store's
    retry_at_ms: float = 0.0  # own clock: not fetched or stored again before
    vote_sent: bool = False  # the vote, under this incarnation
    vote_acknowledged: bool = False  # and that the service has it
    clock_confirmed: bool = (
        False  # in force, or S has been known within the bound: no switch at a wrong moment
    )

    @property
    def busy(self) -> bool:
        return self.stage in (CopyStage.FETCHING, CopyStage.STORING)


@dataclass(slots=True, frozen=True)
class Announcement:
    """What the last answer said."""

    revision: int
    in_force: tuple[int, str]  # number, digest
    pending: tuple[int, str] | None = None
    activates_at_ms: float | None = None  # T of the pending one in S, once decided

    @classmethod
    def from_answer(cls, routes: dict[str, Any]) -> Announcement:
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
            raise ValueError(
                f"malformed routes: {type(error).__name__}: {error}"[:MAX_REASON_LENGTH]
            ) from error

    def required(self) -> list[tuple[int, str]]:
        """What a follower must hold: the version in force and a decided one; version 0 needs no copy."""
        held = [self.in_force] if self.in_force[0] else []
        return [*held, self.pending] if self.pending and self.activates_at_ms is not None else held

    def wanted(self) -> list[tuple[int, str]]:
        held = [self.in_force] if self.in_force[0] else []
        return [*held, self.pending] if self.pending else held


@dataclass(slots=True)
class RouteParticipant:
    """`classes`: this node's. `bound_ms`: a node that knows S less closely than this votes no. All values
    in the fields but `copies` are immutable: `copy` is cheap and `key` can be hashed."""

    classes: tuple[str, ...]
    bound_ms: float
    retry_ms: float = 200.0  # after a fetch or store that failed
    running_version: int = 0  # the version last applied
    incarnation: int | None = None
    lease_end_ms: float | None = None  # own clock
    service_offset_ms: tuple[float, float] = (0.0, 0.0)  # S less the own clock: least, most
    announced: Announcement | None = None
    endpoints: tuple[Endpoint, ...] | None = None  # None: no list yet
    unconfident: frozenset[str] = frozenset()
    copies: dict[int, VersionCopy] = field(default_factory=dict)

    # ------------------------------------------------------------ facts

    def on_restored(self, found: Iterable[tuple[int, str]]) -> list[Action]:
        """At the start: the numbers and texts on disk. One that can't be read is forgotten."""
        actions: list[Action] = []
        for number, text in found:
            try:
                self.copies[number] = VersionCopy(
                    digest(text), CopyStage.STORED, table=parse_table(number, text)
                )
            except ValueError:
                actions.append(Delete(number))
        return actions

    def on_answer(
        self, now: float, incarnation: int, live_until: float, s: tuple[float, float], routes: dict[str, Any]
    ) -> list[Action]:
        """A renewal or enrolment was answered: the lease by the own clock from when it was sent, S now as
        an interval.

        One fact, so that no lease is ever longer than what is known. An answer older than one already seen
        changes nothing; ValueError on malformed `routes`, and nothing is changed.
        """
        told = Announcement.from_answer(routes)
        same = incarnation == self.incarnation
        # Guard: forgetting by an old answer what was voted on since would make a counted yes untrue.
        if (
            self.announced
            and self.incarnation is not None
            and (incarnation, told.revision) < (self.incarnation, self.announced.revision)
        ):
            return []
        for number, copy in self.copies.items():
            heard = copy.vote_acknowledged and same
            self.copies[number] = replace(copy, vote_acknowledged=heard, vote_sent=heard)
        if same and self.lease_end_ms is not None:
            live_until = max(live_until, self.lease_end_ms)
        self.incarnation, self.lease_end_ms, self.announced = incarnation, live_until, told
        return self.tick(now, s)

    def set_lease_end(self, now: float, live_until: float | None) -> list[Action]:
        """The lease ends at another time than the last answer said; None: it has ended."""
        self.lease_end_ms = live_until
        return self._step(now)

    def on_unregistered(self, now: float) -> list[Action]:
        """The service has no row of this node: it enrols anew, perhaps at one that counts from the start."""
        self.incarnation = None
        return self.set_lease_end(now, None)

    def set_endpoints(
        self, now: float, servers: tuple[Endpoint, ...], blind: Collection[str] = ()
    ) -> list[Action]:
        """The server list, whole, and the addresses whose route is marked blind."""
        self.endpoints, self.unconfident = servers, frozenset(blind)
        return self._step(now)

    def on_fetched(self, now: float, number: int, text: str | None) -> list[Action]:
        """None: it could not be had now."""
        copy = self.copies.get(number)
        if copy is None or copy.stage is not CopyStage.FETCHING:
            return []
        if text is None or digest(text) != copy.digest:
            copy = replace(copy, stage=CopyStage.MISSING, retry_at_ms=now + self.retry_ms)
        else:
            try:
                copy = replace(copy, stage=CopyStage.READ, text=text, table=parse_table(number, text))
            except ValueError as error:
                copy = replace(copy, stage=CopyStage.UNREADABLE, objection=f"unreadable: {error}")
        self.copies[number] = copy
        return self._step(now)

    def on_stored(self, now: float, number: int, ok: bool, why: str = "") -> list[Action]:
        """`ok`: written and synced."""
        copy = self.copies.get(number)
        if copy is None or copy.stage is not CopyStage.STORING:
            return []
        if ok:
            copy = replace(copy, stage=CopyStage.STORED, text="")
        else:
            again_at = now + self.retry_ms
            copy = replace(
                copy, stage=CopyStage.READ, store_error=f"not writable: {why}", retry_at_ms=again_at
            )
        self.copies[number] = copy
        return self._step(now)

    def on_vote_acknowledged(self, incarnation: int, number: int) -> None:
        """The service has the vote that was cast under this incarnation."""
        copy = self.copies.get(number)
        if copy is not None and incarnation == self.incarnation:
            self.copies[number] = replace(copy, vote_acknowledged=True)

    def tick(self, now: float, s: tuple[float, float] | None = None) -> list[Action]:
        """Time has passed; `s`: S now, where the estimate has changed."""
        if s is not None:
            self.service_offset_ms = (s[0] - now, s[1] - now)
        return self._step(now)

    # ------------------------------------------------------------ what it tells

    def next_tick_ms(self, now: float) -> float | None:
        """When, by the own clock, tick has something to do; not after now: at once; None: not by time
        alone."""
        due = []
        if self.lease_end_ms is not None and self.running_version:
            due.append(self.lease_end_ms)
        if self._awaits_activation(now):
            due.append(self._activation_ms())
        if self.announced is not None and self.participation(now) != "detached":
            due += [
                copy.retry_at_ms
                for number, _ in self.announced.wanted()
                if (copy := self.copies.get(number)) is not None
                and (
                    copy.stage is CopyStage.MISSING
                    or (copy.store_error and not self._is_being_prepared(number))
                )
            ]
        return min(due, default=None)

    def participation(self, now: float) -> str:
        if self.lease_end_ms is None or now >= self.lease_end_ms or self.announced is None:
            return "detached"
        return "following" if all(self._is_ready(*one) for one in self.announced.required()) else "waiting"

    def status(self, now: float) -> dict[str, Any]:
        """For operators."""
        told = self.announced
        return {
            "version": self.running_version,
            "stand": self.participation(now),
            "in_force": told.in_force[0] if told else None,
            "pending": told.pending[0] if told and told.pending else None,
            "at": told.activates_at_ms if told else None,
            "copies": {
                number: {"stage": copy.stage.value, "why": copy.objection or copy.store_error}
                for number, copy in self.copies.items()
            },
        }

    def copy(self) -> RouteParticipant:
        return replace(self, copies=dict(self.copies))

    def key(self) -> tuple[object, ...]:
        names = [item.name for item in fields(self) if item.name not in ("copies", "endpoints")]
        plain = tuple(getattr(self, name) for name in names)
        return (*plain, tuple(sorted(self.copies.items(), key=lambda item: item[0])), repr(self.endpoints))

    # ------------------------------------------------------------ steps

    def _step(self, now: float) -> list[Action]:
        told = self.announced
        if told is None:
            return []
        actions = self._delete_obsolete(told)
        if self.participation(now) != "detached":
            for number, its_digest in told.wanted():
                actions += self._advance_copy(now, number, its_digest)
        return actions + self._switch(now, told)

    def _is_being_prepared(self, number: int) -> bool:
        """It is being prepared, so it is to be voted on."""
        told = self.announced
        return (
            told is not None
            and told.pending is not None
            and told.pending[0] == number
            and told.activates_at_ms is None
        )

    def _delete_obsolete(self, told: Announcement) -> list[Action]:
        """What no answer speaks of any more, or has another text than the answer's."""
        gone = [
            number
            for number, copy in self.copies.items()
            if (number, copy.digest) not in told.wanted() and not copy.busy
        ]
        return [Delete(number) for number in gone if self.copies.pop(number).stage is CopyStage.STORED]

    def _advance_copy(self, now: float, number: int, its_digest: str) -> list[Action]:
        copy = self.copies.get(number)
        if copy is None or (copy.stage is CopyStage.MISSING and now >= copy.retry_at_ms):
            self.copies[number] = VersionCopy(its_digest, CopyStage.FETCHING)
            return [Fetch(number)]
        close = self.service_offset_ms[1] - self.service_offset_ms[0] <= 2 * self.bound_ms
        # Guard: a process that came after the decision has cast no vote, so it has to know S closely first.
        if not copy.clock_confirmed and (
            close or (self.announced is not None and self.announced.in_force[0] == number)
        ):
            copy = self.copies[number] = replace(copy, clock_confirmed=True)
        if copy.busy or copy.stage is CopyStage.MISSING:
            return []
        if self._is_being_prepared(number):
            copy = self._checked(copy)
            self.copies[number] = copy
            if copy.objection is None:
                return []  # until there is a list
            if copy.objection or copy.stage is CopyStage.STORED:
                return self._vote(number, copy)
        if copy.stage is CopyStage.READ and now >= copy.retry_at_ms:
            self.copies[number] = replace(copy, stage=CopyStage.STORING, store_error="")
            return [Store(number, copy.text)]
        return []

    def _checked(self, copy: VersionCopy) -> VersionCopy:
        if copy.store_error and not copy.objection:
            return replace(copy, objection=copy.store_error)
        if copy.objection is not None or self.endpoints is None or copy.table is None:
            return copy
        why = find_objections(copy.table, self.classes, self.endpoints, self.unconfident)
        wide = (self.service_offset_ms[1] - self.service_offset_ms[0]) / 2
        if not wide <= self.bound_ms:
            why.append(f"service time is known to {wide:.1f} ms only")
        return replace(copy, objection="; ".join(why)[:MAX_REASON_LENGTH])

    def _vote(self, number: int, copy: VersionCopy) -> list[Action]:
        if copy.vote_sent or self.incarnation is None:
            return []
        self.copies[number] = replace(copy, vote_sent=True)
        return [CastVote(self.incarnation, number, not copy.objection, copy.objection or "")]

    def _switch(self, now: float, told: Announcement) -> list[Action]:
        number, due = 0, now
        if self.participation(now) == "following":
            number = told.in_force[0]
            if told.pending and told.activates_at_ms is not None:
                # Once switched it stays so, though a better estimate of S may say that T has yet to come.
                passed = self._activation_ms() <= now or self.running_version == told.pending[0]
                number, due = (told.pending[0], min(now, self._activation_ms())) if passed else (number, now)
        elif self.lease_end_ms is not None:
            due = min(now, self.lease_end_ms)
        if number == self.running_version:
            return []
        self.running_version = number
        copy = self.copies.get(number)
        classes = (
            copy.table.splits_by_class(self.classes) if copy is not None and copy.table is not None else {}
        )
        return [Apply(RouteVersion(number, classes), due)]

    def _is_ready(self, number: int, its_digest: str) -> bool:
        copy = self.copies.get(number)
        return (
            copy is not None
            and copy.clock_confirmed
            and copy.stage is CopyStage.STORED
            and copy.digest == its_digest
        )

    def _awaits_activation(self, now: float) -> bool:
        told = self.announced
        coming = (
            told.pending[0]
            if told is not None and told.pending and told.activates_at_ms is not None
            else None
        )
        return (
            coming is not None and self.participation(now) == "following" and self.running_version != coming
        )

    def _activation_ms(self) -> float:
        """T by the own clock, at the middle of what S may be."""
        assert self.announced is not None
        assert self.announced.activates_at_ms is not None
        return self.announced.activates_at_ms - (self.service_offset_ms[0] + self.service_offset_ms[1]) / 2
