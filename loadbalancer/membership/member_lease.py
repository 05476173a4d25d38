"""Lease of the local node: when it enrols and renews, and the quota that it may use now.

`MemberLease` receives events and times and returns calls; times are ms of the node's own monotonic clock.
Rules (docs/fleet.md):

- The lease runs from the moment at which the renewal was sent. A response is used only if it belongs to the
  latest call and arrived within MAX_DELAY_TERM_FRACTION of the term.
- While the lease runs, the quota is the one last granted. Only a response increases it, never a report of a
  sibling.
- After the lease has ended the node *holds* that quota only while a majority of the last known members,
  itself included, have recently reported that they are detached and hold their quota too. A report counts for
  HOLD_TERM_FRACTION of the term, and the node has to be an elector itself.
- Otherwise the node has *yielded*: its quota is 0 until a renewal succeeds again.
- The member list is that of the node's group. Changes are merged only if they begin at the revision that the
  node has. Otherwise it requests the complete list, and goes on acknowledging its revision.
- A rejected enrolment (the group is full) is retried with exponential backoff and jitter.
- A renewal that is rejected as late, judged by the service time that it states, shows that the node's
  estimate of service time is wrong. The node enrols again: an enrolment states no time, keeps the node's
  record, and its response corrects the estimate. The node never renews without a time, since such a renewal
  would be accepted however late it arrived.

A node reports `HOLDING` as soon as the list service may no longer count it as attached
(membership/lease_clock.py). That is before its lease ends, so siblings that are detached together receive
each other's reports in time.
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

# Durations as fractions of the lease term.
RENEWAL_TERM_FRACTION = 0.2  # between renewals
RETRY_TERM_FRACTION = 0.1  # from a failure to the retry, before jitter
CATCH_UP_TERM_FRACTION = 0.05  # between renewals while the quota differs from its target value
HOLD_TERM_FRACTION = 0.9  # validity of a sibling's report that it holds its quota
MAX_BACKOFF_TERMS = 2.0  # maximum backoff after consecutive rejected enrolments
MAX_RENEWAL_BACKOFF_TERMS = 0.4  # after rejected renewals; shorter than the lease

MIN_JITTER_FACTOR, MAX_JITTER_FACTOR = 0.5, 1.0  # of a backoff
MAX_BACKOFF_DOUBLINGS = 10  # enough to reach MAX_BACKOFF_TERMS; bounds the exponent
MAX_WATCH_JITTER_MS = 20.0  # spreads the renewals that follow one watch event
MAX_CLOCK_DRIFT_RATIO = 0.001  # bound on the drift between clocks; the node's term is shorter by it
FULL_LIST_REVISION = -1  # acknowledging this revision requests the complete member list
FIRST_TTL_MS = 5_000.0  # used until the service has announced its term
QUOTA_TOLERANCE = 1e-9  # smaller differences of quotas are ignored


class MemberLease:
    """Lease of one process, from its first enrolment to its departure."""

    def __init__(
        self, name: str, address: str, zone: str, start: str, rng: Random, service: str = ""
    ) -> None:
        """`service` is the service that this node balances to, whose nodes form its group; "" if none."""
        self._identity = {"name": name, "address": address, "zone": zone, "start": start}
        if service:
            self._identity["service"] = service
        self._rng = rng
        self.ttl_ms = FIRST_TTL_MS
        self.incarnation: int | None = None
        self.members: tuple[Member, ...] = ()
        self.revision = 0  # of `members`
        self._by_incarnation: dict[int, Member] = {}
        self._needs_full_list = False
        self._rejections = 0  # consecutive rejected enrolments and renewals
        self._enrols_again = False  # already enrolled; enrols only to learn service time
        self.elector = False
        self.lease_end_ms = -math.inf
        self._quota = 0.0
        self._quota_end_ms = -math.inf  # the quota is 0 from this time on
        self._last_response_ms = -math.inf  # when the last used response arrived
        self._last_used_number = -1  # number of the call whose response was used last
        self._last_number = 0
        self._in_flight: tuple[RegistryCall, float] | None = None  # the latest call and when it was sent
        self._next_call_ms = self._last_sent_ms = -math.inf
        self._drain_announced = False  # whether the service has been notified of the draining
        self._departure_path: str | None = None  # path of the call that announces this process's departure

    # State.

    def quota(self, now: float) -> QuotaLease:
        """Return the quota and the time at which it ends."""
        self._expire_quota(now)
        return QuotaLease(self._quota, max(1, len(self.members)), self._quota_end_ms)

    def quota_in_force(self, now: float) -> float:
        """Return the quota that may be used now, a fraction from 0 to 1."""
        self._expire_quota(now)
        return self._quota if now < self._quota_end_ms else 0.0

    def is_attached(self, now: float) -> bool:
        """Whether the last response is recent enough for the list service to count this node as attached."""
        return now < self._last_response_ms + ATTACHED_TERM_FRACTION * self.ttl_ms

    def quota_status(self, now: float) -> QuotaStatus:
        """Return the quota status that this node reports to its siblings."""
        if self.is_attached(now):
            return QuotaStatus.ATTACHED
        return QuotaStatus.HOLDING if self.elector and self.quota_in_force(now) > 0.0 else QuotaStatus.YIELDED

    # Calls and their responses.

    def next_call_at(self) -> float:
        """Return when `tick` will return the next call; inf while a call is in flight."""
        return math.inf if self._in_flight is not None else self._next_call_ms

    def tick(self, now: float, service_ms: float | None) -> RegistryCall | None:
        """Return the next call if it is due; `service_ms` is the current estimate of service time."""
        self._expire_quota(now)
        if self._in_flight is not None or now < self._next_call_ms:
            return None
        self._last_number += 1
        path, body = self._next_request(now, service_ms)
        call = RegistryCall(self._last_number, path, body, self.ttl_ms * MAX_DELAY_TERM_FRACTION)
        self._in_flight, self._last_sent_ms = (call, now), now
        return call

    def _next_request(self, now: float, service_ms: float | None) -> tuple[str, dict[str, Any]]:
        """Return the path and the JSON body of the next call."""
        if self._departure_path is not None:
            return self._departure_path, {"incarnation": self.incarnation}
        if self.incarnation is None or self._enrols_again:
            return "enrol", dict(self._identity)
        return "renew", {
            "incarnation": self.incarnation,
            "seq": self._last_number,
            "answered": self._last_used_number,
            "acked": FULL_LIST_REVISION if self._needs_full_list else self.revision,
            "delta": True,
            "using": self.quota_in_force(now),
            "sent": service_ms,
        }

    def on_departure_acknowledged(self, now: float, number: int) -> bool:
        """End the call that announced the departure; return whether it was still in flight."""
        if self._in_flight is None or self._in_flight[0].number != number:
            return False
        (call, _), self._in_flight = self._in_flight, None
        self._departure_path = None
        self._next_call_ms = now + RENEWAL_TERM_FRACTION * self.ttl_ms if call.path == "leaving" else math.inf
        return True

    def on_grant(self, now: float, number: int, grant: LeaseGrant, ttl_ms: float) -> bool:
        """Apply the grant of an enrolment or renewal; return False if it is late or its call has ended."""
        if self._in_flight is None or self._in_flight[0].number != number:
            return False  # the call is no longer in flight
        (call, sent), self._in_flight = self._in_flight, None
        self.ttl_ms = ttl_ms
        if now - sent > self.ttl_ms * MAX_DELAY_TERM_FRACTION:
            self._retry(now)
            return False
        is_new_record = grant.incarnation != self.incarnation
        if is_new_record:
            self._last_used_number = 0  # an enrolment is call number 0 of its incarnation
        if call.path == "renew":
            self._last_used_number = number
        if call.path == "renew" or is_new_record:
            self._rejections = 0
        self._enrols_again = False
        self._apply_grant(now, sent, grant)
        return True

    def on_enrolment_rejected(self, now: float, number: int) -> None:
        """Schedule another enrolment with backoff, after one was rejected because the group is full."""
        if self._end_call(number):
            self._back_off(now, MAX_BACKOFF_TERMS)

    def on_renewal_rejected(self, now: float, number: int) -> None:
        """Enrol again with backoff, after the service rejected the service time that a renewal stated."""
        if self._end_call(number):
            self._enrols_again = True
            self._back_off(now, MAX_RENEWAL_BACKOFF_TERMS)

    def on_failure(self, now: float, number: int, unknown: bool = False) -> None:
        """Retry a failed call later; if the service has no such member (`unknown`), enrol again at once."""
        if not self._end_call(number):
            return
        if unknown and self._departure_path is None:
            self.incarnation, self.elector, self._enrols_again = None, False, False
            self._quota, self._quota_end_ms, self.lease_end_ms = 0.0, now, -math.inf
            self._next_call_ms = now
        else:
            self._retry(now)

    def on_watch_event(self, now: float) -> None:
        """Renew soon, as the fleet's state has changed, to receive the change and report the quota in use."""
        renewal_at = max(now, self._last_sent_ms + CATCH_UP_TERM_FRACTION * self.ttl_ms) + self._rng.uniform(
            0.0, MAX_WATCH_JITTER_MS
        )
        self._next_call_ms = min(self._next_call_ms, renewal_at)

    def begin_draining(self, now: float) -> None:
        """Announce that this node drains; it goes on using its quota until `leave`."""
        if not self._drain_announced and self.incarnation is not None:
            self._drain_announced, self._departure_path, self._next_call_ms = True, "leaving", now

    def leave(self, now: float) -> None:
        """Give up the quota and announce the departure, after the process's last response."""
        if self.incarnation is not None:
            self._quota, self._quota_end_ms, self.lease_end_ms = 0.0, now, -math.inf
            self._departure_path, self._next_call_ms = "leave", now

    # Siblings.

    def on_sibling_reports(self, now: float, reports: Mapping[int, SiblingReport]) -> None:
        """Update the end of the quota from the siblings' latest reports, by incarnation."""
        self._expire_quota(now)
        if now < self._quota_end_ms:
            self._quota_end_ms = max(self.lease_end_ms, self._majority_holds_until(reports))
            self._expire_quota(now)

    def _majority_holds_until(self, reports: Mapping[int, SiblingReport]) -> float:
        """Return the time until which a majority of the last known members counts as holding, or -inf.

        This node counts as holding, if it is an elector.
        """
        if not self.elector:
            return -math.inf
        known_ranks = {member.rank for member in self.members}
        ends = [(math.inf, member.rank) for member in self.members if member.incarnation == self.incarnation]
        for member in self.members:
            report = reports.get(member.incarnation)
            if (
                member.incarnation != self.incarnation
                and report is not None
                and report.status is QuotaStatus.HOLDING
            ):
                ends.append((report.made_at_ms + HOLD_TERM_FRACTION * self.ttl_ms, member.rank))
        holding_ranks: set[int] = set()
        for end, rank in sorted(ends, reverse=True):
            holding_ranks.add(rank)
            if is_majority(holding_ranks, known_ranks):
                return end
        return -math.inf

    # Helpers.

    def _end_call(self, number: int) -> bool:
        """End the call of this number; return whether it was in flight."""
        if self._in_flight is None or self._in_flight[0].number != number:
            return False
        self._in_flight = None
        return True

    def _apply_grant(self, now: float, sent: float, grant: LeaseGrant) -> None:
        used = self.quota_in_force(now)
        self.incarnation, self.elector = grant.incarnation, grant.elector
        self._merge_members(grant)
        self.lease_end_ms = sent + self.ttl_ms * (1.0 - MAX_CLOCK_DRIFT_RATIO)
        self._quota, self._quota_end_ms, self._last_response_ms = grant.quota, self.lease_end_ms, now
        is_at_target = (
            self._quota > self._target_quota(grant) - QUOTA_TOLERANCE
            and used <= self._quota + QUOTA_TOLERANCE
        )
        self._next_call_ms = (
            now + (RENEWAL_TERM_FRACTION if is_at_target else CATCH_UP_TERM_FRACTION) * self.ttl_ms
        )
        if used > self._quota + QUOTA_TOLERANCE:
            # The released quota becomes free only when the next renewal reports the lower usage.
            self._next_call_ms = now

    def _merge_members(self, grant: LeaseGrant) -> None:
        if grant.since_revision is not UNSET and grant.since_revision != self.revision:
            self._needs_full_list = True  # changes since another revision would leave a gap
            return
        if grant.since_revision is UNSET and grant.members is UNSET and grant.revision != self.revision:
            self._needs_full_list = True
            return
        self.revision, self._needs_full_list = grant.revision, False
        if grant.members is UNSET:
            return
        known = {} if grant.since_revision is UNSET else self._by_incarnation
        changed = {member.incarnation: member for member in grant.members}
        removed = set(grant.removed)
        self._by_incarnation = {
            number: member for number, member in known.items() if number not in removed
        } | changed
        self.members = tuple(self._by_incarnation.values())

    def _target_quota(self, grant: LeaseGrant) -> float:
        if grant.target_quota is not UNSET:
            return grant.target_quota
        return 1.0 / max(1, sum(member.state != "left" for member in self.members))

    def _back_off(self, now: float, max_terms: float) -> None:
        """Schedule the next call after a rejection: the backoff doubles each time, up to `max_terms`."""
        backoff_ms = self.ttl_ms * min(max_terms, RETRY_TERM_FRACTION * 2.0**self._rejections)
        self._rejections = min(self._rejections + 1, MAX_BACKOFF_DOUBLINGS)
        self._next_call_ms = now + backoff_ms * self._rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)

    def _retry(self, now: float) -> None:
        self._next_call_ms = now + RETRY_TERM_FRACTION * self.ttl_ms * self._rng.uniform(
            MIN_JITTER_FACTOR, MAX_JITTER_FACTOR
        )

    def _expire_quota(self, now: float) -> None:
        """Set an expired quota to 0; later reports of siblings do not restore it."""
        if now >= self._quota_end_ms:
            self._quota, self._quota_end_ms = 0.0, -math.inf
