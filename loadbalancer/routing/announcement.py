"""What a lease answer announces of route versions, checked as it is read."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, NamedTuple

from loadbalancer.routing.errors import MalformedAnnouncementError
from loadbalancer.routing.version_record import DECIDED, PREPARING


class VersionRef(NamedTuple):
    """Names a version's text: its number, and the digest that shows which text has the number."""

    number: int
    digest: str


@dataclass(slots=True, frozen=True)
class Announcement:
    """The versions that the list service has in force and pending."""

    revision: int
    in_force: VersionRef
    pending: VersionRef | None = None
    activates_at_ms: float | None = None  # of the pending version, in service time, once decided

    @classmethod
    def from_answer(cls, routes: dict[str, Any]) -> Announcement:
        """Read the `routes` of a lease answer; raises MalformedAnnouncementError."""
        try:
            return cls._read(routes)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise MalformedAnnouncementError(error) from error

    @classmethod
    def _read(cls, routes: dict[str, Any]) -> Announcement:
        active, pending, revision = routes["in_force"], routes["pending"], int(routes["rev"])
        in_force = VersionRef(int(active["number"]), str(active["digest"]))
        if pending is None:
            return cls(revision, in_force)
        coming = VersionRef(int(pending["number"]), str(pending["digest"]))
        if pending["phase"] == PREPARING:
            return cls(revision, in_force, coming)
        at_ms = float(pending["at"])
        if pending["phase"] != DECIDED or not math.isfinite(at_ms):
            problem = f"phase {pending['phase']!r} at {at_ms}"
            raise ValueError(problem)
        return cls(revision, in_force, coming, at_ms)

    def required(self) -> list[VersionRef]:
        """The versions that a following node has stored: the one in force and a decided one.

        Version 0 needs no copy.
        """
        in_force = [self.in_force] if self.in_force.number else []
        decided = self.pending is not None and self.activates_at_ms is not None
        return [*in_force, self.pending] if self.pending is not None and decided else in_force

    def wanted(self) -> list[VersionRef]:
        """The versions that a node fetches and keeps: as `required`, and one that is being prepared."""
        in_force = [self.in_force] if self.in_force.number else []
        return in_force if self.pending is None else [*in_force, self.pending]

    def is_being_prepared(self, number: int) -> bool:
        """Whether this version is pending and undecided, so that members vote on it."""
        return self.pending is not None and self.pending.number == number and self.activates_at_ms is None
