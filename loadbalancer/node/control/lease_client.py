"""The node's lease: sends the calls that `MemberLease` requests and processes their responses."""

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
from loadbalancer.node.control.registry_client import RegistryClient, decode_lease_response
from loadbalancer.node.control.registry_watch import RegistryWatch, Revisions
from loadbalancer.node.control.service_time import ServiceTimeEstimate
from loadbalancer.node.control.timers import RestartableTimer
from loadbalancer.node.failure_log import one_line
from loadbalancer.node.http.service_client import ReceivedResponse
from loadbalancer.staleness.clock_offsets import Interval

log = logging.getLogger("loadbalancer")

# Paths of the calls under /fleet/.
ENROLMENT: Final = "enrol"
RENEWAL: Final = "renew"
DEPARTURE: Final = "leave"
LEAVE_TIMEOUT_S: Final = 0.5  # how long a stopping process waits for the response to its `leave`
MAX_LOGGED_CHARS: Final = 200  # of an error message or a response body


class LeaseClient:
    """Enrols this process at the list service and renews its lease.

    `on_lease_response(now, response)` is called with every response that was accepted, `on_lease_lost(now)`
    when the service no longer knows this process, `on_quota_change()` when the quota may have changed.
    """

    def __init__(
        self,
        member_lease: MemberLease,
        client: RegistryClient,
        clock: MembershipClock,
        service_time: ServiceTimeEstimate,
    ) -> None:
        """`service_time`: the estimate to update with the send and receive times of the calls."""
        self.member_lease = member_lease
        self.on_lease_response: Callable[[float, LeaseResponse], None] = lambda now, response: None
        self.on_lease_lost: Callable[[float], None] = lambda now: None
        self.on_quota_change: Callable[[], None] = lambda: None
        self.failures = 0
        self.mismatched_responses = 0  # responses that belong to another call than the one they arrived for
        self.rejected_renewals = 0  # rejected because of the send time stated in them
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
        """Cancel all calls and timers immediately."""
        self._timer.cancel()
        self._tasks.close()

    def service_ms(self, now: float) -> Interval | None:
        """Return the current service time in ms as an interval, or None if there is no sample."""
        return self._service_time.interval_ms(now)

    def set_revisions(self, members: int, routes: int) -> None:
        """Set the revisions of the last response; the watch waits for later ones."""
        self._watch.revisions = Revisions(members, routes)

    def begin_drain(self) -> None:
        """Announce that this node is draining; it keeps its quota until `leave`."""
        self.member_lease.begin_draining(self._clock.now_ms())
        self._tick()

    async def leave(self) -> None:
        """Release the quota and notify the service; call this after the last request has ended."""
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
                "lease: no response from the list service to this node's leave; the lease will expire"
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
        """Renew soon, as the response to a renewal contains the changed members or routes."""
        self.member_lease.on_watch_event(self._clock.now_ms())
        self._tick()

    async def _send(self, call: RegistryCall) -> None:
        sent_at = self._clock.now_ms()
        try:
            http_response = await self._client.post(call.path, _body_with_number(call), call.timeout_ms)
            self._process_response(sent_at, call, http_response)
        except (OSError, TimeoutError, ValueError) as error:
            self._on_failure(self._clock.now_ms(), call, f"{type(error).__name__}: {one_line(error)}")
        self._tick()

    def _process_response(self, sent_at: float, call: RegistryCall, http_response: ReceivedResponse) -> None:
        """Process a response by its status; raise ValueError for a malformed body."""
        now = self._clock.now_ms()
        if http_response.status == HTTPStatus.NOT_FOUND and call.path == RENEWAL:
            self._on_unknown(now, call)
        elif http_response.status == HTTPStatus.CONFLICT and call.path == ENROLMENT:
            self._on_enrolment_rejected(now, call, http_response.body)
        elif http_response.status == HTTPStatus.CONFLICT and call.path == RENEWAL:
            self._on_renewal_rejected(now, call, http_response.body)
        elif http_response.status != HTTPStatus.OK:
            self._on_failure(now, call, f"response with status {http_response.status}")
        elif call.path in (ENROLMENT, RENEWAL):
            self._process_lease_response(sent_at, now, call, decode_lease_response(http_response.body))
        else:
            self.member_lease.on_departure_acknowledged(now, call.number)
            if call.path == DEPARTURE:
                self._leave_acknowledged.set()

    def _process_lease_response(
        self, sent_at: float, now: float, call: RegistryCall, response: LeaseResponse
    ) -> None:
        if not self._belongs_to(call, response):
            self.mismatched_responses += 1
            self._on_failure(now, call, f"response to another call, {self.mismatched_responses} so far")
            return
        self._service_time.add_response(sent_at, now, response)
        incarnation = self.member_lease.incarnation
        if not self.member_lease.on_grant(now, call.number, response, response.ttl_ms):
            self.failures += 1
            return
        if incarnation not in (None, response.incarnation):  # enrolled again after its record was removed
            self.on_lease_lost(now)
        if self._failing:
            log.info("lease: the list service responds again, incarnation %d", response.incarnation)
        self._failing = False
        self.on_lease_response(now, response)
        self.on_quota_change()

    def _belongs_to(self, call: RegistryCall, response: LeaseResponse) -> bool:
        """Whether the response is to this call, and not to an earlier call or to another member's."""
        if call.path == RENEWAL and response.incarnation != call.body["incarnation"]:
            return False
        if response.call is UNSET:  # an instance of an earlier release does not echo the number
            return not self._service_time.is_older(response)
        return response.call == call.number

    def _on_unknown(self, now: float, call: RegistryCall) -> None:
        log.warning("lease: this process is unknown to the list service; it enrols again")
        self._service_time.discard()  # the service may have been rebuilt, with another clock and other terms
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
        """Discard the service time estimate, as the service finds the renewal late or from the future."""
        self.rejected_renewals += 1
        self._count_failure(
            f"renewal rejected, {self.rejected_renewals} so far, this process enrols again: stated send time "
            f"{call.body['sent']}, {self._service_time.describe(now)}: {body[:MAX_LOGGED_CHARS]!r}"
        )
        self._service_time.discard()
        self.member_lease.on_renewal_rejected(now, call.number)
        self.on_quota_change()

    def _on_enrolment_rejected(self, now: float, call: RegistryCall, body: bytes) -> None:
        self._count_failure(f"enrolment rejected, the group is full: {body[:MAX_LOGGED_CHARS]!r}")
        self.member_lease.on_enrolment_rejected(now, call.number)

    def _count_failure(self, message: str) -> None:
        """Count a failure; log it if it is the first since the last success."""
        self.failures += 1
        if not self._failing:
            log.warning("lease: %s", message)
        self._failing = True


def _body_with_number(call: RegistryCall) -> dict[str, object]:
    """Return the call's body, with the call number that the response to an enrolment or renewal echoes."""
    return call.body if call.path not in (ENROLMENT, RENEWAL) else {**call.body, "call": call.number}
