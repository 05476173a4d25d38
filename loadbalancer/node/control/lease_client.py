"""The node's lease: sends the calls that `MemberLease` asks for, and uses their answers."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from msgspec import UNSET

from loadbalancer.membership import MemberLease, RegistryCall
from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.node.control.background_tasks import BackgroundTasks
from loadbalancer.node.control.clock import MembershipClock
from loadbalancer.node.control.registry_client import RegistryClient, decode_lease_answer
from loadbalancer.node.control.registry_watch import RegistryWatch, Revisions
from loadbalancer.node.control.service_time import ServiceTimeEstimate
from loadbalancer.node.control.timers import RestartableTimer
from loadbalancer.node.failure_log import one_line
from loadbalancer.node.http import service_http as web
from loadbalancer.staleness.clock_offsets import Interval

log = logging.getLogger("loadbalancer")

# Paths of the calls under /fleet/.
ENROLMENT: Final = "enrol"
RENEWAL: Final = "renew"
DEPARTURE: Final = "leave"
LEAVE_TIMEOUT_S: Final = 0.5  # how long a process that ends waits for its leave to be acknowledged
MAX_LOGGED_CHARS: Final = 200  # of an error's text or an answer's body


class LeaseClient:
    """Enrols this process at the list service and renews its lease.

    `on_answer(now, answer)` is called with every answer that was used, `on_lease_lost(now)` when the service
    does not know this process any more, `on_quota_change()` when the quota has changed or may have.
    """

    def __init__(
        self,
        member_lease: MemberLease,
        client: RegistryClient,
        clock: MembershipClock,
        service_time: ServiceTimeEstimate,
    ) -> None:
        """`service_time`: takes the times of the calls."""
        self.member_lease = member_lease
        self.on_answer: Callable[[float, LeaseResponse], None] = lambda now, answer: None
        self.on_lease_lost: Callable[[float], None] = lambda now: None
        self.on_quota_change: Callable[[], None] = lambda: None
        self.failures = 0
        self.mismatched_answers = 0  # answers to other calls than the one they came to
        self.rejected_renewals = 0  # of those that reached the service too late by the time they stated
        self._failing = False
        self._client, self._clock, self._service_time = client, clock, service_time
        self._timer = RestartableTimer(self._tick)
        self._tasks = BackgroundTasks()
        self._watch = RegistryWatch(client, lambda: member_lease.incarnation, self._on_registry_change)
        self._leave_acknowledged = asyncio.Event()

    def start(self) -> None:
        """Enrol, and watch the list service for changes."""
        self._tick()
        self._tasks.spawn(self._watch.run())

    def close(self) -> None:
        """Stop all calls and timers at once."""
        self._timer.cancel()
        self._tasks.close()

    def service_ms(self, now: float) -> Interval | None:
        """The current service time in ms, as an interval; None until the service has answered."""
        return self._service_time.interval_ms(now)

    def set_revisions(self, members: int, routes: int) -> None:
        """The revisions that the last answer stated; the watch waits for later ones."""
        self._watch.revisions = Revisions(members, routes)

    def begin_drain(self) -> None:
        """Announce that this node drains; it keeps its quota until `leave`."""
        self.member_lease.begin_draining(self._clock.now_ms())
        self._tick()

    async def leave(self) -> None:
        """Give the quota up, after the last request has been answered, and notify the service."""
        if self.member_lease.incarnation is None:
            return
        self.member_lease.leave(self._clock.now_ms())
        self.on_quota_change()
        self._tick()
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._leave_acknowledged.wait()
        except TimeoutError:
            log.warning(
                "lease: the list service has not acknowledged that this node leaves; the lease will expire"
            )

    # ------------------------------------------------------------- internals

    def _tick(self) -> None:
        now = self._clock.now_ms()
        call = self.member_lease.tick(now, self._service_time.best_ms(now))
        if call is not None:
            self._tasks.spawn(self._send(call))
        due = self.member_lease.next_call_at()
        if due < math.inf:
            self._timer.schedule(self._clock.to_loop_time(max(due, now)))

    def _on_registry_change(self) -> None:
        """Members or routes have changed: renew soon, as the answer states the changes."""
        self.member_lease.on_watch_event(self._clock.now_ms())
        self._tick()

    async def _send(self, call: RegistryCall) -> None:
        sent_at = self._clock.now_ms()
        try:
            reply = await self._client.post(call.path, _numbered(call), call.timeout_ms)
            self._on_reply(sent_at, call, reply)
        except (OSError, TimeoutError, ValueError) as error:
            self._on_failure(self._clock.now_ms(), call, f"{type(error).__name__}: {one_line(error)}")
        self._tick()

    def _on_reply(self, sent_at: float, call: RegistryCall, reply: web.ReceivedResponse) -> None:
        """ValueError for a malformed body."""
        now = self._clock.now_ms()
        if reply.status == HTTPStatus.NOT_FOUND and call.path == RENEWAL:
            self._on_unknown(now, call)
        elif reply.status == HTTPStatus.CONFLICT and call.path == ENROLMENT:
            self._on_enrolment_rejected(now, call, reply.body)
        elif reply.status == HTTPStatus.CONFLICT and call.path == RENEWAL:
            self._on_renewal_rejected(now, call, reply.body)
        elif reply.status != HTTPStatus.OK:
            self._on_failure(now, call, f"answered {reply.status}")
        elif call.path in (ENROLMENT, RENEWAL):
            self._use(sent_at, now, call, decode_lease_answer(reply.body))
        else:
            self.member_lease.on_departure_acknowledged(now, call.number)
            if call.path == DEPARTURE:
                self._leave_acknowledged.set()

    def _use(self, sent_at: float, now: float, call: RegistryCall, answer: LeaseResponse) -> None:
        if not self._answers(call, answer):
            self.mismatched_answers += 1
            self._on_failure(now, call, f"answered as another call, {self.mismatched_answers} so far")
            return
        self._service_time.add_answer(sent_at, now, answer)
        incarnation = self.member_lease.incarnation
        if not self.member_lease.on_grant(now, call.number, answer, answer.ttl_ms):
            self.failures += 1
            return
        if incarnation not in (None, answer.incarnation):  # enrolled again, and the earlier record was gone
            self.on_lease_lost(now)
        if self._failing:
            log.info("lease: the list service answers again, incarnation %d", answer.incarnation)
        self._failing = False
        self.on_answer(now, answer)
        self.on_quota_change()

    def _answers(self, call: RegistryCall, answer: LeaseResponse) -> bool:
        """Whether this is the answer to this call, and not to an earlier one or another member's."""
        if call.path == RENEWAL and answer.incarnation != call.body["incarnation"]:
            return False
        if answer.call is UNSET:  # of an instance that does not repeat the number
            return not self._service_time.is_older(answer)
        return answer.call == call.number

    def _on_unknown(self, now: float, call: RegistryCall) -> None:
        log.warning("lease: this process is not known to the list service; it enrols again")
        self._service_time.discard()  # the service may have been rebuilt, with a clock and terms of its own
        self.member_lease.on_failure(now, call.number, unknown=True)
        self.on_lease_lost(now)
        self.on_quota_change()

    def _on_failure(self, now: float, call: RegistryCall, problem: str) -> None:
        self._count_failure(
            f"{call.path} failed, the last grant holds until the lease expires: {problem[:MAX_LOGGED_CHARS]}"
        )
        self.member_lease.on_failure(now, call.number)
        self.on_quota_change()

    def _on_renewal_rejected(self, now: float, call: RegistryCall, body: bytes) -> None:
        """The service takes the renewal to be late or from the future: the estimate behind it is suspect."""
        self.rejected_renewals += 1
        self._count_failure(
            f"renewal rejected, {self.rejected_renewals} so far, this process enrols again: stated "
            f"{call.body['sent']}, {self._service_time.describe(now)}: {body[:MAX_LOGGED_CHARS]!r}"
        )
        self._service_time.discard()
        self.member_lease.on_renewal_rejected(now, call.number)
        self.on_quota_change()

    def _on_enrolment_rejected(self, now: float, call: RegistryCall, body: bytes) -> None:
        self._count_failure(f"enrolment rejected, the group is full: {body[:MAX_LOGGED_CHARS]!r}")
        self.member_lease.on_enrolment_rejected(now, call.number)

    def _count_failure(self, message: str) -> None:
        """Count a failure; the first of a series is logged."""
        self.failures += 1
        if not self._failing:
            log.warning("lease: %s", message)
        self._failing = True


def _numbered(call: RegistryCall) -> dict[str, object]:
    """The call's body, with the number that the answer to an enrolment or a renewal repeats."""
    return call.body if call.path not in (ENROLMENT, RENEWAL) else {**call.body, "call": call.number}
