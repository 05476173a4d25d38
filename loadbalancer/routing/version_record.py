"""The records of a route version and of its activation, as the replicated log holds them.

They are pickled in snapshots (registry/stored_form.py): a frozen record as the list of its values, so the
order of its fields is part of the stored form. Phases are plain strings, which operators and nodes read.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

PREPARING, DECIDED, IN_FORCE, PAST, ABORTED = "preparing", "decided", "in force", "past", "aborted"
UNKNOWN = "unknown"  # of a version that was never given or is no longer kept
DIGEST_BYTES = 8


def digest(text: str) -> str:
    """A digest of a version's text, in hexadecimal.

    It tells a stored text from the one that a list service built anew has given the same number.
    """
    return hashlib.blake2b(text.encode(errors="surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(slots=True, frozen=True)
class VersionRecord:
    """One activation of one text; its number is never used again."""

    number: int
    text: str
    digest: str
    phase: str
    rollback_of: int | None = None  # the version whose text this one activates again
    reason: str = ""  # of an abort
    activates_at_ms: float | None = None  # service time, once decided


@dataclass(slots=True, frozen=True)
class PendingActivation:
    """The activation that is being prepared, or is decided and has yet to come into force."""

    number: int
    deadline_ms: float  # service time
    voters: frozenset[int]  # incarnations that are asked to vote
    required_voters: frozenset[int]  # those whose lease has not expired
    yes_voters: frozenset[int] = frozenset()
    activates_at_ms: float | None = None  # service time, once decided

    @property
    def phase(self) -> str:
        """PREPARING or DECIDED."""
        return PREPARING if self.activates_at_ms is None else DECIDED


@dataclass(slots=True, frozen=True)
class ActivationOutcome:
    """The result of a call on a version: its phase, and the reason of an abort or a rejection.

    A call that is `rejected` has changed nothing and can't succeed as it is (HTTP status 409).
    """

    number: int
    phase: str
    reason: str = ""
    rejected: bool = False
