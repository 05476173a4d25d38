"""The fleet as every instance of the list service replicates it: a second consumer of the Raft log (store.py
is the first), with the state and its rules in fleet_state.py.

A command of a leader that has been replaced since has the result None. Other results are what the answer to a
node carries, taken at the command's place in the log; they are worked out by the instance that leads, and
only there.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, TypeVar

import orjson
from pysyncobj import SyncObjConsumer, replicated

from orchidledge.members.ledger import Row
from orchidledge.registry.fleet_state import Begun, FleetState
from orchidledge.registry.service_clock import ServiceClock
from orchidledge.routes.activation import Ruling

LEADER = 2  # pysyncobj's number of the state

Renewal = tuple[int, int, int, int, float]  # incarnation, seq, answered, acked, using
Told = dict[str, Any]
T = TypeVar("T")
R = TypeVar("R")


@dataclass(slots=True, frozen=True)
class Renewed:
    """A renewal or enrolment that was applied: what the leader counts its lease from."""

    at: float  # ms of the monotonic clock
    incarnation: int
    seq: int
    answered: int


class FleetCatalog(SyncObjConsumer):  # type: ignore[misc]  # pysyncobj ships no types
    """The fleet's state under one lock: Raft's thread changes it, the event loop reads it.

    `mono` is the monotonic clock in ms; `on_change` is called, in Raft's thread, when a revision has risen or
    this instance has begun or ceased to lead. The service clock is changed under the same lock.
    """

    def __init__(self, clock: ServiceClock, mono: Callable[[], float], on_change: Callable[[], None]) -> None:
        # Set before the consumer's own start, so that pysyncobj leaves them out of its snapshots.
        self._lock = threading.Lock()
        self._clock = clock
        self._mono = mono
        self._on_change = on_change
        self._serving = -1  # the term in which this instance answers: answers are made and renewals kept
        self._renewed: list[Renewed] = []
        self._encoded = (-1, orjson.Fragment(b""))  # a revision, and the members as they are told at it
        self.leads: int | None = None  # the Raft term this instance leads in; set by Raft's thread alone
        super().__init__()
        self.state = FleetState()

    def state_changed(self, old: int, new: int) -> None:
        """pysyncobj's `onStateChanged`, in its thread, where the term is that of the state."""
        self.leads = self._syncObj.raftCurrentTerm if new == LEADER else None
        self._on_change()

    # Commands: each runs on every instance, in the log's order.

    @replicated  # type: ignore[untyped-decorator]
    def lead(
        self, stamp: float, term: int, http: str, epoch: int | None, ttl_ms: float, bound_ms: float
    ) -> Begun | None:
        """The first of a term; its stamp says nothing, as service time goes on only from its result."""
        with self._lock:
            self._renewed.clear()
            return self.state.lead(term, http, epoch, ttl_ms, bound_ms)

    @replicated  # type: ignore[untyped-decorator]
    def enrol(
        self, stamp: float, term: int, name: str, address: str, zone: str, start: str
    ) -> list[Told | None] | None:
        """What the process is told; None in its place where there are too many rows."""

        def act() -> list[tuple[Row | None, int]]:
            row = self.state.enrol(name, address, zone, start)
            if row is not None:
                self._keep(row.incarnation, row.seq, -1)
            return [(row, -1)]

        return self._run(stamp, term, act, self._told)

    @replicated  # type: ignore[untyped-decorator]
    def renew_many(self, stamp: float, term: int, renewals: list[Renewal]) -> list[Told | None] | None:
        """For each renewal what its process is told, None where it has no row."""
        return self._run(stamp, term, lambda: [self._renew(*each) for each in renewals], self._told)

    @replicated  # type: ignore[untyped-decorator]
    def leaving(self, stamp: float, term: int, incarnation: int) -> bool | None:
        return self._run(stamp, term, lambda: self.state.ledger.leaving(incarnation), bool)

    @replicated  # type: ignore[untyped-decorator]
    def leave(self, stamp: float, term: int, incarnation: int) -> bool | None:
        return self._run(stamp, term, lambda: self.state.leave(incarnation), bool)

    @replicated  # type: ignore[untyped-decorator]
    def remove(self, stamp: float, term: int, name: str) -> list[int] | None:
        return self._run(stamp, term, lambda: self.state.remove(name), _same)

    @replicated  # type: ignore[untyped-decorator]
    def expire(
        self, stamp: float, term: int, lapsed: list[tuple[int, int]], support: list[int], repeats: int
    ) -> tuple[list[int], list[int]] | None:
        return self._run(stamp, term, lambda: self.state.expire(lapsed, support, repeats), _same)

    @replicated  # type: ignore[untyped-decorator]
    def propose(self, stamp: float, term: int, text: str, deadline_ms: float) -> Ruling | None:
        """Begin to prepare a table, already checked, until `deadline_ms` (S)."""
        return self._run(stamp, term, lambda: self.state.propose(text, deadline_ms), self.state.ruling)

    @replicated  # type: ignore[untyped-decorator]
    def rollback(self, stamp: float, term: int, number: int, deadline_ms: float) -> Ruling | None:
        return self._run(stamp, term, lambda: self.state.rollback(number, deadline_ms), self.state.ruling)

    @replicated  # type: ignore[untyped-decorator]
    def halt(self, stamp: float, term: int, number: int | None) -> Ruling | None:
        return self._run(stamp, term, lambda: self.state.halt(number), self.state.ruling)

    @replicated  # type: ignore[untyped-decorator]
    def vote(
        self, stamp: float, term: int, incarnation: int, number: int, yes: bool, why: str
    ) -> Ruling | None:
        act = self.state.routes.vote
        return self._run(stamp, term, lambda: act(incarnation, number, yes, why), self.state.ruling)

    @replicated  # type: ignore[untyped-decorator]
    def decide(self, stamp: float, term: int) -> bool | None:
        """Let the log's time pass: a deadline or a moment of activation may be reached by it."""
        return self._run(stamp, term, lambda: True, _same)

    # The leader's.

    def serve(self, term: int) -> None:
        """This instance is to answer in this term."""
        with self._lock:
            self._serving = term

    def take_renewed(self) -> list[Renewed]:
        """The renewals applied in this instance's term since the last call."""
        with self._lock:
            taken, self._renewed = self._renewed, []
            return taken

    def read(self, what: Callable[[FleetState], T]) -> T:
        """What `what` makes of the state as applied here; it may keep no part of it that changes."""
        with self._lock:
            return what(self.state)

    def quorum(self) -> bool:
        try:
            return bool(self._syncObj.hasQuorum)
        except RuntimeError:  # pysyncobj's set of connections changed in its thread while it was counted
            return False

    def leader(self) -> str | None:
        """Where the instance that leads answers, as far as this one knows."""
        raft = self._syncObj
        with self._lock:
            known = self.state.term == raft.raftCurrentTerm and raft._getLeader() is not None
            return self.state.http if known else None

    def members(self) -> dict[str, Any]:
        """What GET /fleet/members answers."""
        with self._lock:
            rows = [asdict(row) for row in self.state.ledger.rows()]
            return {"rev": self.state.ledger.revision, "log_ms": self.state.log_ms, "members": rows}

    # Parts.

    def _run(self, stamp: float, term: int, act: Callable[[], T], answer: Callable[[T], R]) -> R | None:
        """Apply a command: its change, what that brings about, and then its answer."""
        with self._lock:
            before = self.state.revisions()
            if not self.state.begin(stamp, term):
                return None
            self._note(stamp)
            result = act()
            self.state.settle()
            if before != self.state.revisions():
                self._on_change()
            return answer(result)

    def _note(self, stamp: float) -> None:
        # Not from a journal that is read back or caught up with: those stamps were made long before.
        raft = self._syncObj
        if raft is not None and raft.isReady() and raft.raftCurrentTerm == self.state.term:
            self._clock.noted(self._mono(), stamp, self.state.epoch)

    def _renew(
        self, incarnation: int, seq: int, answered: int, acked: int, using: float
    ) -> tuple[Row | None, int]:
        row = self.state.renew(incarnation, seq, acked, using)
        if row is not None:
            self._keep(incarnation, seq, answered)
        return row, acked

    def _keep(self, incarnation: int, seq: int, answered: int) -> None:
        if self._serving == self.state.term:
            self._renewed.append(Renewed(self._mono(), incarnation, seq, answered))

    def _told(self, rows: list[tuple[Row | None, int]]) -> list[Told | None] | None:
        """For each row, with the revision its process acts on, what it is told."""
        if self._serving != self.state.term:
            return None
        ledger, routes = self.state.ledger, self.state.routes.answer()
        answers: list[Told | None] = []
        for row, acked in rows:
            told = None if row is None else ledger.answer(row, ledger.revision) | {"routes": routes}
            if told is not None and acked != ledger.revision:
                told["members"] = self._members_told()
            answers.append(told)
        return answers

    def _members_told(self) -> orjson.Fragment:
        """The members as JSON, made once a revision: at each change every member asks for them."""
        ledger = self.state.ledger
        if self._encoded[0] != ledger.revision:
            rows = [row.told() for row in ledger.rows()]
            self._encoded = (ledger.revision, orjson.Fragment(orjson.dumps(rows)))
        return self._encoded[1]

    def _deserialize(self, data: dict[str, Any]) -> None:
        with self._lock:
            super()._deserialize(data)
            self._encoded = (-1, orjson.Fragment(b""))
        self._on_change()


def _same(result: T) -> T:
    return result
