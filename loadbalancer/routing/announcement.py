"""The announcement of route versions in a lease response, validated as it is read."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, NamedTuple

from loadbalancer.routing.errors import MalformedAnnouncementError
from loadbalancer.routing.version_record import DECIDED, PREPARING


class VersionRef(NamedTuple):
    """Reference to a version's text: the number, and the digest that shows which text has that number."""

    number: int
    digest: str


@dataclass(slots=True, frozen=True)
class Announcement:
    """The version in force and the pending version, as announced by the list service."""

    revision: int
    in_force: VersionRef
    pending: VersionRef | None = None
    activates_at_ms: float | None = None  # of the pending version, in service time; None until it is decided

    @classmethod
    def from_lease_response(cls, routes: dict[str, Any]) -> Announcement:
        """Return the announcement in the `routes` of a lease response; raise MalformedAnnouncementError."""
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
        pending_ref = VersionRef(int(pending["number"]), str(pending["digest"]))
        if pending["phase"] == PREPARING:
            return cls(revision, in_force, pending_ref)
        at_ms = float(pending["at"])
        if pending["phase"] != DECIDED or not math.isfinite(at_ms):
            problem = f"phase {pending['phase']!r} at {at_ms}"
            raise ValueError(problem)
        return cls(revision, in_force, pending_ref, at_ms)

    def required(self) -> list[VersionRef]:
        """Return the versions that a following node must have stored: the one in force and a decided one.

        Version 0 needs no copy.
        """
        in_force = [self.in_force] if self.in_force.number else []
        decided = self.pending is not None and self.activates_at_ms is not None
        return [*in_force, self.pending] if self.pending is not None and decided else in_force

    def wanted(self) -> list[VersionRef]:
        """Return the versions that a node fetches and retains: `required` and one that is being prepared."""
        in_force = [self.in_force] if self.in_force.number else []
        return in_force if self.pending is None else [*in_force, self.pending]

    def is_being_prepared(self, number: int) -> bool:
        """Return whether this version is pending and undecided, so that members vote on it."""
        return self.pending is not None and self.pending.number == number and self.activates_at_ms is None
