"""A node's own copy of a route version, from its fetch to its place on disk."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from loadbalancer.routing.route_table import RouteTable


class CopyStage(Enum):
    """How far a copy has got; the values are what operators read."""

    FETCHING = "fetching"
    MISSING = "missing"  # a fetch has failed
    READ = "read"
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
    objection: str | None = None  # why the node can't take it; None: not checked yet, "": none
    store_error: str = ""  # of the last write
    retry_at_ms: float = 0.0  # own clock: no earlier fetch or write
    vote_sent: bool = False  # under this incarnation
    vote_acknowledged: bool = False  # by the list service
    clock_confirmed: bool = False  # in force, or service time has been known within the bound

    @property
    def is_busy(self) -> bool:
        """Whether a fetch or a write is under way."""
        return self.stage in (CopyStage.FETCHING, CopyStage.STORING)
