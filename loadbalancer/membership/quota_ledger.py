"""The rows of one group: who is enrolled, under which incarnation, and what share each may be taking.

A group is the nodes in front of one service; the members that name no service are a group too, and count in
every other (registry/fleet_state.py). A replicated state machine without clocks: every call stands in the
list service's log and gives the same result on each instance. Its rules (docs/fleet.md, "Shares"):

- A row's `share` is the most that its process may be taking; the sum over all rows is never over 1. A grant
  is made only from what is free, and what a node gives up is free only once its own renewal says so.
- An elector counts for the majority that must be attached before a lapsed row's share is given away. A row
  becomes one once every elector has acknowledged a revision that shows it; a restarted process takes its
  old row's place.
- An incarnation is given once and only rises.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from msgspec.structs import replace

from loadbalancer.membership.change_log import ChangeLog
from loadbalancer.membership.messages import LeaseGrant, Member


class MemberState(StrEnum):
    LIVE = "live"
    EXPIRED = "lapsed"  # its lease has run out; its share is kept for it until a majority gives it away
    DRAINING = "leaving"  # drains; takes its share until it has left
    LEFT = "left"  # takes no share; an elector for one more term, while others may rest on its last word


@dataclass(slots=True)
class MemberRecord:
    name: str
    address: str  # host:port where siblings call it; one process at a time can listen there
    zone: str
    start_id: str  # a random text of the process's start
    incarnation: int
    rank: int  # its first incarnation: the lowest one wins a tie; kept by a restarted process
    enrolled_revision: int  # revision at which it came
    quota: float = 0.0
    acknowledged_revision: int = 0  # it knows all rows that came up to this revision
    elector: bool = False
    state: MemberState = MemberState.LIVE
    renewal_seq: int = 0  # of its last renewal

    def to_member(self) -> Member:
        """What the group's processes are told of it."""
        return Member(self.name, self.address, self.zone, self.incarnation, self.rank, self.state.value)


@dataclass(slots=True, frozen=True)
class ExternalQuota:
    """What members outside of the group may be taking of the same whole, and how many they are."""

    quota: float = 0.0
    members: int = 0


class QuotaLedger:
    """The rows by incarnation. Plain data: it can be pickled, copied and compared.

    The change log, and what stands `beside` the group, are not part of the replicated state.
    """

    def __init__(self) -> None:
        self.revision = 0  # rises with each change that the group's processes have to know of
        self.last_incarnation = 0
        self.records_by_incarnation: dict[int, MemberRecord] = {}
        self.external = ExternalQuota()
        self._changes = ChangeLog(0)

    def __getstate__(self) -> dict[str, Any]:
        """The fields that every release of the snapshot format has."""
        return {
            "revision": self.revision,
            "last_incarnation": self.last_incarnation,
            "records_by_incarnation": self.records_by_incarnation,
        }

    def __setstate__(self, state: dict[str, Any]) -> None:
        self.__dict__.update(state)
        self.external = ExternalQuota()
        self._changes = ChangeLog(self.revision)

    # ------------------------------------------------------------------ commands

    def enrol(self, name: str, address: str, zone: str, start: str) -> MemberRecord:
        """The row of a process that has just begun to listen at its address. The same start again is no
        change."""
        before = None
        for row in self.records_by_incarnation.values():
            if row.state is MemberState.LEFT:
                continue
            if row.start_id == start:
                return row
            if row.address == address:
                before = row
        self.last_incarnation += 1
        number = self.last_incarnation
        self._record_change(number, *(() if before is None else (before.incarnation,)))
        new = MemberRecord(name, address, zone, start, number, number, self.revision)
        if before is not None:  # it listened where this one listens now, so one of the two has ended
            del self.records_by_incarnation[before.incarnation]
            # Guard: an enrolment that comes late may be the ended one's while the other still takes this
            # share, so it is free only once a process says that it takes less.
            new.rank, new.elector, new.quota = before.rank, before.elector, before.quota
        self.records_by_incarnation[number] = new
        self._promote_electors()
        self._allocate(new)
        return new

    def renew(self, incarnation: int, seq: int, acked: int, using: float) -> MemberRecord | None:
        """Renew a lease. `using` is the most share that the process may be taking until it has the answer
        to this very renewal; `acked` the revision it acts on. None: no such row, the process has to enrol
        anew."""
        row = self.records_by_incarnation.get(incarnation)
        if row is None or row.state is MemberState.LEFT:
            return None
        if seq > row.renewal_seq:  # one that was overtaken, or a repeat, changes nothing
            before = row.acknowledged_revision, row.state
            row.renewal_seq = seq
            row.acknowledged_revision = max(row.acknowledged_revision, min(acked, self.revision))
            row.quota = min(row.quota, max(0.0, using))
            if row.state is MemberState.EXPIRED:
                row.state = MemberState.LIVE
                self._record_change(incarnation)
            if before != (row.acknowledged_revision, row.state):
                self._promote_electors()
        self._allocate(row)
        return row

    def begin_draining(self, incarnation: int) -> bool:
        row = self.records_by_incarnation.get(incarnation)
        if row is None or row.state is MemberState.LEFT:
            return False
        if row.state is not MemberState.DRAINING:
            row.state = MemberState.DRAINING
            self._record_change(incarnation)
        return True

    def leave(self, incarnation: int) -> bool:
        """The process takes no share any more."""
        row = self.records_by_incarnation.get(incarnation)
        if row is None or row.state is MemberState.LEFT:
            return False
        self._end_membership(row)
        return True

    def remove(self, name: str) -> list[int]:
        """An operator's word that the processes of this name have ended."""
        ended = [
            row
            for row in self.records_by_incarnation.values()
            if row.name == name and row.state is not MemberState.LEFT
        ]
        for row in ended:
            self._end_membership(row)
        return [row.incarnation for row in ended]

    def expire(self, lapsed: list[tuple[int, int]], attached: list[int]) -> tuple[list[int], list[int]]:
        """Leases that ran out, each with the seq of the renewal it ran out after, and the rows that the
        leader knows to be attached for a whole term (membership/lease_clock.py). Returns those that lapsed
        now and those removed."""
        out = [
            self.records_by_incarnation[number]
            for number, seq in lapsed
            if self._is_last_renewal(number, seq)
        ]
        newly = [row for row in out if row.state in (MemberState.LIVE, MemberState.DRAINING)]
        for row in newly:
            row.state = MemberState.EXPIRED
        given = self.is_majority_attached(attached)
        removed = [row for row in out if row.state is MemberState.LEFT or not row.elector or given]
        for row in removed:
            del self.records_by_incarnation[row.incarnation]
        if newly or removed:
            self._record_change(*(row.incarnation for row in (*newly, *removed)))
            self._promote_electors()
        return [row.incarnation for row in newly], [row.incarnation for row in removed]

    # --------------------------------------------------------------------- reads

    def would_expire(self, lapsed: list[tuple[int, int]], attached: list[int]) -> bool:
        """Whether `expire` would change anything, so that an idle fleet adds nothing to the log."""
        given = self.is_majority_attached(attached)
        out = [
            self.records_by_incarnation[number]
            for number, seq in lapsed
            if self._is_last_renewal(number, seq)
        ]
        return any(given or not row.elector or row.state is not MemberState.EXPIRED for row in out)

    def is_majority_attached(self, attached: list[int]) -> bool:
        """Whether these rows are a majority of all electors; a tie is won with the lowest rank."""
        electors = {row.incarnation: row.rank for row in self.records_by_incarnation.values() if row.elector}
        return is_majority(
            {rank for number, rank in electors.items() if number in attached}, electors.values()
        )

    def grant(self, row: MemberRecord, acked: int, delta: bool = False) -> LeaseGrant:
        """What the process of this row is told, which acts on the revision `acked`.

        The members only where that is not the present one; only what has changed since where the process
        takes that (`delta`) and it is still known.
        """
        aim = self.target_quota()
        grant = LeaseGrant(
            incarnation=row.incarnation,
            revision=self.revision,
            quota=min(row.quota, aim),
            elector=row.elector,
            state=row.state.value,
            target_quota=aim,
        )
        if acked == self.revision:
            return grant
        changed = self._changes.since(acked) if delta else None
        if changed is None:
            return replace(grant, members=self.members())
        there = sorted(changed & self.records_by_incarnation.keys())
        return replace(
            grant,
            since_revision=acked,
            members=tuple(self.records_by_incarnation[incarnation].to_member() for incarnation in there),
            removed=tuple(sorted(changed - self.records_by_incarnation.keys())),
        )

    def members(self) -> tuple[Member, ...]:
        """The whole member list."""
        return tuple(row.to_member() for row in self.records_by_incarnation.values())

    def has_process(self, start: str) -> bool:
        """Whether this very process has a row."""
        return any(row.start_id == start for row in self.records_by_incarnation.values())

    def reuses_record(self, address: str, start: str) -> bool:
        """Whether an enrolment of this process would add no row: it has one, or takes its predecessor's."""
        return any(
            row.state is not MemberState.LEFT and (row.start_id == start or row.address == address)
            for row in self.records_by_incarnation.values()
        )

    def records(self) -> list[MemberRecord]:
        return list(self.records_by_incarnation.values())

    def target_quota(self) -> float:
        """The share that each row comes to once all have renewed."""
        return 1.0 / max(1, self.sharing_count() + self.external.members)

    def sharing_count(self) -> int:
        """The rows that take part in the whole."""
        return sum(row.state is not MemberState.LEFT for row in self.records_by_incarnation.values())

    def granted_quota(self) -> float:
        """The sum of the shares that all processes may be taking."""
        return sum(row.quota for row in self.records_by_incarnation.values())

    # -------------------------------------------------------------------- parts

    def _record_change(self, *incarnations: int) -> None:
        self.revision += 1
        self._changes.record(self.revision, incarnations)

    def _is_last_renewal(self, incarnation: int, seq: int) -> bool:
        row = self.records_by_incarnation.get(incarnation)
        return row is not None and row.renewal_seq == seq

    def _end_membership(self, row: MemberRecord) -> None:
        row.state, row.quota = MemberState.LEFT, 0.0
        self._record_change(row.incarnation)
        self._promote_electors()

    def _allocate(self, row: MemberRecord) -> None:
        """Give the row what is free, up to its aim. What it has over that stays its own until it gives it
        up."""
        if row.state in (MemberState.LIVE, MemberState.DRAINING):
            lacking = self.target_quota() - row.quota
            if lacking > 0.0:
                free = 1.0 - self.granted_quota() - self.external.quota
                row.quota += min(max(0.0, free), lacking)

    def _promote_electors(self) -> None:
        electors = (
            row
            for row in self.records_by_incarnation.values()
            if row.elector and row.state is not MemberState.LEFT
        )
        known = min(
            (row.acknowledged_revision for row in electors), default=self.revision
        )  # every elector knows what came up to it
        for row in self.records_by_incarnation.values():
            if (
                not row.elector
                and row.state in (MemberState.LIVE, MemberState.DRAINING)
                and row.enrolled_revision <= known
            ):
                row.elector = True
                known = min(known, row.acknowledged_revision)


def is_majority(ranks: set[int], electors: Any) -> bool:
    """Whether the rows of these ranks are more than half of the electors, or half with the lowest rank."""
    all_ranks = set(electors)
    twice = 2 * len(ranks & all_ranks)
    return twice > len(all_ranks) or (bool(all_ranks) and twice == len(all_ranks) and min(all_ranks) in ranks)
