"""The catalog's part of two-phase activation: the log is the coordinator, so none can die holding the
outcome.

A plain state machine, the same on every instance: no clock, no random numbers, and no text is read here
(libraries may differ between instances). `log_ms` is the highest stamp of service time S applied so far,
the command's own included. Whoever holds this object calls `settle` within every replicated command, after
the command's own change.

The rules:

1. A number stands for one activation of one text for ever. A rollback is a new activation of an earlier
   text under a new number (`of` tells which). Keeping the old number would need a second one for the
   attempt, or a vote or a text that arrives late from an aborted attempt at N would count for the next
   attempt at N.
2. One activation is pending at a time, from its proposal until it is aborted or log_ms has passed its T.
3. Every row with a live lease is asked. A row that comes while a version is being prepared (enrolled, or
   attached again) is asked too: it would follow the version in force at once, so it must have the next
   before its moment. One that comes after the decision follows nothing until it holds what is decided
   (follower.py).
4. A row that has lapsed in the log or left is not waited for: its lease ended before by its own clock, or
   its process has ended. Its yes still counts when it comes back, since only a process that has ended loses
   what it stored.
5. Decided, once each asked and not lapsed row has said yes and at least one has: T = log_ms + ttl + bound.
   A renewal that a node sent after T - ttl - bound is behind the decision in the log, so its answer tells
   of it.
6. Aborted by one no, by the deadline, or by an operator's halt before the decision. After it a halt changes
   nothing and says `decided`: nodes may act on it already; the way back is a rollback.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field, fields, replace
from typing import Any

from loadbalancer.routing.route_table import NEUTRAL

MAX_VERSIONS = 50
MAX_REASON_LENGTH = 300

PREPARING, DECIDED, IN_FORCE, PAST, ABORTED = "preparing", "decided", "in force", "past", "aborted"
UNKNOWN = "unknown"


def digest(text: str) -> str:
    """Tells a stored text of a number from the one that a catalog built anew gave the same number."""
    return hashlib.blake2b(text.encode(errors="surrogatepass"), digest_size=8).hexdigest()


@dataclass(slots=True, frozen=True)
class VersionRecord:
    number: int
    text: str
    digest: str
    phase: str
    rollback_of: int | None = None  # the version that this is a rollback to
    reason: str = ""  # of an abort
    activates_at_ms: float | None = None  # T, in S


@dataclass(slots=True, frozen=True)
class PendingActivation:
    number: int
    deadline_ms: float  # S
    voters: frozenset[int]  # incarnations
    required_voters: frozenset[int]  # those of them that have not lapsed
    yes_voters: frozenset[int] = frozenset()
    activates_at_ms: float | None = None  # T in S, once decided

    @property
    def phase(self) -> str:
        return PREPARING if self.activates_at_ms is None else DECIDED


@dataclass(slots=True, frozen=True)
class ActivationOutcome:
    """What a call came to. `refused`: it changed nothing and will not (409)."""

    number: int
    phase: str
    reason: str = ""
    rejected: bool = False


@dataclass(slots=True)
class ActivationCoordinator:
    """All values in the fields are immutable: `copy` is shallow and `key` can be hashed."""

    revision: int = 0  # rises with everything that a renewal's answer shows
    last_number: int = 0  # the highest number given
    active_number: int = 0
    versions: tuple[VersionRecord, ...] = field(
        default_factory=lambda: (VersionRecord(0, NEUTRAL, digest(NEUTRAL), IN_FORCE, activates_at_ms=0.0),)
    )
    pending: PendingActivation | None = None

    # ------------------------------------------------------------ calls of operators

    def propose(
        self, log_ms: float, text: str, voters: Iterable[int], deadline_ms: float
    ) -> ActivationOutcome:
        """Begin to prepare `text`, already parsed, with the live rows `voters`, until `deadline_ms` (S).

        The same text as the one pending or in force: its number, and nothing begins.
        """
        return self._begin(log_ms, text, voters, deadline_ms, None)

    def rollback(
        self, log_ms: float, number: int, voters: Iterable[int], deadline_ms: float
    ) -> ActivationOutcome:
        """Activate again the text of a version that has been in force (0: neutral), under a new number."""
        version = self._find(number)
        if version is None or version.phase not in (IN_FORCE, PAST):
            phase = UNKNOWN if version is None else version.phase
            return ActivationOutcome(number, phase, f"version {number} has not been in force", rejected=True)
        return self._begin(log_ms, version.text, voters, deadline_ms, number)

    def halt(self, log_ms: float, number: int | None = None) -> ActivationOutcome:
        """Abort the pending activation if it is not decided; None: whichever is pending."""
        self._elapse(log_ms)
        pending = self.pending
        if pending is None or number not in (None, pending.number):
            return self.outcome(self.last_number if number is None else number)
        if pending.activates_at_ms is None:
            self._abort("halted by an operator")
        return self.outcome(pending.number)

    # ------------------------------------------------------------ facts about rows

    def vote(self, incarnation: int, number: int, yes: bool, why: str = "") -> ActivationOutcome:
        """A row's vote; one on another number, of a row not asked, or after the decision changes nothing."""
        pending = self.pending
        if pending is not None and pending.activates_at_ms is None and pending.number == number:
            if incarnation in pending.voters and yes:
                self.pending = replace(pending, yes_voters=pending.yes_voters | {incarnation})
            elif incarnation in pending.voters:
                self._abort(f"{incarnation} said no: {why}")
        return self.outcome(number)

    def on_attached(self, incarnation: int) -> None:
        """The row has a live lease: to be called at every enrolment and every renewal."""
        pending = self.pending
        if (
            pending is not None
            and pending.activates_at_ms is None
            and incarnation not in pending.required_voters
        ):
            new = frozenset((incarnation,))
            self.pending = replace(
                pending, voters=pending.voters | new, required_voters=pending.required_voters | new
            )

    def on_lease_expired(self, incarnation: int) -> None:
        pending = self.pending
        if pending is not None and incarnation in pending.required_voters:
            self.pending = replace(pending, required_voters=pending.required_voters - {incarnation})

    def on_left(self, incarnation: int) -> None:
        """The row is gone: its process has ended, or must enrol anew."""
        pending = self.pending
        if pending is not None and incarnation in pending.voters:
            gone = {incarnation}
            self.pending = replace(
                pending,
                voters=pending.voters - gone,
                required_voters=pending.required_voters - gone,
                yes_voters=pending.yes_voters - gone,
            )

    def apply_due(self, log_ms: float, ttl_ms: float, bound_ms: float) -> None:
        """Decide, abort or put in force what is due at log_ms. `ttl_ms`: the longest lease term given to
        any row."""
        self._elapse(log_ms)
        pending = self.pending
        if (
            pending is None
            or pending.activates_at_ms is not None
            or not pending.required_voters <= pending.yes_voters
        ):
            return
        if pending.yes_voters or not pending.voters:  # else all have lapsed, and nobody has checked it
            at_ms = log_ms + ttl_ms + bound_ms
            self.pending = replace(pending, activates_at_ms=at_ms)
            self._update(pending.number, phase=DECIDED, activates_at_ms=at_ms)

    # ------------------------------------------------------------ what it tells

    def announcement(self) -> dict[str, Any]:
        """The `routes` of a renewal's answer; the same for every row."""
        force, pending, last = self._kept_version(self.active_number), self.pending, None
        ended = [version for version in self.versions[1:] if version.phase not in (PREPARING, DECIDED)]
        if ended:
            last = {"number": ended[-1].number, "outcome": ended[-1].phase, "why": ended[-1].reason}
        return {
            "rev": self.revision,
            "in_force": {"number": force.number, "at": force.activates_at_ms, "digest": force.digest},
            "pending": None
            if pending is None
            else {
                "number": pending.number,
                "phase": pending.phase,
                "at": pending.activates_at_ms,
                "deadline": pending.deadline_ms,
                "digest": self._kept_version(pending.number).digest,
            },
            "last": last,
        }

    def status(self) -> dict[str, Any]:
        """For operators: the answer's fields, the pending one's votes, and the versions kept, without
        texts."""
        said = self.announcement()
        if self.pending is not None:
            said["pending"]["yes"] = sorted(self.pending.yes_voters)
            said["pending"]["waiting_for"] = sorted(self.pending.required_voters - self.pending.yes_voters)
        said["history"] = [
            {
                "number": row.number,
                "phase": row.phase,
                "of": row.rollback_of,
                "at": row.activates_at_ms,
                "why": row.reason,
            }
            for row in self.versions
        ]
        return said

    def text(self, number: int) -> str | None:
        version = self._find(number)
        return None if version is None else version.text

    def outcome(self, number: int) -> ActivationOutcome:
        """Where the version stands now; phase `unknown` for one never given or no longer kept."""
        version = self._find(number)
        return (
            ActivationOutcome(number, UNKNOWN)
            if version is None
            else ActivationOutcome(number, version.phase, version.reason)
        )

    def copy(self) -> ActivationCoordinator:
        return replace(self)

    def key(self) -> tuple[object, ...]:
        return tuple(getattr(self, item.name) for item in fields(self))

    # ------------------------------------------------------------ steps

    def _begin(
        self, log_ms: float, text: str, voters: Iterable[int], deadline_ms: float, of: int | None
    ) -> ActivationOutcome:
        self._elapse(log_ms)
        pending = self.pending
        current = self._kept_version(self.active_number if pending is None else pending.number)
        if current.text == text:
            return self.outcome(current.number)
        if pending is not None:
            return ActivationOutcome(
                pending.number, pending.phase, f"version {pending.number} is pending", rejected=True
            )
        self.last_number += 1
        asked = frozenset(voters)
        self.pending = PendingActivation(self.last_number, deadline_ms, asked, asked)
        self._store((*self.versions, VersionRecord(self.last_number, text, digest(text), PREPARING, of)))
        return self.outcome(self.last_number)

    def _elapse(self, log_ms: float) -> None:
        pending = self.pending
        if pending is None:
            return
        if pending.activates_at_ms is None:
            if log_ms >= pending.deadline_ms:
                late = sorted(pending.required_voters - pending.yes_voters)
                self._abort(f"not prepared by its deadline, waiting for {late[:10] or 'anyone'}")
        elif log_ms >= pending.activates_at_ms:
            self._update(self.active_number, phase=PAST)
            self._update(pending.number, phase=IN_FORCE)
            self.active_number, self.pending = pending.number, None
            self._store(self.versions)

    def _abort(self, why: str) -> None:
        if self.pending is not None:
            self._update(self.pending.number, phase=ABORTED, reason=why[:MAX_REASON_LENGTH])
            self.pending = None

    def _update(self, number: int, **changes: Any) -> None:
        self._store(
            tuple(replace(row, **changes) if row.number == number else row for row in self.versions),
        )

    def _store(self, versions: tuple[VersionRecord, ...]) -> None:
        """Version 0, the one in force and the last HISTORY, in the order of their numbers."""
        self.revision += 1
        oldest = versions[-MAX_VERSIONS].number if len(versions) > MAX_VERSIONS else 0
        self.versions = tuple(
            row for row in versions if row.number in (0, self.active_number) or row.number >= oldest
        )

    def _find(self, number: int) -> VersionRecord | None:
        return next((row for row in self.versions if row.number == number), None)

    def _kept_version(self, number: int) -> VersionRecord:
        """One that is always kept: in force, or pending."""
        version = self._find(number)
        assert version is not None
        return version
