"""Hollow members: the real enrolment core and the real client of the list service, without callers, servers
or probes, many in one process on one event loop.

All of them are read at one moment, so the share rule is checked exactly: the shares of a service's members
and of those that name none sum to at most 1 at every sample. What siblings say of themselves passes in the
process, where a test can part them.
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
from loadbalancer.node.http.service_http import ReceivedResponse
from loadbalancer.staleness import ClockOffsets
from tests.support.faults import LoopThread
from tests.support.group_registry import LIMIT_S, MOST
from tests.support.registry_processes import Registry, until

SAMPLE_S = 0.02
WORDS_S = 0.1  # how often siblings hear of each other

Post = Callable[[str, dict[str, Any], float], Awaitable[ReceivedResponse]]


class Line(RegistryClient):
    """What stands between a member and the instances: each call goes to the next of those that it reaches.

    `on_post(path, body, timeout_ms, through)` stands in a call's place where a test injects faults.
    """

    def __init__(self, instances: Sequence[Address]) -> None:
        super().__init__(self._next)
        self.instances = list(instances)
        self.reached: Callable[[int], bool] = lambda index: True
        self.on_post: Callable[[str, dict[str, Any], float, Post], Awaitable[ReceivedResponse]] | None = None
        self.answers: Counter[tuple[str, int]] = Counter()  # by path and status
        self._turn = count()

    def _next(self) -> Address:
        for _ in self.instances:
            index = next(self._turn) % len(self.instances)
            if self.reached(index):
                return self.instances[index]
        raise ConnectionError("cut off from every instance")

    async def post(self, path: str, body: dict[str, Any], timeout_ms: float) -> ReceivedResponse:
        through = super().post
        reply = await (
            through(path, body, timeout_ms)
            if self.on_post is None
            else self.on_post(path, body, timeout_ms, through)
        )
        self.answers[path, reply.status] += 1
        return reply


class Hollow:
    """A member; made on the loop of its `Hollows`."""

    def __init__(
        self, number: int, service: str, instances: Sequence[Address], clock: MembershipClock
    ) -> None:
        self.name, self.service, self.zone = f"h{number}", service, "z"
        self.address = f"127.0.0.1:{10_000 + number}"
        self.incarnations: list[int] = []  # in the order that they were given
        self.gone = 0  # how often the service had no row of it
        self.renewals = 0  # answered and used
        self.words: dict[int, SiblingReport] = {}
        self.line, self._clock = Line(instances), clock
        self._starts = count(1)
        self.lease: LeaseClient | None = None

    @property
    def core(self) -> MemberLease:
        assert self.lease is not None
        return self.lease.member_lease

    @property
    def enrolled(self) -> bool:
        """Whether it runs and has a row, as far as it knows."""
        return self.lease is not None and self.core.incarnation is not None

    def start(self, watches: bool = False) -> None:
        """Begin a process at this address; `watches`: with a watch for changes, else with renewals alone."""
        start = f"{self.name}-{next(self._starts)}"
        core = MemberLease(self.name, self.address, self.zone, start, Random(start), self.service)
        self.words = {}
        self.lease = LeaseClient(core, self.line, self._clock, ServiceTimeEstimate(ClockOffsets()))
        self.lease.on_answer, self.lease.on_lease_lost = self._on_answer, self._on_gone
        if watches:
            self.lease.start()
        else:
            self.lease._tick()

    def kill(self) -> None:
        """It ends at once and says nothing."""
        if self.lease is not None:
            self.lease.close()
            self.lease = None

    async def leave(self) -> None:
        """End as a process does, but say so until the list service has heard it: a test that follows finds no
        row of it."""
        if self.lease is None:
            return
        incarnation, heard = self.core.incarnation, self.line.answers["leave", 200]
        await self.lease.leave()
        self.kill()
        while incarnation is not None and self.line.answers["leave", 200] == heard:
            with contextlib.suppress(OSError, TimeoutError):
                await self.line.post("leave", {"incarnation": incarnation}, 1_000.0)
            await asyncio.sleep(WORDS_S)

    def taking(self, now: float) -> float:
        return 0.0 if self.lease is None else self.core.quota_in_force(now)

    def _on_answer(self, now: float, answer: LeaseResponse) -> None:
        assert self.lease is not None
        self.lease.set_revisions(answer.revision, int(answer.routes.get("rev", 0)))
        self.renewals += 1
        if answer.incarnation not in self.incarnations[-1:]:
            self.incarnations.append(answer.incarnation)

    def _on_gone(self, now: float) -> None:
        self.gone += 1


class Hollows:
    """All hollow members of a test, on a loop of their own, read over and over."""

    def __init__(self, registry: Registry, sample_s: float = SAMPLE_S) -> None:
        self.registry, self._numbers, self._sample_s = registry, count(), sample_s
        self._instances = [("127.0.0.1", port) for port in registry.http]
        self._loops = LoopThread()
        self.clock: MembershipClock = self._loops.call(
            lambda: MembershipClock(Clock(asyncio.get_running_loop()))
        )
        self.all: list[Hollow] = []
        self.parted: Callable[[Hollow, Hollow], bool] = lambda one, other: False
        self.samples = 0
        self.broken: list[str] = []
        self._tasks = [self._loops.call(lambda: asyncio.create_task(self._sample()))]
        self._tasks.append(self._loops.call(lambda: asyncio.create_task(self._speak())))

    def add(self, service: str, many: int) -> list[Hollow]:
        """So many more members of this service, not started."""
        new = [Hollow(next(self._numbers), service, self._instances, self.clock) for _ in range(many)]
        self.all.extend(new)
        return new

    def start(self, members: Iterable[Hollow], watches: bool = False) -> None:
        self.call(lambda: [member.start(watches) for member in members])

    def start_within(self, members: Sequence[Hollow], seconds: float, rng: Random) -> None:
        """Start these, each at a moment drawn from so many seconds."""

        def plan() -> None:
            loop = asyncio.get_running_loop()
            for member in members:
                loop.call_later(rng.uniform(0.0, seconds), member.start)

        self.call(plan)

    def call(self, work: Callable[[], Any]) -> Any:
        """Done on the loop, between its callbacks."""
        return self._loops.call(work)

    def run(self, work: Any) -> Any:
        return self._loops.run(work)

    # ------------------------------------------------------------------ what is waited for

    def until(self, what: str, check: Callable[[float], bool], within_s: float = LIMIT_S) -> None:
        """Until check(now) holds, asked on the loop."""
        until(lambda: self.holds(check), within_s, what)

    def holds(self, check: Callable[[float], bool]) -> bool:
        return bool(self.call(lambda: check(self.clock.now_ms())))

    def until_shared(self, members: Sequence[Hollow]) -> None:
        """Until each takes its part of the whole among these, is an elector and knows just these."""

        def shared(now: float) -> bool:
            return all(
                abs(member.taking(now) - 1.0 / len(members)) < 1e-6
                and member.core.elector
                and len(member.core.members) == len(members)
                for member in members
            )

        try:
            self.until(f"{len(members)} of {members[0].service!r} sharing", shared)
        except AssertionError as error:
            now = self.clock.now_ms()
            seen = [(one.name, one.taking(now), one.core.elector, len(one.core.members)) for one in members]
            raise AssertionError(f"{error}: {seen[:12]}") from error

    def until_sampled(self, times: int) -> None:
        aim = self.samples + times
        until(lambda: self.samples >= aim, LIMIT_S, "samples")

    # ------------------------------------------------------------------ its duties

    async def _sample(self) -> None:
        while True:
            now = self.clock.now_ms()
            self._check_shares(now)
            for member in self.all:
                if member.incarnations != sorted(set(member.incarnations)):
                    self.broken.append(f"{member.name}: incarnations {member.incarnations}")
            self.samples += 1
            await asyncio.sleep(self._sample_s)

    def _check_shares(self, now: float) -> None:
        totals: dict[str, float] = {}
        for member in self.all:
            totals[member.service] = totals.get(member.service, 0.0) + member.taking(now)
        everywhere = totals.pop("", 0.0)
        for service, total in (totals or {"": 0.0}).items():
            if total + everywhere > MOST:
                self.broken.append(f"{service!r}: {total} and {everywhere} of members that name none")

    async def _speak(self) -> None:
        """Members that are not attached hear what siblings in reach say of themselves."""
        while True:
            now = self.clock.now_ms()
            groups: dict[str, list[Hollow]] = {}
            for member in self.all:
                if member.enrolled:
                    groups.setdefault(member.service, []).append(member)
            for siblings in groups.values():
                for member in siblings:
                    if not member.core.is_attached(now):
                        self._hear(member, siblings, now)
            await asyncio.sleep(WORDS_S)

    def _hear(self, member: Hollow, siblings: list[Hollow], now: float) -> None:
        for other in siblings:
            if other is not member and not self.parted(member, other):
                assert other.core.incarnation is not None
                member.words[other.core.incarnation] = SiblingReport(other.core.quota_status(now), now)
        member.core.on_sibling_reports(now, member.words)

    # ------------------------------------------------------------------ the end

    def leave(self, members: Sequence[Hollow]) -> None:
        """These leave, and are no longer read."""

        async def all_leave() -> None:
            await asyncio.gather(*(member.leave() for member in members))

        self.run(all_leave())
        for member in members:
            self.all.remove(member)

    def check(self) -> None:
        """No sample broke a rule so far."""
        assert self.samples > 5
        assert not self.broken, self.broken[:3]

    def close(self) -> None:
        self.call(lambda: [member.kill() for member in self.all])
        self._loops.close()
