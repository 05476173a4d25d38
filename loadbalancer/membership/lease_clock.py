"""Lease expiry at the leader of the list service, by its own monotonic clock.

The log contains no lease times, so no wall clock matters. The leader times a lease from the moment at which
it applied the last renewal; a new leader times every lease from the start of its leadership. A node times its
own lease from the moment at which it sent the renewal, so the lease always ends earlier by the node's clock.

A member is *confirmed attached* while its process is known to have used a response that was sent less than
ATTACHED_TERM_FRACTION of a term ago: each renewal states the last renewal whose response was used. (Renewals
alone prove nothing: if the responses are lost, the process considers itself detached.) A member counts
towards a majority after it has been attached without a gap for a full term. That is longer than any sibling
relies on an earlier report that the member was detached (membership/member_lease.py).
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

# Fractions of the lease term.
ATTACHED_TERM_FRACTION = 0.55  # how long a used response proves its process attached
# Renewals delayed by more than this are rejected, and responses delayed by more are not used.
MAX_DELAY_TERM_FRACTION = 0.25

MAX_RENEWALS_KEPT = 8  # renewals per member whose times of application are retained


@dataclass(slots=True)
class _Lease:
    """The lease of one member."""

    last_renewal_ms: float  # when the last renewal was applied
    seq: int  # sequence number of that renewal
    # When each of the latest renewals was applied, by sequence number.
    applied_at_ms: dict[int, float] = field(default_factory=dict)
    attached_since_ms: float | None = None  # start of the current interval of confirmed attachment
    attached_until_ms: float = 0.0  # end of that interval, as known so far


class LeaseCount(NamedTuple):
    """The state of all leases at one time."""

    expired: list[tuple[int, int]]  # (incarnation, sequence number of its last renewal)
    attached: list[int]  # incarnations that have been confirmed attached for a full term


class LeaseClock:
    """The leader's lease timers; all times are ms of its monotonic clock."""

    def __init__(self, ttl_ms: float) -> None:
        self.ttl_ms = ttl_ms
        self._leases: dict[int, _Lease] = {}

    def begin_term(self, now: float, renewals: Iterable[tuple[int, int]]) -> None:
        """Begin a leadership: give a full lease to every member, passed as (incarnation, seq)."""
        self._leases = {incarnation: _Lease(now, seq) for incarnation, seq in renewals}

    def record_renewal(self, now: float, incarnation: int, seq: int, used_seq: int) -> None:
        """Record an applied renewal; `used_seq` is the last renewal before it whose response was used."""
        lease = self._leases.setdefault(incarnation, _Lease(now, seq))
        if seq < lease.seq:
            return  # a later renewal was applied first
        lease.last_renewal_ms, lease.seq = now, seq
        used_at = lease.applied_at_ms.get(used_seq)
        lease.applied_at_ms.setdefault(seq, now)
        while len(lease.applied_at_ms) > MAX_RENEWALS_KEPT:
            del lease.applied_at_ms[next(iter(lease.applied_at_ms))]
        if used_at is None or now >= used_at + ATTACHED_TERM_FRACTION * self.ttl_ms:
            return
        if lease.attached_since_ms is None or now >= lease.attached_until_ms:
            lease.attached_since_ms = now
        lease.attached_until_ms = max(lease.attached_until_ms, used_at + ATTACHED_TERM_FRACTION * self.ttl_ms)

    def retain(self, incarnations: Container[int]) -> None:
        """Drop the leases of all members that are not in `incarnations`."""
        self._leases = {number: lease for number, lease in self._leases.items() if number in incarnations}

    def expired_and_attached(self, now: float) -> LeaseCount:
        """Return the expired leases and the members that count towards a majority."""
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
