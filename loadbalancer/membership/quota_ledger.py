"""The quota ledger of one group: its members, their incarnations, and the quota that each may be using.

A group is the nodes in front of one service; members that name no service are a group too, and count in every
other group (registry/fleet_state.py). The ledger is a replicated state machine without clocks: every command
is in the list service's log and gives the same result on each instance. Its rules (docs/fleet.md, "Shares"):

- A record's `quota` is the most that its process may be using; the sum over all records never exceeds 1.
  Quota is granted only from what is free, and what a node gives up is free only once its own renewal says so.
- Electors are the members of which a majority has to be attached before an expired member's quota is given
  away. A member becomes an elector once every elector has acknowledged a revision that shows it; a restarted
  process replaces its predecessor's record.
- An incarnation is given once, and incarnations only rise.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from msgspec.structs import replace

from loadbalancer.membership.change_log import ChangeLog
from loadbalancer.membership.member_record import MemberRecord, MemberState, is_majority
from loadbalancer.membership.messages import LeaseGrant, Member

HOLDING_LEASE = (MemberState.LIVE, MemberState.DRAINING)

LastRenewal = tuple[
    int, int
]  # incarnation and sequence number; a plain tuple, as commands in the log hold it


class Expiry(NamedTuple):
    """The incarnations of members whose lease has expired now, and of those removed."""

    expired: list[int]
    removed: list[int]


@dataclass(slots=True, frozen=True)
class ExternalQuota:
    """The quota that members outside the group may be using of the same service, and their number."""

    quota: float = 0.0
    members: int = 0


class QuotaLedger:
    """The records by incarnation. Plain data that can be pickled, copied and compared.

    The change log and the `external` quota are not part of the replicated state.
    """

    def __init__(self) -> None:
        self.revision = 0  # of the member list; rises with each change that the processes have to know of
        self.last_incarnation = 0
        self.records_by_incarnation: dict[int, MemberRecord] = {}
        self.external = ExternalQuota()
        self._changes = ChangeLog(0)

    def __getstate__(self) -> dict[str, Any]:
        """The replicated fields."""
        return {
            "revision": self.revision,
            "last_incarnation": self.last_incarnation,
            "records_by_incarnation": self.records_by_incarnation,
        }

    def __setstate__(self, state: dict[str, Any]) -> None:
        """Restore the replicated fields; the change log begins at their revision."""
        self.__dict__.update(state)
        self.external = ExternalQuota()
        self._changes = ChangeLog(self.revision)

    # Commands.

    def enrol(self, name: str, address: str, zone: str, start: str) -> MemberRecord:
        """Add the process that has just begun to listen at `address`, and return its record.

        A repeated enrolment of the same `start` changes nothing.
        """
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
            # A late enrolment may be that of the ended process, while the other one still uses this quota, so
            # it is free only once a process states that it uses less.
            new.rank, new.elector, new.quota = before.rank, before.elector, before.quota
        self.records_by_incarnation[number] = new
        self._promote_electors()
        self._allocate(new)
        return new

    def renew(self, incarnation: int, seq: int, acked: int, using: float) -> MemberRecord | None:
        """Renew a lease; None where there is no such member, and the process has to enrol again.

        `using` is the most quota that the process may be using until it has the answer to this very renewal,
        `acked` the revision that it acts on. A renewal that was overtaken, or is a repeat, changes nothing.
        """
        row = self.records_by_incarnation.get(incarnation)
        if row is None or row.state is MemberState.LEFT:
            return None
        if seq > row.renewal_seq:
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
        """The process shuts down gracefully; whether there is such a member."""
        row = self.records_by_incarnation.get(incarnation)
        if row is None or row.state is MemberState.LEFT:
            return False
        if row.state is not MemberState.DRAINING:
            row.state = MemberState.DRAINING
            self._record_change(incarnation)
        return True

    def leave(self, incarnation: int) -> bool:
        """The process uses no quota any more; whether there is such a member."""
        row = self.records_by_incarnation.get(incarnation)
        if row is None or row.state is MemberState.LEFT:
            return False
        self._end_membership(row)
        return True

    def remove(self, name: str) -> list[int]:
        """An operator states that the processes of this name have ended; returns their incarnations."""
        ended = [
            row
            for row in self.records_by_incarnation.values()
            if row.name == name and row.state is not MemberState.LEFT
        ]
        for row in ended:
            self._end_membership(row)
        return [row.incarnation for row in ended]

    def expire(self, lapsed: list[LastRenewal], attached: list[int]) -> Expiry:
        """Expire leases, and remove members whose quota can be given away.

        `lapsed` are the leases that ran out, each with the last renewal that the leader has counted; one that
        has been renewed since is left alone. `attached` are the members that the leader knows to have been
        attached for a whole term (membership/lease_clock.py).
        """
        out = [
            self.records_by_incarnation[number]
            for number, seq in lapsed
            if self._is_last_renewal(number, seq)
        ]
        expired = [row for row in out if row.state in HOLDING_LEASE]
        for row in expired:
            row.state = MemberState.EXPIRED
        given = self.is_majority_attached(attached)
        removed = [row for row in out if row.state is MemberState.LEFT or not row.elector or given]
        for row in removed:
            del self.records_by_incarnation[row.incarnation]
        if expired or removed:
            self._record_change(*(row.incarnation for row in (*expired, *removed)))
            self._promote_electors()
        return Expiry([row.incarnation for row in expired], [row.incarnation for row in removed])

    # Reads.

    def would_expire(self, lapsed: list[LastRenewal], attached: list[int]) -> bool:
        """Whether `expire` would change anything; an idle fleet adds nothing to the log."""
        given = self.is_majority_attached(attached)
        out = [
            self.records_by_incarnation[number]
            for number, seq in lapsed
            if self._is_last_renewal(number, seq)
        ]
        return any(given or not row.elector or row.state is not MemberState.EXPIRED for row in out)

    def is_majority_attached(self, attached: list[int]) -> bool:
        """Whether these members are a majority of all electors; the lowest rank wins a tie."""
        electors = {row.incarnation: row.rank for row in self.records_by_incarnation.values() if row.elector}
        return is_majority(
            {rank for number, rank in electors.items() if number in attached}, electors.values()
        )

    def grant(self, row: MemberRecord, acked: int, delta: bool = False) -> LeaseGrant:
        """The grant for a process that acts on the revision `acked`.

        It has members only where that is not the present revision, and only those that changed since where
        the process accepts that (`delta`) and the changes are still known.
        """
        target_quota = self.target_quota()
        grant = LeaseGrant(
            incarnation=row.incarnation,
            revision=self.revision,
            quota=min(row.quota, target_quota),
            elector=row.elector,
            state=row.state.value,
            target_quota=target_quota,
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
        """The complete member list."""
        return tuple(row.to_member() for row in self.records_by_incarnation.values())

    def has_process(self, start: str) -> bool:
        """Whether there is a record of this start of a process."""
        return any(row.start_id == start for row in self.records_by_incarnation.values())

    def reuses_record(self, address: str, start: str) -> bool:
        """Whether an enrolment would add no record: the process has one, or replaces its predecessor's."""
        return any(
            row.state is not MemberState.LEFT and (row.start_id == start or row.address == address)
            for row in self.records_by_incarnation.values()
        )

    def records(self) -> list[MemberRecord]:
        """All records, in the order of their incarnations."""
        return list(self.records_by_incarnation.values())

    def target_quota(self) -> float:
        """The quota that each member has once all have renewed."""
        return 1.0 / max(1, self.sharing_count() + self.external.members)

    def sharing_count(self) -> int:
        """The number of members that share the load."""
        return sum(row.state is not MemberState.LEFT for row in self.records_by_incarnation.values())

    def granted_quota(self) -> float:
        """The sum of the quotas that all processes may be using."""
        return sum(row.quota for row in self.records_by_incarnation.values())

    # Steps.

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
        """Grant what is free, up to the target; a member keeps what it has above it until it gives it up."""
        if row.state in HOLDING_LEASE:
            lacking = self.target_quota() - row.quota
            if lacking > 0.0:
                free = 1.0 - self.granted_quota() - self.external.quota
                row.quota += min(max(0.0, free), lacking)

    def _promote_electors(self) -> None:
        """Make electors of the members that every elector knows of."""
        electors = (
            row
            for row in self.records_by_incarnation.values()
            if row.elector and row.state is not MemberState.LEFT
        )
        known = min(
            (row.acknowledged_revision for row in electors), default=self.revision
        )  # every elector knows what came up to it
        for row in self.records_by_incarnation.values():
            if not row.elector and row.state in HOLDING_LEASE and row.enrolled_revision <= known:
                row.elector = True
                known = min(known, row.acknowledged_revision)
