"""A node's own lease: when it enrols and renews, and what share it may take now.

Facts and times in, calls out; times are ms of the node's own clock, which never goes back. The rules
(docs/fleet.md):

- The lease runs from the moment the answered renewal was sent. An answer is used only if it answers the
  latest call and came within LATE of the term.
- The share is the one last granted, while the lease runs. It grows by an answer only, never by what
  siblings say.
- Past the lease the node *holds* that share only while a majority of the rows it last knew, itself
  included, have lately said that they are cut off and hold too (HOLD of the term after their word); it has
  to be an elector itself.
- Once neither is true it has *yielded*: its share is 0 until a renewal is answered again.
- The member list is that of the node's group. Changes are taken only onto the revision that they begin at;
  at any other the whole list is asked for, and the node goes on acknowledging what it has.
- An enrolment that is refused (the group is full) is said again after a jittered pause that grows.

A node says `holding` from the moment it can't be among the surely attached any more
(membership/lease_clock.py), which is before its lease ends, so that siblings cut off together
hear of each other in time.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from random import Random
from typing import Any

from msgspec import UNSET

from loadbalancer.membership.lease_calls import QuotaLease, RegistryCall, SiblingReport
from loadbalancer.membership.lease_clock import ATTACHED_TERM_FRACTION, MAX_DELAY_TERM_FRACTION
from loadbalancer.membership.member_record import is_majority
from loadbalancer.membership.messages import LeaseGrant, Member
from loadbalancer.membership.payload import QuotaStatus

RENEWAL_TERM_FRACTION = 0.2  # of the term: from one renewal to the next
RETRY_TERM_FRACTION = 0.1  # after a failure, drawn from half of it up
CATCH_UP_TERM_FRACTION = 0.05  # while the share granted is under the row's aim, or a share has to be given up
MAX_WATCH_JITTER_MS = (
    20.0  # a renewal that news of a change calls for is put off by up to this, so that a fleet is not in step
)
MAX_CLOCK_DRIFT_RATIO = 0.001  # clocks' rates differ by less: the node's term is shorter by this share of it
HOLD_TERM_FRACTION = 0.9  # of the term: how long a sibling's word that it holds is rested on
MAX_BACKOFF_TERMS = 2.0  # of the term: the longest pause after enrolments that were refused again and again
MAX_BACKOFF_DOUBLINGS = 10  # of that pause: past BACKOFF_MOST
FULL_LIST_REVISION = -1  # acknowledged where the list has to be told whole
FIRST_TTL_MS = 5_000.0  # until the service has told its term
QUOTA_TOLERANCE = 1e-9  # shares nearer than this are the same


class MemberLease:
    def __init__(
        self, name: str, address: str, zone: str, start: str, rng: Random, service: str = ""
    ) -> None:
        """`service`: the one that this node balances to, whose nodes are its group."""
        self._identity = {"name": name, "address": address, "zone": zone, "start": start}
        if service:
            self._identity["service"] = service
        self._rng = rng
        self.ttl_ms = FIRST_TTL_MS
        self.incarnation: int | None = None
        self.members: tuple[Member, ...] = ()
        self.revision = 0  # that `members` shows
        self._by_incarnation: dict[int, Member] = {}
        self._needs_full_list = False
        self._rejections = 0  # enrolments refused in a row
        self.elector = False
        self.lease_end_ms = -math.inf
        self._quota = 0.0
        self._quota_end_ms = -math.inf  # the share is 0 from here on
        self._last_answer_ms = -math.inf  # when the last answer used came
        self._last_answered = -1  # and which call it answered
        self._last_number = 0
        self._in_flight: tuple[RegistryCall, float] | None = None  # the latest call and when it was sent
        self._next_call_ms = self._last_sent_ms = -math.inf
        self._drain_announced = False  # whether `leaving` has been told
        self._departure_path: str | None = None  # what the service is to be told of this process's end

    # ------------------------------------------------------------------- the state

    def quota(self, now: float) -> QuotaLease:
        self._expire_quota(now)
        return QuotaLease(self._quota, max(1, len(self.members)), self._quota_end_ms)

    def quota_in_force(self, now: float) -> float:
        """The share in force now."""
        self._expire_quota(now)
        return self._quota if now < self._quota_end_ms else 0.0

    def is_attached(self, now: float) -> bool:
        """Whether an answer of the list service is fresh enough that this node counts as attached."""
        return now < self._last_answer_ms + ATTACHED_TERM_FRACTION * self.ttl_ms

    def quota_status(self, now: float) -> QuotaStatus:
        if self.is_attached(now):
            return QuotaStatus.ATTACHED
        return QuotaStatus.HOLDING if self.elector and self.quota_in_force(now) > 0.0 else QuotaStatus.YIELDED

    # ------------------------------------------------------------------------ calls

    def next_call_at(self) -> float:
        """When `tick` has something to say next: inf while a call is out."""
        return math.inf if self._in_flight is not None else self._next_call_ms

    def tick(self, now: float, service_ms: float | None) -> RegistryCall | None:
        """The next call, if one is due; `service_ms` is the estimate of the service's clock, where there is
        one."""
        self._expire_quota(now)
        if self._in_flight is not None or now < self._next_call_ms:
            return None
        self._last_number += 1
        path: str
        body: dict[str, Any]
        if self._departure_path is not None:
            path, body = self._departure_path, {"incarnation": self.incarnation}
        elif self.incarnation is None:
            path, body = "enrol", dict(self._identity)
        else:
            path = "renew"
            body = {
                "incarnation": self.incarnation,
                "seq": self._last_number,
                "answered": self._last_answered,
                "acked": FULL_LIST_REVISION if self._needs_full_list else self.revision,
                "delta": True,
                "using": self.quota_in_force(now),
                "sent": service_ms,
            }
        call = RegistryCall(self._last_number, path, body, self.ttl_ms * MAX_DELAY_TERM_FRACTION)
        self._in_flight, self._last_sent_ms = (call, now), now
        return call

    def on_departure_acknowledged(self, now: float, number: int) -> bool:
        """The service has noted that this process leaves; whether that was still waited for."""
        if self._in_flight is None or self._in_flight[0].number != number:
            return False
        (call, _), self._in_flight = self._in_flight, None
        self._departure_path = None
        self._next_call_ms = now + RENEWAL_TERM_FRACTION * self.ttl_ms if call.path == "leaving" else math.inf
        return True

    def on_grant(self, now: float, number: int, grant: LeaseGrant, ttl_ms: float) -> bool:
        """The answer to an enrolment or a renewal, already checked in form; whether it was used."""
        if self._in_flight is None or self._in_flight[0].number != number:
            return False  # of a call that was given up
        (call, sent), self._in_flight = self._in_flight, None
        self.ttl_ms = ttl_ms
        if now - sent > self.ttl_ms * MAX_DELAY_TERM_FRACTION:
            self._retry(now)
            return False
        if grant.incarnation != self.incarnation:
            self._last_answered = 0  # the enrolment itself is what this row was answered last
        if call.path == "renew":
            self._last_answered = number
        self._rejections = 0
        self._apply_grant(now, sent, grant)
        return True

    def on_enrolment_rejected(self, now: float, number: int) -> None:
        """The service takes no further member into this group: said again, ever less often."""
        if self._in_flight is None or self._in_flight[0].number != number:
            return
        self._in_flight = None
        pause_ms = self.ttl_ms * min(MAX_BACKOFF_TERMS, RETRY_TERM_FRACTION * 2.0**self._rejections)
        self._rejections = min(
            self._rejections + 1, MAX_BACKOFF_DOUBLINGS
        )  # Guard: for days on end no float overflows
        self._next_call_ms = now + pause_ms * self._rng.uniform(0.5, 1.0)

    def on_failure(self, now: float, number: int, unknown: bool = False) -> None:
        """A call has failed; `unknown`: the service has no such row, and the process has to enrol anew."""
        if self._in_flight is None or self._in_flight[0].number != number:
            return
        self._in_flight = None
        if unknown and self._departure_path is None:
            self.incarnation, self.elector = None, False
            self._quota, self._quota_end_ms, self.lease_end_ms = 0.0, now, -math.inf
            self._next_call_ms = now
        else:
            self._retry(now)

    def on_watch_event(self, now: float) -> None:
        """Something has changed at the service: renew soon, to hear of it and to say what this node takes."""
        soon = max(now, self._last_sent_ms + CATCH_UP_TERM_FRACTION * self.ttl_ms) + self._rng.uniform(
            0.0, MAX_WATCH_JITTER_MS
        )
        self._next_call_ms = min(self._next_call_ms, soon)

    def begin_draining(self, now: float) -> None:
        """The node drains: siblings are told; it takes its share until it has left."""
        if not self._drain_announced and self.incarnation is not None:
            self._drain_announced, self._departure_path, self._next_call_ms = True, "leaving", now

    def leave(self, now: float) -> None:
        """The process has ended its last request: it takes nothing from here on."""
        if self.incarnation is not None:
            self._quota, self._quota_end_ms, self.lease_end_ms = 0.0, now, -math.inf
            self._departure_path, self._next_call_ms = "leave", now

    # ----------------------------------------------------------------------- siblings

    def on_sibling_reports(self, now: float, reports: Mapping[int, SiblingReport]) -> None:
        """What siblings last said of themselves, by incarnation."""
        self._expire_quota(now)
        if now < self._quota_end_ms:
            self._quota_end_ms = max(self.lease_end_ms, self._majority_holds_until(reports))
            self._expire_quota(now)

    def _majority_holds_until(self, reports: Mapping[int, SiblingReport]) -> float:
        """Until when a majority of the rows last known, this one included, rests on words that they hold."""
        if not self.elector:
            return -math.inf
        known = {member.rank for member in self.members}
        ends = [(math.inf, member.rank) for member in self.members if member.incarnation == self.incarnation]
        for member in self.members:
            word = reports.get(member.incarnation)
            if (
                member.incarnation != self.incarnation
                and word is not None
                and word.status is QuotaStatus.HOLDING
            ):
                ends.append((word.made_at_ms + HOLD_TERM_FRACTION * self.ttl_ms, member.rank))
        ranks: set[int] = set()
        for end, rank in sorted(ends, reverse=True):
            ranks.add(rank)
            if is_majority(ranks, known):
                return end
        return -math.inf

    # --------------------------------------------------------------------------- parts

    def _apply_grant(self, now: float, sent: float, grant: LeaseGrant) -> None:
        asked = self.quota_in_force(now)
        self.incarnation, self.elector = grant.incarnation, grant.elector
        self._merge_members(grant)
        self.lease_end_ms = sent + self.ttl_ms * (1.0 - MAX_CLOCK_DRIFT_RATIO)
        self._quota, self._quota_end_ms, self._last_answer_ms = grant.quota, self.lease_end_ms, now
        settled = (
            self._quota > self._target_quota(grant) - QUOTA_TOLERANCE
            and asked <= self._quota + QUOTA_TOLERANCE
        )
        self._next_call_ms = (
            now + (RENEWAL_TERM_FRACTION if settled else CATCH_UP_TERM_FRACTION) * self.ttl_ms
        )
        if (
            asked > self._quota + QUOTA_TOLERANCE
        ):  # what it gives up is free for others only once it has said so
            self._next_call_ms = now

    def _merge_members(self, grant: LeaseGrant) -> None:
        if grant.since_revision is not UNSET and grant.since_revision != self.revision:
            self._needs_full_list = True  # Guard: changes that begin elsewhere leave a gap
            return
        if grant.since_revision is UNSET and grant.members is UNSET and grant.revision != self.revision:
            self._needs_full_list = True
            return
        self.revision, self._needs_full_list = grant.revision, False
        if grant.members is UNSET:
            return
        known = {} if grant.since_revision is UNSET else self._by_incarnation
        told = {member.incarnation: member for member in grant.members}
        gone = set(grant.removed)
        self._by_incarnation = {number: row for number, row in known.items() if number not in gone} | told
        self.members = tuple(self._by_incarnation.values())

    def _target_quota(self, grant: LeaseGrant) -> float:
        if grant.target_quota is not UNSET:
            return grant.target_quota
        return 1.0 / max(1, sum(member.state != "left" for member in self.members))

    def _retry(self, now: float) -> None:
        self._next_call_ms = now + RETRY_TERM_FRACTION * self.ttl_ms * self._rng.uniform(0.5, 1.0)

    def _expire_quota(self, now: float) -> None:
        """A node that has yielded stays so: what siblings say later brings nothing back."""
        if now >= self._quota_end_ms:
            self._quota, self._quota_end_ms = 0.0, -math.inf
