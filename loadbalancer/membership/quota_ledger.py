"""Quota ledger of one group: its members, their incarnations, and the quota that each may be using.

A group consists of the nodes in front of one service. Members without a service form a group of their own and
count in every other group (registry/fleet_state.py). The ledger is a replicated state machine without clocks:
every command is in the list service's log and gives the same result on each instance. Rules (docs/fleet.md,
"Shares"):

- A record's `quota` is the upper bound of what its process may be using; the sum over all records never
  exceeds 1. Only unallocated quota is granted, and quota that a node gives up becomes free only when its own
  renewal reports the lower usage.
- A majority of the electors has to be attached before the quota of an expired member is released. A member
  becomes an elector once every elector has acknowledged a revision that includes it; a restarted process
  replaces the record of its predecessor.
- Incarnations are unique and strictly increasing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from msgspec.structs import replace

from loadbalancer.membership.change_log import ChangeLog
from loadbalancer.membership.member_record import MemberRecord, MemberState, is_majority
from loadbalancer.membership.messages import LeaseGrant, Member

LEASED_STATES = (MemberState.LIVE, MemberState.DRAINING)  # of members that hold a lease

# (incarnation, sequence number); a plain tuple, since commands in the log contain it.
LastRenewal = tuple[int, int]


class Expiry(NamedTuple):
    """Result of `QuotaLedger.expire`: the incarnations newly expired and those removed."""

    expired: list[int]
    removed: list[int]


@dataclass(slots=True, frozen=True)
class ExternalQuota:
    """Quota of the service that members outside the group may be using, and the number of these members."""

    quota: float = 0.0
    members: int = 0


class QuotaLedger:
    """Member records by incarnation; plain data that can be pickled, copied and compared.

    The change log and the `external` quota are not part of the replicated state.
    """

    def __init__(self) -> None:
        self.revision = 0  # of the member list; incremented by each change that the members have to receive
        self.last_incarnation = 0
        self.records_by_incarnation: dict[int, MemberRecord] = {}
        self.external = ExternalQuota()
        self._changes = ChangeLog(0)

    def __getstate__(self) -> dict[str, Any]:
        """Return the replicated fields."""
        return {
            "revision": self.revision,
            "last_incarnation": self.last_incarnation,
            "records_by_incarnation": self.records_by_incarnation,
        }

    def __setstate__(self, state: dict[str, Any]) -> None:
        """Restore the replicated fields; the change log begins at the restored revision."""
        self.__dict__.update(state)
        self.external = ExternalQuota()
        self._changes = ChangeLog(self.revision)

    # Commands.

    def enrol(self, name: str, address: str, zone: str, start: str) -> MemberRecord:
        """Add the process that has begun to listen at `address`, and return its record.

        A repeated enrolment of the same `start` changes nothing.
        """
        predecessor = None
        for record in self.records_by_incarnation.values():
            if record.state is MemberState.LEFT:
                continue
            if record.start_id == start:
                return record
            if record.address == address:
                predecessor = record
        self.last_incarnation += 1
        number = self.last_incarnation
        self._record_change(number, *(() if predecessor is None else (predecessor.incarnation,)))
        new = MemberRecord(name, address, zone, start, number, number, self.revision)
        if predecessor is not None:  # both listened at the same address, so one of them has ended
            del self.records_by_incarnation[predecessor.incarnation]
            # The enrolment may be a delayed one of the ended process, while the other one still uses this
            # quota. So the quota becomes free only when a process reports that it uses less.
            new.rank, new.elector, new.quota = predecessor.rank, predecessor.elector, predecessor.quota
        self.records_by_incarnation[number] = new
        self._promote_electors()
        self._allocate(new)
        return new

    def renew(self, incarnation: int, seq: int, acked: int, using: float) -> MemberRecord | None:
        """Renew a lease; return None if there is no such member, so that the process has to enrol again.

        `using` is the maximum quota that the process uses until it has the response to this renewal, `acked`
        the revision that it has. An outdated or repeated renewal only allocates free quota.
        """
        record = self.records_by_incarnation.get(incarnation)
        if record is None or record.state is MemberState.LEFT:
            return None
        if seq > record.renewal_seq:
            before = record.acknowledged_revision, record.state
            record.renewal_seq = seq
            record.acknowledged_revision = max(record.acknowledged_revision, min(acked, self.revision))
            record.quota = min(record.quota, max(0.0, using))
            if record.state is MemberState.EXPIRED:
                record.state = MemberState.LIVE
                self._record_change(incarnation)
            if before != (record.acknowledged_revision, record.state):
                self._promote_electors()
        self._allocate(record)
        return record

    def begin_draining(self, incarnation: int) -> bool:
        """Mark a member as draining; return whether there is such a member."""
        record = self.records_by_incarnation.get(incarnation)
        if record is None or record.state is MemberState.LEFT:
            return False
        if record.state is not MemberState.DRAINING:
            record.state = MemberState.DRAINING
            self._record_change(incarnation)
        return True

    def leave(self, incarnation: int) -> bool:
        """Release the quota of a process that has shut down; return whether there is such a member."""
        record = self.records_by_incarnation.get(incarnation)
        if record is None or record.state is MemberState.LEFT:
            return False
        self._end_membership(record)
        return True

    def remove(self, name: str) -> list[int]:
        """Release the quota of the processes of this name, which have ended according to an operator; return
        their incarnations."""
        ended = [
            record
            for record in self.records_by_incarnation.values()
            if record.name == name and record.state is not MemberState.LEFT
        ]
        for record in ended:
            self._end_membership(record)
        return [record.incarnation for record in ended]

    def expire(self, expired_leases: list[LastRenewal], attached: list[int]) -> Expiry:
        """Expire leases, and remove members whose quota can be released.

        `expired_leases` are the leases that have ended, each with the last renewal that the leader has seen;
        leases that were renewed since are skipped. `attached` are the members that have been confirmed
        attached for a full term (membership/lease_clock.py).
        """
        due = [
            self.records_by_incarnation[number]
            for number, seq in expired_leases
            if self._is_last_renewal(number, seq)
        ]
        expired = [record for record in due if record.state in LEASED_STATES]
        for record in expired:
            record.state = MemberState.EXPIRED
        can_release = self.is_majority_attached(attached)
        removed = [
            record for record in due if record.state is MemberState.LEFT or not record.elector or can_release
        ]
        for record in removed:
            del self.records_by_incarnation[record.incarnation]
        if expired or removed:
            self._record_change(*(record.incarnation for record in (*expired, *removed)))
            self._promote_electors()
        return Expiry([record.incarnation for record in expired], [record.incarnation for record in removed])

    # Queries.

    def would_expire(self, expired_leases: list[LastRenewal], attached: list[int]) -> bool:
        """Whether `expire` would change anything; if not, the leader writes no command to the log."""
        can_release = self.is_majority_attached(attached)
        due = [
            self.records_by_incarnation[number]
            for number, seq in expired_leases
            if self._is_last_renewal(number, seq)
        ]
        return any(
            can_release or not record.elector or record.state is not MemberState.EXPIRED for record in due
        )

    def is_majority_attached(self, attached: list[int]) -> bool:
        """Whether these members are a majority of the electors; the lowest rank wins a tie."""
        electors = {
            record.incarnation: record.rank
            for record in self.records_by_incarnation.values()
            if record.elector
        }
        return is_majority(
            {rank for number, rank in electors.items() if number in attached}, electors.values()
        )

    def grant(self, record: MemberRecord, acked: int, delta: bool = False) -> LeaseGrant:
        """Return the grant for a process that has the revision `acked`.

        The grant contains members only if `acked` is not the current revision. It contains only the changes
        since `acked` if the process accepts that (`delta`) and the change log still covers them.
        """
        target_quota = self.target_quota()
        grant = LeaseGrant(
            incarnation=record.incarnation,
            revision=self.revision,
            quota=min(record.quota, target_quota),
            elector=record.elector,
            state=record.state.value,
            target_quota=target_quota,
        )
        if acked == self.revision:
            return grant
        changed = self._changes.since(acked) if delta else None
        if changed is None:
            return replace(grant, members=self.members())
        listed = sorted(changed & self.records_by_incarnation.keys())
        return replace(
            grant,
            since_revision=acked,
            members=tuple(self.records_by_incarnation[incarnation].to_member() for incarnation in listed),
            removed=tuple(sorted(changed - self.records_by_incarnation.keys())),
        )

    def members(self) -> tuple[Member, ...]:
        """Return the complete member list."""
        return tuple(record.to_member() for record in self.records_by_incarnation.values())

    def has_process(self, start: str) -> bool:
        """Whether there is a record of this start of a process."""
        return any(record.start_id == start for record in self.records_by_incarnation.values())

    def reuses_record(self, address: str, start: str) -> bool:
        """Whether an enrolment would add no record, as the process has one or replaces its predecessor's."""
        return any(
            record.state is not MemberState.LEFT and (record.start_id == start or record.address == address)
            for record in self.records_by_incarnation.values()
        )

    def records(self) -> list[MemberRecord]:
        """Return all records, in the order of their incarnations."""
        return list(self.records_by_incarnation.values())

    def target_quota(self) -> float:
        """Return the quota that each member has once all have renewed."""
        return 1.0 / max(1, self.sharing_count() + self.external.members)

    def sharing_count(self) -> int:
        """Return the number of members that share the load, which are all that have not departed."""
        return sum(record.state is not MemberState.LEFT for record in self.records_by_incarnation.values())

    def granted_quota(self) -> float:
        """Return the sum of the quotas of all records."""
        return sum(record.quota for record in self.records_by_incarnation.values())

    # Helpers.

    def _record_change(self, *incarnations: int) -> None:
        self.revision += 1
        self._changes.record(self.revision, incarnations)

    def _is_last_renewal(self, incarnation: int, seq: int) -> bool:
        record = self.records_by_incarnation.get(incarnation)
        return record is not None and record.renewal_seq == seq

    def _end_membership(self, record: MemberRecord) -> None:
        record.state, record.quota = MemberState.LEFT, 0.0
        self._record_change(record.incarnation)
        self._promote_electors()

    def _allocate(self, record: MemberRecord) -> None:
        """Grant unallocated quota up to the target; only a renewal lowers a quota above the target."""
        if record.state in LEASED_STATES:
            lacking = self.target_quota() - record.quota
            if lacking > 0.0:
                free = 1.0 - self.granted_quota() - self.external.quota
                record.quota += min(max(0.0, free), lacking)

    def _promote_electors(self) -> None:
        """Promote each member that all electors know of to an elector."""
        electors = (
            record
            for record in self.records_by_incarnation.values()
            if record.elector and record.state is not MemberState.LEFT
        )
        # Every elector knows the members enrolled up to this revision.
        known = min((record.acknowledged_revision for record in electors), default=self.revision)
        for record in self.records_by_incarnation.values():
            if not record.elector and record.state in LEASED_STATES and record.enrolled_revision <= known:
                record.elector = True
                known = min(known, record.acknowledged_revision)
