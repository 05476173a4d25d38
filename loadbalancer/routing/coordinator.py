"""The coordinator of two-phase activation: a state machine in the list service's replicated log.

Because the coordinator is part of the log, the failure of an instance does not lose an outcome.

The state machine must behave the same on every instance. It therefore reads no clock, draws no random numbers
and parses no text, since libraries may differ between instances. `log_ms` is the highest service time of any
command applied so far, including the current one. The owner of a coordinator calls `apply_due` in every
replicated command, after the command's own change.

Rules:

1. A number identifies one activation of one text and is never reused. A rollback activates an earlier text
   under a new number (`rollback_of` is the earlier number). If a number were reused, a vote or a text that
   arrives late from an aborted activation could count for the next one.
2. One activation is pending at a time, from its proposal until it is aborted or `log_ms` has reached its
   activation time.
3. Every member with a live lease votes. A member that enrols, or is attached again, while a version is being
   prepared votes too: it would follow the version in force at once, so it must have stored the next version
   before its activation time. A member that enrols after the decision follows no version until it has stored
   the decided one (participant.py).
4. The coordinator does not wait for a member whose lease has expired in the log or that has departed: by the
   member's local clock its lease ended earlier, or its process has ended. The member's yes still counts when
   it is attached again, since a process keeps what it has stored until it ends.
5. A version is decided once every required voter, and at least one member, has voted yes. Its activation time
   is log_ms + lease term + clock bound. A renewal that a node sends later than activation time - lease term -
   clock bound comes after the decision in the log, so its response announces the decision.
6. A version is aborted by a single no, at its deadline, or by an operator's halt before the decision. A halt
   after the decision changes nothing and returns DECIDED, since nodes may already act on the decision; use a
   rollback instead.
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

MAX_VERSIONS = 50  # retained versions, besides version 0 and the one in force
MAX_REASON_LENGTH = 300  # characters
MAX_NAMED_VOTERS = 10  # missing voters listed in the reason of an abort


def _neutral_version() -> VersionRecord:
    return VersionRecord(0, NEUTRAL, digest(NEUTRAL), IN_FORCE, activates_at_ms=0.0)


@dataclass(slots=True)
class ActivationCoordinator:
    """The retained versions and the pending activation.

    All field values are immutable, so `copy` is shallow and `key` can be hashed. Instances are pickled in
    snapshots by field name (registry/stored_form.py).
    """

    revision: int = 0  # incremented whenever the result of `announcement` changes
    last_number: int = 0  # highest number assigned
    active_number: int = 0  # number of the version in force
    versions: tuple[VersionRecord, ...] = field(default_factory=lambda: (_neutral_version(),))
    pending: PendingActivation | None = None

    # Operator commands.

    def propose(
        self, log_ms: float, text: str, voters: Iterable[int], deadline_ms: float
    ) -> ActivationOutcome:
        """Begin to prepare `text`, which the caller has parsed, until `deadline_ms` (service time).

        `voters` are the incarnations with a live lease. If the pending version, or without one the version in
        force, has the same text, nothing begins and that version's outcome is returned.
        """
        return self._begin_activation(log_ms, text, voters, deadline_ms, None)

    def rollback(
        self, log_ms: float, number: int, voters: Iterable[int], deadline_ms: float
    ) -> ActivationOutcome:
        """Begin to activate the text of a version that was in force before, under a new number.

        Number 0 is the neutral version.
        """
        version = self._find(number)
        if version is None or version.phase not in (IN_FORCE, PAST):
            phase = UNKNOWN if version is None else version.phase
            return ActivationOutcome(number, phase, f"version {number} has not been in force", rejected=True)
        return self._begin_activation(log_ms, version.text, voters, deadline_ms, number)

    def halt(self, log_ms: float, number: int | None = None) -> ActivationOutcome:
        """Abort the pending activation unless it is decided; `number` None means any pending activation."""
        self._apply_elapsed(log_ms)
        pending = self.pending
        if pending is None or number not in (None, pending.number):
            return self.outcome(self.last_number if number is None else number)
        if pending.activates_at_ms is None:
            self._abort("halted by an operator")
        return self.outcome(pending.number)

    # Member events.

    def vote(self, incarnation: int, number: int, yes: bool, reason: str = "") -> ActivationOutcome:
        """Count a member's vote.

        A vote on another number, of a member that is not a voter, or after the decision changes nothing.
        """
        pending = self.pending
        if pending is not None and pending.activates_at_ms is None and pending.number == number:
            if incarnation in pending.voters and yes:
                self.pending = replace(pending, yes_voters=pending.yes_voters | {incarnation})
            elif incarnation in pending.voters:
                self._abort(f"{incarnation} said no: {reason}")
        return self.outcome(number)

    def on_attached(self, incarnation: int) -> None:
        """Make the member a required voter of an undecided version; called at every enrolment and renewal."""
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
        """Stop waiting for the vote of a member whose lease has expired."""
        pending = self.pending
        if pending is not None and incarnation in pending.required_voters:
            self.pending = replace(pending, required_voters=pending.required_voters - {incarnation})

    def on_removed(self, incarnation: int) -> None:
        """Remove the member from the voters: its process has ended or must enrol again."""
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
        """Decide, abort or put into force the pending version if that is due at `log_ms`.

        `ttl_ms` is the longest lease term granted to any member, `bound_ms` the clock bound.
        """
        self._apply_elapsed(log_ms)
        pending = self.pending
        if (
            pending is None
            or pending.activates_at_ms is not None
            or not pending.required_voters <= pending.yes_voters
        ):
            return
        # If every voter's lease has expired without a yes, no member has checked the text.
        if pending.yes_voters or not pending.voters:
            at_ms = log_ms + ttl_ms + bound_ms
            self.pending = replace(pending, activates_at_ms=at_ms)
            version = self._retained_version(pending.number)
            self._update(replace(version, phase=DECIDED, activates_at_ms=at_ms))

    # Queries.

    def announcement(self) -> dict[str, Any]:
        """Return the `routes` of a lease response, with the keys of the JSON body; equal for all members."""
        active, pending, last = self._retained_version(self.active_number), self.pending, None
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
                "digest": self._retained_version(pending.number).digest,
            },
            "last": last,
        }

    def status(self) -> dict[str, Any]:
        """Return the body of GET /fleet/routes.

        It has the announcement, the pending votes and the retained versions without their texts.
        """
        status = self.announcement()
        if self.pending is not None:
            status["pending"]["yes"] = sorted(self.pending.yes_voters)
            status["pending"]["waiting_for"] = sorted(self.pending.required_voters - self.pending.yes_voters)
        status["history"] = [
            {
                "number": version.number,
                "phase": version.phase,
                "of": version.rollback_of,
                "at": version.activates_at_ms,
                "why": version.reason,
            }
            for version in self.versions
        ]
        return status

    def text(self, number: int) -> str | None:
        """Return the text of a version, or None if the version is not retained."""
        version = self._find(number)
        return None if version is None else version.text

    def outcome(self, number: int) -> ActivationOutcome:
        """Return the current phase of a version; UNKNOWN if the number was never used or is not retained."""
        version = self._find(number)
        if version is None:
            return ActivationOutcome(number, UNKNOWN)
        return ActivationOutcome(number, version.phase, version.reason)

    def copy(self) -> ActivationCoordinator:
        """Return a copy that changes independently of this coordinator."""
        return replace(self)

    def key(self) -> tuple[object, ...]:
        """Return the complete state as a hashable value."""
        return tuple(getattr(self, item.name) for item in fields(self))

    # State changes.

    def _begin_activation(
        self, log_ms: float, text: str, voters: Iterable[int], deadline_ms: float, rollback_of: int | None
    ) -> ActivationOutcome:
        self._apply_elapsed(log_ms)
        pending = self.pending
        current = self._retained_version(self.active_number if pending is None else pending.number)
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

    def _apply_elapsed(self, log_ms: float) -> None:
        """Abort the pending version at its deadline, or put it into force at its activation time."""
        pending = self.pending
        if pending is None:
            return
        if pending.activates_at_ms is None:
            if log_ms >= pending.deadline_ms:
                missing = sorted(pending.required_voters - pending.yes_voters)
                self._abort(
                    f"not prepared by its deadline, waiting for {missing[:MAX_NAMED_VOTERS] or 'anyone'}"
                )
        elif log_ms >= pending.activates_at_ms:
            self._update(replace(self._retained_version(self.active_number), phase=PAST))
            self._update(replace(self._retained_version(pending.number), phase=IN_FORCE))
            self.active_number, self.pending = pending.number, None
            self._store(self.versions)

    def _abort(self, reason: str) -> None:
        if self.pending is not None:
            version = self._retained_version(self.pending.number)
            self._update(replace(version, phase=ABORTED, reason=reason[:MAX_REASON_LENGTH]))
            self.pending = None

    def _update(self, version: VersionRecord) -> None:
        """Replace the record that has the number of `version`."""
        self._store(tuple(version if old.number == version.number else old for old in self.versions))

    def _store(self, versions: tuple[VersionRecord, ...]) -> None:
        """Retain version 0, the one in force and the last MAX_VERSIONS, ordered by number."""
        self.revision += 1
        oldest = versions[-MAX_VERSIONS].number if len(versions) > MAX_VERSIONS else 0
        self.versions = tuple(
            version
            for version in versions
            if version.number in (0, self.active_number) or version.number >= oldest
        )

    def _find(self, number: int) -> VersionRecord | None:
        return next((version for version in self.versions if version.number == number), None)

    def _retained_version(self, number: int) -> VersionRecord:
        """Return the version in force or the pending one, which are always retained."""
        version = self._find(number)
        assert version is not None
        return version
