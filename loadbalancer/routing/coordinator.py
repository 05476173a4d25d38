"""The coordinator of two-phase activation: a state machine in the list service's replicated log.

Since the log itself is the coordinator, no instance can fail and take the outcome with it.

The state machine is the same on every instance: it reads no clock, draws no random numbers and parses no
text, since libraries may differ between instances. `log_ms` is the highest service time of any command
applied so far, including the present one. The owner of a coordinator calls `apply_due` within every
replicated command, after the command's own change.

Rules:

1. A number stands for one activation of one text, for ever. A rollback activates an earlier text under a new
   number (`rollback_of` is the earlier one). If a number were used again, a vote or a text that arrives late
   from an aborted activation could count for the next one.
2. One activation is pending at a time, from its proposal until it is aborted or `log_ms` has passed its
   activation time.
3. Every member with a live lease votes. A member that enrols, or is attached again, while a version is being
   prepared votes too: it would follow the version in force at once, so it must have the next one before its
   activation time. One that comes after the decision follows no version until it has stored what is decided
   (participant.py).
4. A member whose lease has expired in the log, or that has left, is not waited for: its lease ended earlier
   by its own clock, or its process has ended. Its yes counts when it comes back, since only a process that
   has ended loses what it stored.
5. A version is decided once every required voter has voted yes and at least one member has. Its activation
   time is log_ms + lease term + clock bound. A renewal that a node sends later than the activation time less
   term and bound is behind the decision in the log, so its answer announces the decision.
6. A version is aborted by one no, by its deadline, or by an operator's halt before the decision. A halt after
   it changes nothing and returns DECIDED, since nodes may act on the decision already; use a rollback.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, fields, replace
from typing import Any

from loadbalancer.routing.route_table import NEUTRAL
from loadbalancer.routing.version_record import (
    ABORTED,
    DECIDED,
    IN_FORCE,
    PAST,
    PREPARING,
    UNKNOWN,
    ActivationOutcome,
    PendingActivation,
    VersionRecord,
    digest,
)

MAX_VERSIONS = 50  # kept, besides version 0 and the one in force
MAX_REASON_LENGTH = 300  # characters
MAX_NAMED_VOTERS = 10  # in the reason of an abort


def _neutral_version() -> VersionRecord:
    return VersionRecord(0, NEUTRAL, digest(NEUTRAL), IN_FORCE, activates_at_ms=0.0)


@dataclass(slots=True)
class ActivationCoordinator:
    """All versions kept, and the pending activation.

    All values in the fields are immutable, so `copy` is shallow and `key` can be hashed. Pickled in snapshots
    by field name (registry/stored_form.py).
    """

    revision: int = 0  # rises with everything that `announcement` shows
    last_number: int = 0  # the highest number given
    active_number: int = 0  # of the version in force
    versions: tuple[VersionRecord, ...] = field(default_factory=lambda: (_neutral_version(),))
    pending: PendingActivation | None = None

    # Calls of operators.

    def propose(
        self, log_ms: float, text: str, voters: Iterable[int], deadline_ms: float
    ) -> ActivationOutcome:
        """Prepare `text`, which the caller has parsed, until `deadline_ms` (service time).

        `voters` are the incarnations with a live lease. Where the pending version, or else the one in force,
        has the same text, nothing begins and the outcome is that version's.
        """
        return self._begin(log_ms, text, voters, deadline_ms, None)

    def rollback(
        self, log_ms: float, number: int, voters: Iterable[int], deadline_ms: float
    ) -> ActivationOutcome:
        """Activate the text of a version that has been in force again, under a new number; 0 is neutral."""
        version = self._find(number)
        if version is None or version.phase not in (IN_FORCE, PAST):
            phase = UNKNOWN if version is None else version.phase
            return ActivationOutcome(number, phase, f"version {number} has not been in force", rejected=True)
        return self._begin(log_ms, version.text, voters, deadline_ms, number)

    def halt(self, log_ms: float, number: int | None = None) -> ActivationOutcome:
        """Abort the pending activation unless it is decided; `number` None stands for any that is pending."""
        self._elapse(log_ms)
        pending = self.pending
        if pending is None or number not in (None, pending.number):
            return self.outcome(self.last_number if number is None else number)
        if pending.activates_at_ms is None:
            self._abort("halted by an operator")
        return self.outcome(pending.number)

    # Events of members.

    def vote(self, incarnation: int, number: int, yes: bool, reason: str = "") -> ActivationOutcome:
        """Count a member's vote.

        A vote on another number, by a member that is not a voter, or after the decision changes nothing.
        """
        pending = self.pending
        if pending is not None and pending.activates_at_ms is None and pending.number == number:
            if incarnation in pending.voters and yes:
                self.pending = replace(pending, yes_voters=pending.yes_voters | {incarnation})
            elif incarnation in pending.voters:
                self._abort(f"{incarnation} said no: {reason}")
        return self.outcome(number)

    def on_attached(self, incarnation: int) -> None:
        """The member has a live lease; called at every enrolment and every renewal."""
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
        """The member's lease has expired: its vote is not waited for."""
        pending = self.pending
        if pending is not None and incarnation in pending.required_voters:
            self.pending = replace(pending, required_voters=pending.required_voters - {incarnation})

    def on_left(self, incarnation: int) -> None:
        """The member is removed: its process has ended, or has to enrol again."""
        pending = self.pending
        if pending is not None and incarnation in pending.voters:
            removed = {incarnation}
            self.pending = replace(
                pending,
                voters=pending.voters - removed,
                required_voters=pending.required_voters - removed,
                yes_voters=pending.yes_voters - removed,
            )

    def apply_due(self, log_ms: float, ttl_ms: float, bound_ms: float) -> None:
        """Decide, abort or put into force what is due at `log_ms`.

        `ttl_ms` is the longest lease term granted to any member, `bound_ms` the clock bound.
        """
        self._elapse(log_ms)
        pending = self.pending
        if (
            pending is None
            or pending.activates_at_ms is not None
            or not pending.required_voters <= pending.yes_voters
        ):
            return
        # Where every voter's lease has expired without a yes, nobody has checked the text.
        if pending.yes_voters or not pending.voters:
            at_ms = log_ms + ttl_ms + bound_ms
            self.pending = replace(pending, activates_at_ms=at_ms)
            version = self._kept_version(pending.number)
            self._update(replace(version, phase=DECIDED, activates_at_ms=at_ms))

    # Reads.

    def announcement(self) -> dict[str, Any]:
        """The `routes` of a lease answer, by the names of the JSON body; the same for every member."""
        active, pending, last = self._kept_version(self.active_number), self.pending, None
        ended = [version for version in self.versions[1:] if version.phase not in (PREPARING, DECIDED)]
        if ended:
            last = {"number": ended[-1].number, "outcome": ended[-1].phase, "why": ended[-1].reason}
        return {
            "rev": self.revision,
            "in_force": {"number": active.number, "at": active.activates_at_ms, "digest": active.digest},
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
        """The body of GET /fleet/routes: the announcement, the pending votes and the versions kept, without
        their texts."""
        status = self.announcement()
        if self.pending is not None:
            status["pending"]["yes"] = sorted(self.pending.yes_voters)
            status["pending"]["waiting_for"] = sorted(self.pending.required_voters - self.pending.yes_voters)
        status["history"] = [
            {
                "number": row.number,
                "phase": row.phase,
                "of": row.rollback_of,
                "at": row.activates_at_ms,
                "why": row.reason,
            }
            for row in self.versions
        ]
        return status

    def text(self, number: int) -> str | None:
        """The text of a version; None where it is not kept."""
        version = self._find(number)
        return None if version is None else version.text

    def outcome(self, number: int) -> ActivationOutcome:
        """The present phase of a version; UNKNOWN for one never given or no longer kept."""
        version = self._find(number)
        if version is None:
            return ActivationOutcome(number, UNKNOWN)
        return ActivationOutcome(number, version.phase, version.reason)

    def copy(self) -> ActivationCoordinator:
        """A coordinator that changes independently of this one."""
        return replace(self)

    def key(self) -> tuple[object, ...]:
        """The whole state as a hashable value."""
        return tuple(getattr(self, item.name) for item in fields(self))

    # Steps.

    def _begin(
        self, log_ms: float, text: str, voters: Iterable[int], deadline_ms: float, rollback_of: int | None
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
        all_voters = frozenset(voters)
        self.pending = PendingActivation(self.last_number, deadline_ms, all_voters, all_voters)
        self._store(
            (*self.versions, VersionRecord(self.last_number, text, digest(text), PREPARING, rollback_of))
        )
        return self.outcome(self.last_number)

    def _elapse(self, log_ms: float) -> None:
        """Apply a deadline or an activation time that has passed."""
        pending = self.pending
        if pending is None:
            return
        if pending.activates_at_ms is None:
            if log_ms >= pending.deadline_ms:
                late = sorted(pending.required_voters - pending.yes_voters)
                self._abort(
                    f"not prepared by its deadline, waiting for {late[:MAX_NAMED_VOTERS] or 'anyone'}"
                )
        elif log_ms >= pending.activates_at_ms:
            self._update(replace(self._kept_version(self.active_number), phase=PAST))
            self._update(replace(self._kept_version(pending.number), phase=IN_FORCE))
            self.active_number, self.pending = pending.number, None
            self._store(self.versions)

    def _abort(self, reason: str) -> None:
        if self.pending is not None:
            version = self._kept_version(self.pending.number)
            self._update(replace(version, phase=ABORTED, reason=reason[:MAX_REASON_LENGTH]))
            self.pending = None

    def _update(self, version: VersionRecord) -> None:
        """Replace the version of this number."""
        self._store(tuple(version if row.number == version.number else row for row in self.versions))

    def _store(self, versions: tuple[VersionRecord, ...]) -> None:
        """Keep version 0, the one in force and the last MAX_VERSIONS, in the order of their numbers."""
        self.revision += 1
        oldest = versions[-MAX_VERSIONS].number if len(versions) > MAX_VERSIONS else 0
        self.versions = tuple(
            row for row in versions if row.number in (0, self.active_number) or row.number >= oldest
        )

    def _find(self, number: int) -> VersionRecord | None:
        return next((row for row in self.versions if row.number == number), None)

    def _kept_version(self, number: int) -> VersionRecord:
        """A version that is always kept: the one in force, or the pending one."""
        version = self._find(number)
        assert version is not None
        return version
