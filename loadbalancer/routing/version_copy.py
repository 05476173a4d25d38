"""A node's local copy of a route version, from the fetch until it is stored on disk."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loadbalancer.routing.route_table import RouteTable


class CopyStage(Enum):
    """Progress of a copy; operators see the values."""

    FETCHING = "fetching"
    MISSING = "missing"  # the fetch failed
    READ = "read"  # fetched and parsed
    UNREADABLE = "unreadable"
    STORING = "storing"
    STORED = "stored"


@dataclass(slots=True, frozen=True)
class VersionCopy:
    """This node's copy of a version."""

    digest: str
    stage: CopyStage
    text: str = ""  # empty once stored
    table: RouteTable | None = None
    objection: str | None = None  # why the node can't apply the version; None: not checked yet, "": it can
    store_error: str = ""  # error of the last write
    retry_at_ms: float = 0.0  # local time before which a failed fetch or write is not retried
    vote_sent: bool = False  # the vote was sent under the current incarnation
    vote_acknowledged: bool = False  # the list service has received the vote
    clock_confirmed: bool = False  # service time was known within the bound, or the version is in force

    @property
    def is_busy(self) -> bool:
        """Whether a fetch or a write is in progress."""
        return self.stage in (CopyStage.FETCHING, CopyStage.STORING)
