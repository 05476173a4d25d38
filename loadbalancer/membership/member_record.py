"""Record of a member in the replicated quota ledger, and the majority rule over records.

Snapshots contain pickled records under the names of the first release (registry/stored_form.py).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from loadbalancer.membership.messages import Member


class MemberState(StrEnum):
    """State of a member; the values appear in stored data and in responses."""

    LIVE = "live"
    EXPIRED = "lapsed"  # its lease has ended; its quota stays reserved until a majority is attached
    DRAINING = "leaving"  # shutting down gracefully; uses its quota until it has left
    LEFT = "left"  # uses no quota; stays an elector for a term, while others may rely on its report


@dataclass(slots=True)
class MemberRecord:
    """One process of a group."""

    name: str
    address: str  # host:port for calls of siblings; one process at a time listens there
    zone: str
    start_id: str  # random; identifies one start of the process
    incarnation: int
    rank: int  # its first incarnation; the lowest rank wins a tie; a restarted process inherits it
    enrolled_revision: int  # revision of the member list that added it
    quota: float = 0.0  # upper bound of what its process uses, as a fraction of the service's load
    acknowledged_revision: int = 0  # its process knows all members added up to this revision
    elector: bool = False
    state: MemberState = MemberState.LIVE
    renewal_seq: int = 0  # sequence number of its last renewal

    def to_member(self) -> Member:
        """Return the entry of the member list that is sent to the group's processes."""
        return Member(self.name, self.address, self.zone, self.incarnation, self.rank, self.state.value)


def is_majority(ranks: set[int], electors: Iterable[int]) -> bool:
    """Whether these ranks are more than half of the electors, or exactly half including the lowest rank."""
    all_ranks = set(electors)
    twice = 2 * len(ranks & all_ranks)
    return twice > len(all_ranks) or (bool(all_ranks) and twice == len(all_ranks) and min(all_ranks) in ranks)
