"""Records of a route version and of its activation in the replicated log.

They are pickled in snapshots (registry/stored_form.py). A frozen record is pickled as the list of its
values, so the order of its fields is part of the stored form. Phases are plain strings, which operators and
nodes see.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

PREPARING, DECIDED, IN_FORCE, PAST, ABORTED = "preparing", "decided", "in force", "past", "aborted"
UNKNOWN = "unknown"  # phase of a number that was never used or is no longer retained
DIGEST_BYTES = 8


def digest(text: str) -> str:
    """Return a digest of a version's text, in hexadecimal.

    A list service that was rebuilt from nothing may use the same number for another text; the digest tells
    the two apart.
    """
    return hashlib.blake2b(text.encode(errors="surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(slots=True, frozen=True)
class VersionRecord:
    """One activation of one text; its number is never reused."""

    number: int
    text: str
    digest: str
    phase: str
    rollback_of: int | None = None  # number of the version whose text this one activates again
    reason: str = ""  # why the activation was aborted
    activates_at_ms: float | None = None  # service time, once decided


@dataclass(slots=True, frozen=True)
class PendingActivation:
    """The activation that is being prepared, or is decided but not yet in force."""

    number: int
    deadline_ms: float  # service time
    voters: frozenset[int]  # incarnations that may vote
    required_voters: frozenset[int]  # voters whose lease has not expired
    yes_voters: frozenset[int] = frozenset()
    activates_at_ms: float | None = None  # service time, once decided

    @property
    def phase(self) -> str:
        """PREPARING or DECIDED."""
        return PREPARING if self.activates_at_ms is None else DECIDED


@dataclass(slots=True, frozen=True)
class ActivationOutcome:
    """Result of an operation on a version: its phase, and the reason of an abort or a rejection.

    A `rejected` operation has changed nothing and can't succeed in the current state (HTTP status 409).
    """

    number: int
    phase: str
    reason: str = ""
    rejected: bool = False
