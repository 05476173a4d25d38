"""How the leader of the list service times leases: by its own monotonic clock, from the renewals it applies.

The log holds no times of leases, so no wall clock matters. A new leader times every lease from its own start,
and a node times its own from the moment at which it sent the renewal that was answered, so the lease always
ends earlier by the node's clock.

A member is *surely attached* while its process is known to have used an answer that was given less than
ATTACHED_TERM_FRACTION of a term ago: each renewal names the last one whose answer was used. (That renewals
arrive is not enough: where answers get lost, the process counts itself as cut off.) The member counts for a
majority once it has been attached without a gap for a full term, which is longer than any sibling relies on
its report that it was cut off (membership/member_lease.py).
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

# Fractions of the lease term.
ATTACHED_TERM_FRACTION = 0.55  # how long an answer shows its process to be attached
MAX_DELAY_TERM_FRACTION = 0.25  # a renewal that took longer is rejected, an answer that did is not used

MAX_RENEWALS_KEPT = 8  # of a member, with the times at which they were applied


@dataclass(slots=True)
class _Lease:
    """The lease of one member."""

    last_renewal_ms: float  # when the last renewal was applied
    seq: int  # of that renewal
    applied_at_ms: dict[int, float] = field(
        default_factory=dict
    )  # when each of the latest renewals was applied, by sequence number
    attached_since_ms: float | None = None  # start of the present stretch of being surely attached
    attached_until_ms: float = 0.0  # its end, as far as is known


class LeaseCount(NamedTuple):
    """What the leader knows of all leases at one time."""

    expired: list[tuple[int, int]]  # incarnation and the sequence number of its last renewal
    attached: list[int]  # incarnations that have been surely attached for a full term


class LeaseClock:
    """The leases as the leader times them; all times are ms of its monotonic clock."""

    def __init__(self, ttl_ms: float) -> None:
        self.ttl_ms = ttl_ms
        self._leases: dict[int, _Lease] = {}

    def begin_term(self, now: float, rows: Iterable[tuple[int, int]]) -> None:
        """Start to lead: every member, given as (incarnation, seq), has a lease of a full term."""
        self._leases = {incarnation: _Lease(now, seq) for incarnation, seq in rows}

    def record_renewal(self, now: float, incarnation: int, seq: int, answered: int) -> None:
        """A renewal has been applied; `answered` is the last one before it whose answer was used."""
        lease = self._leases.setdefault(incarnation, _Lease(now, seq))
        if seq < lease.seq:
            return  # a later one was applied first
        lease.last_renewal_ms, lease.seq = now, seq
        answered_at = lease.applied_at_ms.get(answered)
        lease.applied_at_ms.setdefault(seq, now)
        while len(lease.applied_at_ms) > MAX_RENEWALS_KEPT:
            del lease.applied_at_ms[next(iter(lease.applied_at_ms))]
        if answered_at is None or now >= answered_at + ATTACHED_TERM_FRACTION * self.ttl_ms:
            return
        if lease.attached_since_ms is None or now >= lease.attached_until_ms:
            lease.attached_since_ms = now
        lease.attached_until_ms = max(
            lease.attached_until_ms, answered_at + ATTACHED_TERM_FRACTION * self.ttl_ms
        )

    def retain(self, incarnations: Container[int]) -> None:
        """Drop the leases of all other members."""
        self._leases = {number: lease for number, lease in self._leases.items() if number in incarnations}

    def expired_and_attached(self, now: float) -> LeaseCount:
        """The leases that have run out by now, and the members that count for a majority."""
        expired = [
            (number, lease.seq)
            for number, lease in self._leases.items()
            if now > lease.last_renewal_ms + self.ttl_ms
        ]
        attached = [
            number
            for number, lease in self._leases.items()
            if lease.attached_since_ms is not None
            and now < lease.attached_until_ms
            and now >= lease.attached_since_ms + self.ttl_ms
        ]
        return LeaseCount(expired, attached)
