"""How the leader of the list service counts leases: by its own monotonic clock, from what it has applied.

The log holds no times for leases, so no wall clock enters. A new leader counts every lease from its own
start, and a node counts its own from the moment it sent the renewal that was answered, so the node's end is
always the earlier.

A row is *surely attached* while its process is known to have had an answer stamped less than SUPPORT of a
term ago: a renewal names the last one that was answered. (That renewals arrive is not enough: where answers
get lost, the process counts itself as cut off.) It counts for a majority once it has been so without a gap
for a whole term, which is longer than any sibling rests on its word that it was cut off
(membership/member_lease.py).
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

ATTACHED_TERM_FRACTION = 0.55  # of the term: how long an answer shows its process to be attached
MAX_DELAY_TERM_FRACTION = (
    0.25  # of the term: a renewal that took longer to come is refused, an answer that did is not used
)
MAX_RENEWALS_KEPT = 8  # renewals of a row whose moment is kept


@dataclass(slots=True)
class _Lease:
    last_renewal_ms: float  # when the last renewal was applied
    seq: int
    applied_at_ms: dict[int, float] = field(default_factory=dict)  # seq -> when, the latest KEPT
    attached_since_ms: float | None = None  # surely attached without a gap from here
    attached_until_ms: float = 0.0  # to here


class LeaseClock:
    """The leases as the leader counts them; all times are ms of its monotonic clock."""

    def __init__(self, ttl_ms: float) -> None:
        self.ttl_ms = ttl_ms
        self._leases: dict[int, _Lease] = {}

    def begin_term(self, now: float, rows: Iterable[tuple[int, int]]) -> None:
        """A new term: every row (incarnation, seq) is granted a whole one."""
        self._leases = {incarnation: _Lease(now, seq) for incarnation, seq in rows}

    def record_renewal(self, now: float, incarnation: int, seq: int, answered: int) -> None:
        """A renewal has been applied; `answered` is the last one before it whose answer its process has
        used."""
        lease = self._leases.setdefault(incarnation, _Lease(now, seq))
        if seq < lease.seq:
            return  # overtaken on its way
        lease.last_renewal_ms, lease.seq = now, seq
        heard = lease.applied_at_ms.get(answered)
        lease.applied_at_ms.setdefault(seq, now)
        while len(lease.applied_at_ms) > MAX_RENEWALS_KEPT:
            del lease.applied_at_ms[next(iter(lease.applied_at_ms))]
        if heard is None or now >= heard + ATTACHED_TERM_FRACTION * self.ttl_ms:
            return
        if lease.attached_since_ms is None or now >= lease.attached_until_ms:
            lease.attached_since_ms = now
        lease.attached_until_ms = max(lease.attached_until_ms, heard + ATTACHED_TERM_FRACTION * self.ttl_ms)

    def retain(self, incarnations: Container[int]) -> None:
        """Forget the rows that are no more."""
        self._leases = {number: lease for number, lease in self._leases.items() if number in incarnations}

    def expired_and_attached(self, now: float) -> tuple[list[tuple[int, int]], list[int]]:
        """The leases that have run out, each with the seq of its last renewal, and the rows surely
        attached."""
        lapsed = [
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
        return lapsed, attached
