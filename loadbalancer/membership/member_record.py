"""The record of a member in the replicated quota ledger, and the majority rule over records.

Records are pickled in snapshots under the names of the first release (registry/stored_form.py).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from loadbalancer.membership.messages import Member


class MemberState(StrEnum):
    """The state of a member; the values are in stored data and in answers."""

    LIVE = "live"
    EXPIRED = "lapsed"  # its lease has run out; its quota is reserved until a majority gives it away
    DRAINING = "leaving"  # shuts down gracefully; uses its quota until it has left
    LEFT = "left"  # uses no quota; an elector for one more term, while others may rely on its last report


@dataclass(slots=True)
class MemberRecord:
    """One process in a group."""

    name: str
    address: str  # host:port where siblings call it; one process at a time can listen there
    zone: str
    start_id: str  # a random text that tells one start of the process from another
    incarnation: int
    rank: int  # its first incarnation: the lowest one wins a tie; inherited by a restarted process
    enrolled_revision: int  # of the member list, when it was added
    quota: float = 0.0  # the most that its process may be using, as a fraction of the service's load
    acknowledged_revision: int = 0  # it knows all members that were added up to this revision
    elector: bool = False
    state: MemberState = MemberState.LIVE
    renewal_seq: int = 0  # sequence number of its last renewal

    def to_member(self) -> Member:
        """What the processes of the group are sent of it."""
        return Member(self.name, self.address, self.zone, self.incarnation, self.rank, self.state.value)


def is_majority(ranks: set[int], electors: Iterable[int]) -> bool:
    """Whether members of these ranks are more than half of the electors, or half with the lowest rank."""
    all_ranks = set(electors)
    twice = 2 * len(ranks & all_ranks)
    return twice > len(all_ranks) or (bool(all_ranks) and twice == len(all_ranks) and min(all_ranks) in ranks)
