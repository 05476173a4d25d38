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
from dataclasses import dataclass
from random import Random
from typing import Any

from msgspec import UNSET

from loadbalancer.membership.lease_clock import LATE, SUPPORT
from loadbalancer.membership.messages import LeaseGrant, Member
from loadbalancer.membership.payload import Standing
from loadbalancer.membership.quota_ledger import is_majority

RENEW = 0.2  # of the term: from one renewal to the next
RETRY = 0.1  # after a failure, drawn from half of it up
CATCH_UP = 0.05  # while the share granted is under the row's aim, or a share has to be given up
NEWS_MS = (
    20.0  # a renewal that news of a change calls for is put off by up to this, so that a fleet is not in step
)
DRIFT = 0.001  # clocks' rates differ by less: the node's term is shorter by this share of it
HOLD = 0.9  # of the term: how long a sibling's word that it holds is rested on
BACKOFF_MOST = 2.0  # of the term: the longest pause after enrolments that were refused again and again
MOST_DOUBLINGS = 10  # of that pause: past BACKOFF_MOST
WHOLE_LIST = -1  # acknowledged where the list has to be told whole
FIRST_TTL_MS = 5_000.0  # until the service has told its term
LEAST = 1e-9  # shares nearer than this are the same


@dataclass(slots=True, frozen=True)
class Call:
    """A call to the list service, which `answered` or `failed` has to follow with the same number."""

    number: int
    path: str  # under /fleet/
    body: dict[str, Any]
    timeout_ms: float


@dataclass(slots=True, frozen=True)
class Share:
    """What the node may take of what all siblings share: `share` before `until_ms` of its clock, 0 from
    then on."""

    share: float
    rows: int
    until_ms: float


@dataclass(slots=True, frozen=True)
class Word:
    """A sibling's last word on itself, made no earlier than `at_ms` of this node's clock."""

    standing: Standing
    at_ms: float


class Enrolment:
    def __init__(
        self, name: str, address: str, zone: str, start: str, rng: Random, service: str = ""
    ) -> None:
        """`service`: the one that this node balances to, whose nodes are its group."""
        self._about = {"name": name, "address": address, "zone": zone, "start": start}
        if service:
            self._about["service"] = service
        self._rng = rng
        self.ttl_ms = FIRST_TTL_MS
        self.incarnation: int | None = None
        self.members: tuple[Member, ...] = ()
        self.revision = 0  # that `members` shows
        self._by_incarnation: dict[int, Member] = {}
        self._whole_list_wanted = False
        self._refusals = 0  # enrolments refused in a row
        self.elector = False
        self.lease_end = -math.inf
        self._share = 0.0
        self._until = -math.inf  # the share is 0 from here on
        self._answer_at = -math.inf  # when the last answer used came
        self._answered = -1  # and which call it answered
        self._numbers = 0
        self._out: tuple[Call, float] | None = None  # the latest call and when it was sent
        self._due = self._sent_at = -math.inf
        self._drained = False  # whether `leaving` has been told
        self._leave: str | None = None  # what the service is to be told of this process's end

    # ------------------------------------------------------------------- the state

    def share(self, now: float) -> Share:
        self._settle(now)
        return Share(self._share, max(1, len(self.members)), self._until)

    def taking(self, now: float) -> float:
        """The share in force now."""
        self._settle(now)
        return self._share if now < self._until else 0.0

    def attached(self, now: float) -> bool:
        """Whether an answer of the list service is fresh enough that this node counts as attached."""
        return now < self._answer_at + SUPPORT * self.ttl_ms

    def standing(self, now: float) -> Standing:
        if self.attached(now):
            return Standing.ATTACHED
        return Standing.HOLDING if self.elector and self.taking(now) > 0.0 else Standing.YIELDED

    # ------------------------------------------------------------------------ calls

    def due(self) -> float:
        """When `tick` has something to say next: inf while a call is out."""
        return math.inf if self._out is not None else self._due

    def tick(self, now: float, service_ms: float | None) -> Call | None:
        """The next call, if one is due; `service_ms` is the estimate of the service's clock, where there is
        one."""
        self._settle(now)
        if self._out is not None or now < self._due:
            return None
        self._numbers += 1
        path: str
        body: dict[str, Any]
        if self._leave is not None:
            path, body = self._leave, {"incarnation": self.incarnation}
        elif self.incarnation is None:
            path, body = "enrol", dict(self._about)
        else:
            path = "renew"
            body = {
                "incarnation": self.incarnation,
                "seq": self._numbers,
                "answered": self._answered,
                "acked": WHOLE_LIST if self._whole_list_wanted else self.revision,
                "delta": True,
                "using": self.taking(now),
                "sent": service_ms,
            }
        call = Call(self._numbers, path, body, self.ttl_ms * LATE)
        self._out, self._sent_at = (call, now), now
        return call

    def acknowledged(self, now: float, number: int) -> bool:
        """The service has noted that this process leaves; whether that was still waited for."""
        if self._out is None or self._out[0].number != number:
            return False
        (call, _), self._out = self._out, None
        self._leave = None
        self._due = now + RENEW * self.ttl_ms if call.path == "leaving" else math.inf
        return True

    def granted(self, now: float, number: int, grant: LeaseGrant, ttl_ms: float) -> bool:
        """The answer to an enrolment or a renewal, already checked in form; whether it was used."""
        if self._out is None or self._out[0].number != number:
            return False  # of a call that was given up
        (call, sent), self._out = self._out, None
        self.ttl_ms = ttl_ms
        if now - sent > self.ttl_ms * LATE:
            self._retry(now)
            return False
        if grant.incarnation != self.incarnation:
            self._answered = 0  # the enrolment itself is what this row was answered last
        if call.path == "renew":
            self._answered = number
        self._refusals = 0
        self._use(now, sent, grant)
        return True

    def refused(self, now: float, number: int) -> None:
        """The service takes no further member into this group: said again, ever less often."""
        if self._out is None or self._out[0].number != number:
            return
        self._out = None
        pause_ms = self.ttl_ms * min(BACKOFF_MOST, RETRY * 2.0**self._refusals)
        self._refusals = min(self._refusals + 1, MOST_DOUBLINGS)  # Guard: for days on end no float overflows
        self._due = now + pause_ms * self._rng.uniform(0.5, 1.0)

    def failed(self, now: float, number: int, unknown: bool = False) -> None:
        """A call has failed; `unknown`: the service has no such row, and the process has to enrol anew."""
        if self._out is None or self._out[0].number != number:
            return
        self._out = None
        if unknown and self._leave is None:
            self.incarnation, self.elector = None, False
            self._share, self._until, self.lease_end = 0.0, now, -math.inf
            self._due = now
        else:
            self._retry(now)

    def news(self, now: float) -> None:
        """Something has changed at the service: renew soon, to hear of it and to say what this node takes."""
        soon = max(now, self._sent_at + CATCH_UP * self.ttl_ms) + self._rng.uniform(0.0, NEWS_MS)
        self._due = min(self._due, soon)

    def leaving(self, now: float) -> None:
        """The node drains: siblings are told; it takes its share until it has left."""
        if not self._drained and self.incarnation is not None:
            self._drained, self._leave, self._due = True, "leaving", now

    def leave(self, now: float) -> None:
        """The process has ended its last request: it takes nothing from here on."""
        if self.incarnation is not None:
            self._share, self._until, self.lease_end = 0.0, now, -math.inf
            self._leave, self._due = "leave", now

    # ----------------------------------------------------------------------- siblings

    def heard(self, now: float, words: Mapping[int, Word]) -> None:
        """What siblings last said of themselves, by incarnation."""
        self._settle(now)
        if now < self._until:
            self._until = max(self.lease_end, self._held_until(words))
            self._settle(now)

    def _held_until(self, words: Mapping[int, Word]) -> float:
        """Until when a majority of the rows last known, this one included, rests on words that they hold."""
        if not self.elector:
            return -math.inf
        known = {member.rank for member in self.members}
        ends = [(math.inf, member.rank) for member in self.members if member.incarnation == self.incarnation]
        for member in self.members:
            word = words.get(member.incarnation)
            if (
                member.incarnation != self.incarnation
                and word is not None
                and word.standing is Standing.HOLDING
            ):
                ends.append((word.at_ms + HOLD * self.ttl_ms, member.rank))
        ranks: set[int] = set()
        for end, rank in sorted(ends, reverse=True):
            ranks.add(rank)
            if is_majority(ranks, known):
                return end
        return -math.inf

    # --------------------------------------------------------------------------- parts

    def _use(self, now: float, sent: float, grant: LeaseGrant) -> None:
        asked = self.taking(now)
        self.incarnation, self.elector = grant.incarnation, grant.elector
        self._take_members(grant)
        self.lease_end = sent + self.ttl_ms * (1.0 - DRIFT)
        self._share, self._until, self._answer_at = grant.share, self.lease_end, now
        settled = self._share > self._aim(grant) - LEAST and asked <= self._share + LEAST
        self._due = now + (RENEW if settled else CATCH_UP) * self.ttl_ms
        if asked > self._share + LEAST:  # what it gives up is free for others only once it has said so
            self._due = now

    def _take_members(self, grant: LeaseGrant) -> None:
        if grant.since is not UNSET and grant.since != self.revision:
            self._whole_list_wanted = True  # Guard: changes that begin elsewhere leave a gap
            return
        if grant.since is UNSET and grant.members is UNSET and grant.rev != self.revision:
            self._whole_list_wanted = True
            return
        self.revision, self._whole_list_wanted = grant.rev, False
        if grant.members is UNSET:
            return
        known = {} if grant.since is UNSET else self._by_incarnation
        told = {member.incarnation: member for member in grant.members}
        gone = set(grant.removed)
        self._by_incarnation = {number: row for number, row in known.items() if number not in gone} | told
        self.members = tuple(self._by_incarnation.values())

    def _aim(self, grant: LeaseGrant) -> float:
        if grant.aim is not UNSET:
            return grant.aim
        return 1.0 / max(1, sum(member.state != "left" for member in self.members))

    def _retry(self, now: float) -> None:
        self._due = now + RETRY * self.ttl_ms * self._rng.uniform(0.5, 1.0)

    def _settle(self, now: float) -> None:
        """A node that has yielded stays so: what siblings say later brings nothing back."""
        if now >= self._until:
            self._share, self._until = 0.0, -math.inf
