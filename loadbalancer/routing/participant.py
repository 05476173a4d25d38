"""A node's part in two-phase activation: it stores texts, votes, switches on time and falls back.

Events are method calls with the time on the node's local clock (`now`, ms). Each call returns the resulting
actions; the owner executes them in order and reports the result of each Fetch, Store and CastVote.

A node's participation at a given time (`Participation`):

    detached   no live lease by the local clock; the node runs version 0
    waiting    a live lease, but the version in force or a decided one is not stored yet, or service time has
               not been known closely enough to switch to the decided one; the node runs version 0
    following  a live lease, and all required versions are stored; the node runs the version in force by its
               best estimate of service time

A following node stops following only when its lease ends: every member with a live lease votes before a
decision, and a member that enrols after the decision waits until it has stored the decided version. Two
following nodes therefore run the same version, except within the clock bound around the activation time.

A text is checked and stored with fsync before the node votes yes. The yes remains valid while the process
runs, since Delete is requested only after the log has ended the activation. A restarted process has the
stored texts (`on_restored`), runs version 0, and receives the outcome with its first lease response.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, fields, replace
from enum import StrEnum
from typing import Any

from loadbalancer.endpoints import Endpoint, RouteVersion, TrafficSplit
from loadbalancer.routing.actions import Action, Apply, CastVote, Delete, Fetch, Store
from loadbalancer.routing.announcement import Announcement
from loadbalancer.routing.route_table import find_objections, parse_table
from loadbalancer.routing.service_offset import ServiceOffset
from loadbalancer.routing.version_copy import CopyStage, VersionCopy
from loadbalancer.routing.version_record import digest

MAX_OBJECTION_CHARS = 300
UNKNOWN_OFFSET = ServiceOffset(0.0, 0.0)  # until the first lease response
NEUTRAL_VERSION = 0  # the neutral version, which needs no copy


class Participation(StrEnum):
    """Whether a node follows route versions; operators see the values."""

    DETACHED = "detached"
    WAITING = "waiting"
    FOLLOWING = "following"


@dataclass(slots=True)
class RouteParticipant:
    """One node's state. All field values except `copies` are immutable, so `copy` is cheap."""

    classes: tuple[str, ...]  # request classes in this node's configuration
    bound_ms: float  # clock bound; a node that knows service time less closely votes no
    retry_ms: float = 200.0  # delay before a failed fetch or write is retried
    running_version: int = NEUTRAL_VERSION  # the version last applied
    incarnation: int | None = None
    lease_end_ms: float | None = None  # local time; None: no lease
    service_offset: ServiceOffset = UNKNOWN_OFFSET
    announced: Announcement | None = None
    endpoints: tuple[Endpoint, ...] | None = None  # None: no endpoint list yet
    unconfident: frozenset[str] = frozenset()  # names of the endpoints with confidence NONE
    copies: dict[int, VersionCopy] = field(default_factory=dict)

    # Events.

    def on_restored(self, stored: Iterable[tuple[int, str]]) -> list[Action]:
        """Handle the start of the process with these numbers and texts on disk; delete unreadable texts."""
        actions: list[Action] = []
        for number, text in stored:
            try:
                self.copies[number] = VersionCopy(
                    digest(text), CopyStage.STORED, table=parse_table(number, text)
                )
            except ValueError:
                actions.append(Delete(number))
        return actions

    def on_lease_response(
        self,
        now: float,
        incarnation: int,
        lease_end_ms: float,
        service_ms: tuple[float, float],
        routes: dict[str, Any],
    ) -> list[Action]:
        """Handle the response to an enrolment or a renewal.

        `lease_end_ms` is a local time, `service_ms` the interval of service time now, `routes` the
        announcement. They are applied together, so that a lease is never extended without the announcement
        that came with it. A response older than the last one used changes nothing. Raise
        MalformedAnnouncementError, without any change, if `routes` is malformed.
        """
        announced = Announcement.from_lease_response(routes)
        if self._is_outdated(incarnation, announced):
            return []
        same_incarnation = incarnation == self.incarnation
        for number, copy in self.copies.items():
            acknowledged = copy.vote_acknowledged and same_incarnation
            self.copies[number] = replace(copy, vote_acknowledged=acknowledged, vote_sent=acknowledged)
        if same_incarnation and self.lease_end_ms is not None:
            lease_end_ms = max(lease_end_ms, self.lease_end_ms)
        self.incarnation, self.lease_end_ms, self.announced = incarnation, lease_end_ms, announced
        return self.tick(now, service_ms)

    def set_lease_end(self, now: float, lease_end_ms: float | None) -> list[Action]:
        """Replace the end of the lease that the last response gave; None: the lease has ended."""
        self.lease_end_ms = lease_end_ms
        return self._step(now)

    def on_unregistered(self, now: float) -> list[Action]:
        """End the lease: the list service, which may have been rebuilt, has no record of this node."""
        self.incarnation = None
        return self.set_lease_end(now, None)

    def set_endpoints(
        self, now: float, endpoints: tuple[Endpoint, ...], unconfident: Collection[str] = ()
    ) -> list[Action]:
        """Set the complete endpoint list and the names of the endpoints with confidence NONE."""
        self.endpoints, self.unconfident = endpoints, frozenset(unconfident)
        return self._step(now)

    def on_fetched(self, now: float, number: int, text: str | None) -> list[Action]:
        """Handle the end of a fetch; `text` is None if it failed."""
        copy = self.copies.get(number)
        if copy is None or copy.stage is not CopyStage.FETCHING:
            return []
        if text is None or digest(text) != copy.digest:
            copy = replace(copy, stage=CopyStage.MISSING, retry_at_ms=now + self.retry_ms)
        else:
            try:
                copy = replace(copy, stage=CopyStage.READ, text=text, table=parse_table(number, text))
            except ValueError as error:
                copy = replace(copy, stage=CopyStage.UNREADABLE, objection=f"unreadable: {error}")
        self.copies[number] = copy
        return self._step(now)

    def on_stored(self, now: float, number: int, ok: bool, reason: str = "") -> list[Action]:
        """Handle the end of a write; `ok`: the text is written and synced, else `reason` is the error."""
        copy = self.copies.get(number)
        if copy is None or copy.stage is not CopyStage.STORING:
            return []
        if ok:
            copy = replace(copy, stage=CopyStage.STORED, text="")
        else:
            retry_at_ms = now + self.retry_ms
            copy = replace(
                copy, stage=CopyStage.READ, store_error=f"not writable: {reason}", retry_at_ms=retry_at_ms
            )
        self.copies[number] = copy
        return self._step(now)

    def on_vote_acknowledged(self, incarnation: int, number: int) -> None:
        """Handle that the list service has received the vote cast under this incarnation."""
        copy = self.copies.get(number)
        if copy is not None and incarnation == self.incarnation:
            self.copies[number] = replace(copy, vote_acknowledged=True)

    def tick(self, now: float, service_ms: tuple[float, float] | None = None) -> list[Action]:
        """Handle the passage of time; `service_ms`: interval of service time now, if the estimate changed."""
        if service_ms is not None:
            earliest_ms, latest_ms = service_ms
            self.service_offset = ServiceOffset(earliest_ms - now, latest_ms - now)
        return self._step(now)

    # Queries.

    def next_tick_ms(self, now: float) -> float | None:
        """Return the local time at which `tick` has something to do.

        A time up to `now` means at once; None means that the passage of time alone changes nothing.
        """
        due_ms = self._retries_ms(now)
        if self.lease_end_ms is not None and self.running_version:
            due_ms.append(self.lease_end_ms)
        switch_ms = self._next_switch_ms(now)
        if switch_ms is not None:
            due_ms.append(switch_ms)
        return min(due_ms, default=None)

    def _retries_ms(self, now: float) -> list[float]:
        """Return the times at which failed fetches and writes of wanted versions are retried."""
        if self.announced is None or self.participation(now) is Participation.DETACHED:
            return []
        wanted = [(version.number, self.copies.get(version.number)) for version in self.announced.wanted()]
        return [
            copy.retry_at_ms
            for number, copy in wanted
            if copy is not None
            and (
                copy.stage is CopyStage.MISSING or (copy.store_error and not self._is_being_prepared(number))
            )
        ]

    def participation(self, now: float) -> Participation:
        """Return whether this node follows the version in force."""
        if self.lease_end_ms is None or now >= self.lease_end_ms or self.announced is None:
            return Participation.DETACHED
        ready = all(self._is_ready(version.number, version.digest) for version in self.announced.required())
        return Participation.FOLLOWING if ready else Participation.WAITING

    def status(self, now: float) -> dict[str, Any]:
        """Return the node's state for operators, with the keys of the JSON body."""
        announced = self.announced
        pending = None if announced is None else announced.pending
        return {
            "version": self.running_version,
            "stand": self.participation(now).value,
            "in_force": None if announced is None else announced.in_force.number,
            "pending": None if pending is None else pending.number,
            "at": None if announced is None else announced.activates_at_ms,
            "copies": {
                number: {"stage": copy.stage.value, "why": copy.objection or copy.store_error}
                for number, copy in self.copies.items()
            },
        }

    def copy(self) -> RouteParticipant:
        """Return a copy that changes independently of this participant."""
        return replace(self, copies=dict(self.copies))

    def key(self) -> tuple[object, ...]:
        """Return the complete state as a hashable value."""
        names = [item.name for item in fields(self) if item.name not in ("copies", "endpoints")]
        values = tuple(getattr(self, name) for name in names)
        return (*values, tuple(sorted(self.copies.items(), key=lambda item: item[0])), repr(self.endpoints))

    # State changes.

    def _is_outdated(self, incarnation: int, announced: Announcement) -> bool:
        """Return whether a response is older than the last one used.

        An old response must not delete a text that the node has voted yes on since: the coordinator may have
        counted that yes already.
        """
        if self.announced is None or self.incarnation is None:
            return False
        return (incarnation, announced.revision) < (self.incarnation, self.announced.revision)

    def _step(self, now: float) -> list[Action]:
        announced = self.announced
        if announced is None:
            return []
        actions = self._delete_obsolete(announced)
        if self.participation(now) is not Participation.DETACHED:
            for version in announced.wanted():
                actions += self._advance_copy(now, version.number, version.digest)
        return actions + self._switch(now, announced)

    def _is_being_prepared(self, number: int) -> bool:
        return self.announced is not None and self.announced.is_being_prepared(number)

    def _delete_obsolete(self, announced: Announcement) -> list[Action]:
        """Drop copies that the announcement does not contain, or contains with another text."""
        obsolete = [
            number
            for number, copy in self.copies.items()
            if (number, copy.digest) not in announced.wanted() and not copy.is_busy
        ]
        return [Delete(number) for number in obsolete if self.copies.pop(number).stage is CopyStage.STORED]

    def _advance_copy(self, now: float, number: int, text_digest: str) -> list[Action]:
        """Take the next step for a wanted version: fetch, check, store or vote."""
        copy = self.copies.get(number)
        if copy is None or (copy.stage is CopyStage.MISSING and now >= copy.retry_at_ms):
            self.copies[number] = VersionCopy(text_digest, CopyStage.FETCHING)
            return [Fetch(number)]
        copy = self._confirm_clock(number, copy)
        if copy.is_busy or copy.stage is CopyStage.MISSING:
            return []
        if self._is_being_prepared(number):
            copy = self.copies[number] = self._checked(copy)
            if copy.objection is None:
                return []  # the endpoint list has not arrived yet
            if copy.objection or copy.stage is CopyStage.STORED:
                return self._vote(number, copy)
        if copy.stage is CopyStage.READ and now >= copy.retry_at_ms:
            self.copies[number] = replace(copy, stage=CopyStage.STORING, store_error="")
            return [Store(number, copy.text)]
        return []

    def _confirm_clock(self, number: int, copy: VersionCopy) -> VersionCopy:
        """Record that service time is known closely enough to switch to this version on time.

        A process that started after the decision has not checked this before a vote. The version in force
        needs no switch at an exact time.
        """
        is_close = self.service_offset.width_ms <= 2 * self.bound_ms
        in_force = self.announced is not None and self.announced.in_force.number == number
        if not copy.clock_confirmed and (is_close or in_force):
            copy = self.copies[number] = replace(copy, clock_confirmed=True)
        return copy

    def _checked(self, copy: VersionCopy) -> VersionCopy:
        """Return the copy with this node's objection to it, if that can be determined now."""
        if copy.store_error and not copy.objection:
            return replace(copy, objection=copy.store_error)
        if copy.objection is not None or self.endpoints is None or copy.table is None:
            return copy
        objections = find_objections(copy.table, self.classes, self.endpoints, self.unconfident)
        uncertainty_ms = self.service_offset.width_ms / 2
        if not uncertainty_ms <= self.bound_ms:
            objections.append(f"service time is known to {uncertainty_ms:.1f} ms only")
        return replace(copy, objection="; ".join(objections)[:MAX_OBJECTION_CHARS])

    def _vote(self, number: int, copy: VersionCopy) -> list[Action]:
        if copy.vote_sent or self.incarnation is None:
            return []
        self.copies[number] = replace(copy, vote_sent=True)
        return [CastVote(self.incarnation, number, not copy.objection, copy.objection or "")]

    def _switch(self, now: float, announced: Announcement) -> list[Action]:
        """Apply the version that the node must run now, if it runs another one."""
        number, due_ms = self._version_to_run(now, announced)
        if number == self.running_version:
            return []
        self.running_version = number
        return [Apply(RouteVersion(number, self._splits(number)), due_ms)]

    def _version_to_run(self, now: float, announced: Announcement) -> tuple[int, float]:
        """Return the number of the version to run, and when the switch to it was due."""
        if self.participation(now) is Participation.FOLLOWING:
            return self._version_to_follow(now, announced)
        return NEUTRAL_VERSION, now if self.lease_end_ms is None else min(now, self.lease_end_ms)

    def _version_to_follow(self, now: float, announced: Announcement) -> tuple[int, float]:
        pending = announced.pending
        if pending is not None and announced.activates_at_ms is not None:
            activation_ms = self._activation_ms(announced.activates_at_ms)
            # A switch is never undone, even if a later estimate puts the activation time after now.
            if activation_ms <= now or self.running_version == pending.number:
                return pending.number, min(now, activation_ms)
        return announced.in_force.number, now

    def _splits(self, number: int) -> dict[str, tuple[TrafficSplit, ...]]:
        copy = self.copies.get(number)
        return {} if copy is None or copy.table is None else copy.table.splits_by_class(self.classes)

    def _is_ready(self, number: int, text_digest: str) -> bool:
        """Return whether this text of the version is stored and the node can switch to it on time."""
        copy = self.copies.get(number)
        return (
            copy is not None
            and copy.clock_confirmed
            and copy.stage is CopyStage.STORED
            and copy.digest == text_digest
        )

    def _next_switch_ms(self, now: float) -> float | None:
        """Return the local time at which a decided version comes into force, or None without a due switch."""
        announced = self.announced
        if announced is None or announced.pending is None or announced.activates_at_ms is None:
            return None
        if self.running_version == announced.pending.number:
            return None
        if self.participation(now) is not Participation.FOLLOWING:
            return None
        return self._activation_ms(announced.activates_at_ms)

    def _activation_ms(self, service_ms: float) -> float:
        """Convert a service time to local time by the best estimate."""
        return service_ms - self.service_offset.middle_ms
