"""What the list service's log holds of the fleet: the members' ledger, the route versions, the log's time,
who leads.

Pure and without clocks: the same commands in the same order give the same state on every instance. A command
is `begin`, one change, `settle`, and then whatever its answer reads. Its rules:

- Each command carries the leader's service time when it was proposed (`stamp`) and the Raft term it leads in.
  `lead` is the first of a term; from there on commands of earlier terms are refused. So what a leader
  proposed that has been replaced since, and that reached the log late, grants and ends nothing.
- The lease term and the clock bound in force are the longest that any leader so far was configured with,
  since rows may still rest on them.
- A leader that can't tell how service time goes on begins a new epoch of it (service_clock.py).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidledge.members.ledger import Ledger, Row, State
from orchidledge.routes.activation import Activations, Ruling

MAX_ROWS = 1_000  # Guard: enrolments that never end must not grow the log's state without bound


@dataclass(slots=True, frozen=True)
class Begun:
    """What the log held when a term of leading began."""

    log_ms: float
    epoch: int
    ttl_ms: float
    rows: list[tuple[int, int]]  # incarnation and seq


@dataclass(slots=True)
class FleetState:
    ledger: Ledger = field(default_factory=Ledger)
    routes: Activations = field(default_factory=Activations)
    log_ms: float = 0.0  # the highest stamp
    term: int = -1  # of the last `lead`
    http: str = ""  # where the instance that leads in it answers
    epoch: int = 0  # of service time
    ttl_ms: float = 0.0
    bound_ms: float = 0.0
    repeats: int = 0  # enrolments of a process that had a row already

    def lead(self, term: int, http: str, epoch: int | None, ttl_ms: float, bound_ms: float) -> Begun | None:
        """Begin a term. `epoch`: of what its leader knows of service time, None where it knows none."""
        if term < self.term:
            return None
        if epoch != self.epoch and term > self.term:
            self.epoch += 1
        self.term, self.http = term, http
        self.ttl_ms, self.bound_ms = max(self.ttl_ms, ttl_ms), max(self.bound_ms, bound_ms)
        rows = [(row.incarnation, row.seq) for row in self.ledger.rows()]
        return Begun(self.log_ms, self.epoch, self.ttl_ms, rows)

    def begin(self, stamp: float, term: int) -> bool:
        """Whether a command counts; if so the log's time is its stamp, or what it was where that is later."""
        if term != self.term:
            return False
        self.log_ms = max(self.log_ms, stamp)
        return True

    def settle(self) -> None:
        """Decide, end or put in force what is due, once the command's own change is made."""
        self.routes.settle(self.log_ms, self.ttl_ms, self.bound_ms)

    # Changes.

    def enrol(self, name: str, address: str, zone: str, start: str) -> Row | None:
        """The process's row; None where there are too many."""
        before, given = set(self.ledger.by_incarnation), self.ledger.incarnations
        if len(before) >= MAX_ROWS and all(row.start != start for row in self.ledger.rows()):
            return None
        row = self.ledger.enrol(name, address, zone, start)
        # Guard: by a renewal's seq, an `expire` on its way sees that the lease runs anew. An enrolment that
        # is repeated changes no seq, so their count has to say so.
        self.repeats += self.ledger.incarnations == given
        for gone in before - self.ledger.by_incarnation.keys():
            self.routes.left(gone)
        self.routes.attached(row.incarnation)
        return row

    def renew(self, incarnation: int, seq: int, acked: int, using: float) -> Row | None:
        row = self.ledger.renew(incarnation, seq, acked, using)
        if row is not None:
            self.routes.attached(incarnation)
        return row

    def leave(self, incarnation: int) -> bool:
        left = self.ledger.leave(incarnation)
        if left:
            self.routes.left(incarnation)
        return left

    def remove(self, name: str) -> list[int]:
        """The incarnations that an operator's word ended."""
        ended = self.ledger.remove(name)
        for incarnation in ended:
            self.routes.left(incarnation)
        return ended

    def expire(
        self, lapsed: list[tuple[int, int]], support: list[int], repeats: int
    ) -> tuple[list[int], list[int]]:
        """The rows that lapsed now and those removed; none where an enrolment was repeated meanwhile."""
        if repeats != self.repeats:
            return [], []
        newly, removed = self.ledger.expire(lapsed, support)
        for incarnation in newly:
            self.routes.lapsed(incarnation)
        for incarnation in removed:
            self.routes.left(incarnation)
        return newly, removed

    def propose(self, text: str, deadline_ms: float) -> Ruling:
        return self.routes.propose(self.log_ms, text, self._voters(), deadline_ms)

    def rollback(self, number: int, deadline_ms: float) -> Ruling:
        return self.routes.rollback(self.log_ms, number, self._voters(), deadline_ms)

    def halt(self, number: int | None) -> Ruling:
        return self.routes.halt(self.log_ms, number)

    # Reads.

    def ruling(self, given: Ruling) -> Ruling:
        """Where the version of a ruling stands now."""
        return given if given.refused else self.routes.ruling(given.number)

    def to_decide(self, service_ms: float) -> bool:
        """Whether a deadline or a moment of activation has come that `settle` has not seen."""
        pending = self.routes.pending
        if pending is None:
            return False
        return service_ms >= (pending.deadline_ms if pending.at_ms is None else pending.at_ms)

    def revisions(self) -> tuple[int, int]:
        """Of the members, and of the routes."""
        return self.ledger.revision, self.routes.revision

    def _voters(self) -> list[int]:
        live = (State.LIVE, State.LEAVING)
        return [row.incarnation for row in self.ledger.rows() if row.state in live]
