"""Hollow members: real `MemberLease`s with real clients of the list service, but no requests, servers or
probes; many in one process on one event loop.

All members are sampled at one moment, so the quota rule is checked exactly: at every sample, the quotas of a
service's members and of the members without a service sum to at most 1. Siblings' reports are passed within
the process, where a test can partition the members.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Sequence
from itertools import count
from random import Random
from typing import Any

from loadbalancer.membership import MemberLease, SiblingReport
from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.node.address import Address
from loadbalancer.node.clock import Clock
from loadbalancer.node.control.clock import MembershipClock
from loadbalancer.node.control.lease_client import LeaseClient
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.control.service_time import ServiceTimeEstimate
from loadbalancer.node.http.service_client import ReceivedResponse
from loadbalancer.staleness import ClockOffsets
from tests.support.faults import LoopThread
from tests.support.group_registry import LIMIT_S, MAX_QUOTA_SUM
from tests.support.registry_processes import Registry, until

SAMPLE_S = 0.02
SIBLING_REPORT_S = 0.1  # between exchanges of reports among siblings

Send = Callable[[str, dict[str, Any], float], Awaitable[ReceivedResponse]]


class RegistryLink(RegistryClient):
    """A member's link to the instances: each call goes to the next instance that it can reach.

    If set, `intercept(path, body, timeout_ms, send)` replaces each call, so that tests can inject faults.
    """

    def __init__(self, instances: Sequence[Address]) -> None:
        super().__init__(self._next)
        self.instances = list(instances)
        self.can_reach: Callable[[int], bool] = lambda index: True
        self.intercept: Callable[[str, dict[str, Any], float, Send], Awaitable[ReceivedResponse]] | None = (
            None
        )
        self.responses: Counter[tuple[str, int]] = Counter()  # by path and status
        self._next_index = count()

    def _next(self) -> Address:
        for _ in self.instances:
            index = next(self._next_index) % len(self.instances)
            if self.can_reach(index):
                return self.instances[index]
        raise ConnectionError("no instance can be reached")

    async def post(self, path: str, body: dict[str, Any], timeout_ms: float) -> ReceivedResponse:
        send = super().post
        response = await (
            send(path, body, timeout_ms)
            if self.intercept is None
            else self.intercept(path, body, timeout_ms, send)
        )
        self.responses[path, response.status] += 1
        return response


class HollowMember:
    """A simulated member; created on the loop of its `HollowMembers`."""

    def __init__(
        self, number: int, service: str, instances: Sequence[Address], clock: MembershipClock
    ) -> None:
        self.name, self.service, self.zone = f"h{number}", service, "z"
        self.address = f"127.0.0.1:{10_000 + number}"
        self.incarnations: list[int] = []  # in the order in which they were assigned
        self.lease_losses = 0  # how often the list service had no record of the member
        self.renewals = 0  # renewals whose response was accepted
        self.sibling_reports: dict[int, SiblingReport] = {}
        self.registry_link, self._clock = RegistryLink(instances), clock
        self._starts = count(1)
        self.lease: LeaseClient | None = None

    @property
    def core(self) -> MemberLease:
        assert self.lease is not None
        return self.lease.member_lease

    @property
    def enrolled(self) -> bool:
        """Whether the member runs and believes that it has a record."""
        return self.lease is not None and self.core.incarnation is not None

    def start(self, watches: bool = False) -> None:
        """Start a process at this address, which renews and, if `watches`, also watches for changes."""
        start = f"{self.name}-{next(self._starts)}"
        core = MemberLease(self.name, self.address, self.zone, start, Random(start), self.service)
        self.sibling_reports = {}
        self.lease = LeaseClient(core, self.registry_link, self._clock, ServiceTimeEstimate(ClockOffsets()))
        self.lease.on_lease_response, self.lease.on_lease_lost = self._on_response, self._on_lease_lost
        if watches:
            self.lease.start()
        else:
            self.lease._tick()

    def kill(self) -> None:
        """End at once without notice."""
        if self.lease is not None:
            self.lease.close()
            self.lease = None

    async def leave(self) -> None:
        """End gracefully, repeating the call until the list service has responded.

        So the next test finds no record of this member.
        """
        if self.lease is None:
            return
        incarnation, before = self.core.incarnation, self.registry_link.responses["leave", 200]
        await self.lease.leave()
        self.kill()
        while incarnation is not None and self.registry_link.responses["leave", 200] == before:
            with contextlib.suppress(OSError, TimeoutError):
                await self.registry_link.post("leave", {"incarnation": incarnation}, 1_000.0)
            await asyncio.sleep(SIBLING_REPORT_S)

    def quota_in_use(self, now: float) -> float:
        return 0.0 if self.lease is None else self.core.quota_in_force(now)

    def _on_response(self, now: float, response: LeaseResponse) -> None:
        assert self.lease is not None
        self.lease.set_revisions(response.revision, int(response.routes.get("rev", 0)))
        self.renewals += 1
        if response.incarnation not in self.incarnations[-1:]:
            self.incarnations.append(response.incarnation)

    def _on_lease_lost(self, now: float) -> None:
        self.lease_losses += 1


class HollowMembers:
    """All hollow members of a test on a separate event loop, sampled periodically."""

    def __init__(self, registry: Registry, sample_s: float = SAMPLE_S) -> None:
        self.registry, self._numbers, self._sample_s = registry, count(), sample_s
        self._instances = [("127.0.0.1", port) for port in registry.http]
        self._loops = LoopThread()
        self.clock: MembershipClock = self._loops.call(
            lambda: MembershipClock(Clock(asyncio.get_running_loop()))
        )
        self.all: list[HollowMember] = []
        self.are_partitioned: Callable[[HollowMember, HollowMember], bool] = lambda member, other: False
        self.samples = 0
        self.violations: list[str] = []
        self._tasks = [self._loops.call(lambda: asyncio.create_task(self._sample()))]
        self._tasks.append(self._loops.call(lambda: asyncio.create_task(self._exchange_reports())))

    def add(self, service: str, size: int) -> list[HollowMember]:
        """Add members of this service, without starting them."""
        new = [HollowMember(next(self._numbers), service, self._instances, self.clock) for _ in range(size)]
        self.all.extend(new)
        return new

    def start(self, members: Iterable[HollowMember], watches: bool = False) -> None:
        self.call(lambda: [member.start(watches) for member in members])

    def start_within(self, members: Sequence[HollowMember], seconds: float, rng: Random) -> None:
        """Start each member at a random time within these seconds."""

        def schedule() -> None:
            loop = asyncio.get_running_loop()
            for member in members:
                loop.call_later(rng.uniform(0.0, seconds), member.start)

        self.call(schedule)

    def call(self, action: Callable[[], Any]) -> Any:
        """Run an action on the loop, between its callbacks, and return its result."""
        return self._loops.call(action)

    def run(self, coroutine: Any) -> Any:
        return self._loops.run(coroutine)

    # ------------------------------------------------------------------ waits

    def until(self, condition: str, check: Callable[[float], bool], within_s: float = LIMIT_S) -> None:
        """Wait until check(now), called on the loop, is true."""
        until(lambda: self.holds(check), within_s, condition)

    def holds(self, check: Callable[[float], bool]) -> bool:
        return bool(self.call(lambda: check(self.clock.now_ms())))

    def until_equal_quotas(self, members: Sequence[HollowMember]) -> None:
        """Wait until the members have equal quotas, are electors and list exactly these members."""

        def settled(now: float) -> bool:
            return all(
                abs(member.quota_in_use(now) - 1.0 / len(members)) < 1e-6
                and member.core.elector
                and len(member.core.members) == len(members)
                for member in members
            )

        try:
            self.until(f"equal quotas of {len(members)} members of {members[0].service!r}", settled)
        except AssertionError as error:
            now = self.clock.now_ms()
            states = [
                (member.name, member.quota_in_use(now), member.core.elector, len(member.core.members))
                for member in members
            ]
            raise AssertionError(f"{error}: {states[:12]}") from error

    def until_sampled(self, samples: int) -> None:
        enough = self.samples + samples
        until(lambda: self.samples >= enough, LIMIT_S, "samples")

    # ------------------------------------------------------------------ periodic tasks

    async def _sample(self) -> None:
        while True:
            now = self.clock.now_ms()
            self._check_quotas(now)
            for member in self.all:
                if member.incarnations != sorted(set(member.incarnations)):
                    self.violations.append(f"{member.name}: incarnations {member.incarnations}")
            self.samples += 1
            await asyncio.sleep(self._sample_s)

    def _check_quotas(self, now: float) -> None:
        totals: dict[str, float] = {}
        for member in self.all:
            totals[member.service] = totals.get(member.service, 0.0) + member.quota_in_use(now)
        ungrouped = totals.pop("", 0.0)
        for service, total in (totals or {"": 0.0}).items():
            if total + ungrouped > MAX_QUOTA_SUM:
                self.violations.append(f"{service!r}: {total} and {ungrouped} of members without a service")

    async def _exchange_reports(self) -> None:
        """Give members that are not attached the reports of siblings that they can reach."""
        while True:
            now = self.clock.now_ms()
            groups: dict[str, list[HollowMember]] = {}
            for member in self.all:
                if member.enrolled:
                    groups.setdefault(member.service, []).append(member)
            for siblings in groups.values():
                for member in siblings:
                    if not member.core.is_attached(now):
                        self._receive_reports(member, siblings, now)
            await asyncio.sleep(SIBLING_REPORT_S)

    def _receive_reports(self, member: HollowMember, siblings: list[HollowMember], now: float) -> None:
        for other in siblings:
            if other is not member and not self.are_partitioned(member, other):
                assert other.core.incarnation is not None
                member.sibling_reports[other.core.incarnation] = SiblingReport(
                    other.core.quota_status(now), now
                )
        member.core.on_sibling_reports(now, member.sibling_reports)

    # ------------------------------------------------------------------ shutdown

    def leave(self, members: Sequence[HollowMember]) -> None:
        """Let these members leave, and stop sampling them."""

        async def all_leave() -> None:
            await asyncio.gather(*(member.leave() for member in members))

        self.run(all_leave())
        for member in members:
            self.all.remove(member)

    def check(self) -> None:
        """Assert that no sample violated a rule so far."""
        assert self.samples > 5
        assert not self.violations, self.violations[:3]

    def close(self) -> None:
        self.call(lambda: [member.kill() for member in self.all])
        self._loops.close()
