"""Members and the list service in one process on an injected clock: the real lease client and core of a node,
the real API, leader and catalog of an instance, and between them a network that loses, delays and swaps
messages. The log is committed at once.

Each member and the list service has a clock of its own over the true one, which is the event loop's. A clock
may be set, as when a virtual machine is suspended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from pathlib import Path
from random import Random
from typing import Any

import orjson
import structlog

from loadbalancer.membership import MemberLease
from loadbalancer.membership.messages import LeaseResponse
from loadbalancer.node.clock import Clock
from loadbalancer.node.control.clock import MembershipClock
from loadbalancer.node.control.lease_client import LeaseClient
from loadbalancer.node.control.registry_client import RegistryClient
from loadbalancer.node.control.service_time import ServiceTimeEstimate
from loadbalancer.node.http.service_http import HttpRequest, ReceivedResponse
from loadbalancer.registry.clock_file import ClockFile, ProcessClocks
from loadbalancer.registry.fleet_api import FleetApi
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.fleet_leader import FleetLeader
from loadbalancer.registry.service_clock import ServiceClock
from loadbalancer.registry.settings import MemberSettings
from loadbalancer.staleness import ClockOffsets
from tests.support import clocks
from tests.support.fake_raft import FakeRaft, commit

TTL_MS = 400.0
DELAY_MS = 2.0  # of a message, one way
SAMPLE_MS = 5.0
MOST = 1.0 + 1e-9
MS_PER_S = 1_000.0
START_MS = 50 * TTL_MS  # of the instances' monotonic clock: it may be set back without going below 0

Deliver = Callable[[], Awaitable[ReceivedResponse]]


def run(main: Coroutine[Any, Any, None]) -> None:
    """As asyncio.run, on a clock that starts at 0 and on which waiting takes no time, without sockets."""
    clocks.run(main, quiet_s=0.0)


async def pause(ms: float) -> None:
    await asyncio.sleep(ms / MS_PER_S)


class InstanceClocks(ProcessClocks):
    """The clocks of the instances, which a test may set by `offset_ms`."""

    def monotonic_ms(self) -> float:
        return asyncio.get_running_loop().time() * MS_PER_S + START_MS + self.offset_ms

    def unix_ms(self) -> float:
        return self.monotonic_ms() + 1e12


class MemberClock(MembershipClock):
    """A member's clock, which a test may set by `offset_ms`."""

    def __init__(self, offset_ms: float) -> None:
        super().__init__(Clock(asyncio.get_running_loop()), offset_ms)

    def set_by(self, ms: float) -> None:
        self._offset_ms += ms


class ListService:
    """The instance that leads. `calls` has the true times of all calls that reached it."""

    def __init__(self, folder: Path) -> None:
        self.clocks, self._raft, self._folder = InstanceClocks(0.0), FakeRaft(), folder
        self.catalog = FleetCatalog(ServiceClock(), self.clocks.monotonic_ms, lambda groups: None)
        self.catalog._syncObj = self._raft
        self.calls: list[float] = []
        self.rejections = 0  # answers 409
        self.answered_at_ms: dict[float | None, float] = {}  # true times, by the service time of the answer
        self._tasks: asyncio.Task[None] | None = None
        self.lead(ServiceClock())

    def lead(self, service_clock: ServiceClock) -> None:
        """An instance that knows this of service time begins to lead, in place of the one before."""
        self.end()
        self._raft.raftCurrentTerm += 1
        self.catalog.leader_term = self._raft.raftCurrentTerm
        self.service_clock = service_clock
        settings = MemberSettings(ttl_ms=int(TTL_MS), clock_bound_ms=20)
        log = structlog.stdlib.get_logger()
        file = ClockFile(self._folder, self.clocks)
        self._leader = leader = FleetLeader(
            settings, "here:1", self.catalog, service_clock, file, commit, log
        )
        leader.request_leadership()
        self._api = FleetApi(self.catalog, leader, self._next_change, 1_000, log)
        self._tasks = asyncio.create_task(leader.run())

    def leads(self) -> bool:
        return self._leader.is_leading

    def most_calls_within(self, window_ms: float, since: float) -> int:
        """The most calls that came within any such window from this true time on."""
        times = [at for at in self.calls if at >= since]
        return max((sum(at <= later < at + window_ms for later in times) for at in times), default=0)

    def service_ms(self) -> float:
        return self.service_clock.service_ms(self.clocks.monotonic_ms())

    def end(self) -> None:
        if self._tasks is not None:
            self._tasks.cancel()

    async def post(self, path: str, body: Mapping[str, object]) -> ReceivedResponse:
        self.calls.append(asyncio.get_running_loop().time() * MS_PER_S)
        request = HttpRequest("POST", f"/fleet/{path}", {}, {}, orjson.dumps(body))
        answer = await self._api.handle(request)
        stamp = orjson.loads(answer.body).get("t3")
        self.answered_at_ms[stamp] = asyncio.get_running_loop().time() * MS_PER_S
        self.rejections += answer.status == 409
        return ReceivedResponse(answer.status, answer.headers, answer.body)

    def _next_change(self, group: str) -> asyncio.Future[None]:
        return asyncio.get_running_loop().create_future()


class Network(RegistryClient):
    """What a member's calls go through. `fault(path, body, deliver)` stands in a call's place."""

    def __init__(self, service: ListService) -> None:
        super().__init__(lambda: ("", 0))
        self._service = service
        self.delay_ms = DELAY_MS
        self.gives_up = True  # a process that is stopped in a call may find an answer that came long ago
        self.fault: Callable[[str, Mapping[str, object], Deliver], Awaitable[ReceivedResponse]] | None = None

    async def post(self, path: str, body: Mapping[str, object], timeout_ms: float) -> ReceivedResponse:
        async def deliver() -> ReceivedResponse:
            return await self._deliver(path, body)

        async with asyncio.timeout(timeout_ms / MS_PER_S if self.gives_up else None):
            return await (deliver() if self.fault is None else self.fault(path, body, deliver))

    async def _deliver(self, path: str, body: Mapping[str, object]) -> ReceivedResponse:
        await pause(self.delay_ms)
        answer = await self._service.post(path, body)
        await pause(self.delay_ms)
        return answer


class LeasedMember:
    """A member without callers, servers or probes."""

    def __init__(self, number: int, service: ListService, seed: int, clock_offset_ms: float) -> None:
        self._service = service
        self.network, self.clock = Network(service), MemberClock(clock_offset_ms)
        self.offsets = ClockOffsets()
        name = f"m{number}"
        self.core = MemberLease(name, f"127.0.0.1:{10_000 + number}", "z", f"{name}-{seed}", Random(seed))
        service_time = ServiceTimeEstimate(self.offsets)
        self.client = LeaseClient(self.core, self.network, self.clock, service_time)
        self.client.on_lease_response = self._on_answer
        self.answered_at_ms = 0.0  # the true time at which the last answer that was used was given
        self.client._tick()

    def quota(self) -> float:
        return self.core.quota_in_force(self.clock.now_ms())

    def _on_answer(self, now: float, answer: LeaseResponse) -> None:
        self.answered_at_ms = self._service.answered_at_ms[answer.responded_ms]


class LeaseWorld:
    """A list service and its members, whose quotas are summed up again and again."""

    def __init__(self, folder: Path, members: int, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.service = ListService(folder)
        self.members: list[LeasedMember] = []
        self.add(members)
        self.highest_sum = 0.0
        self._sampling = asyncio.create_task(self._sample())

    def add(self, members: int) -> None:
        """Start so many more."""
        for number in range(len(self.members), len(self.members) + members):
            seed, clock_offset_ms = self.rng.getrandbits(30), self.rng.uniform(0.0, 5_000.0)
            self.members.append(LeasedMember(number, self.service, seed, clock_offset_ms))

    def now_ms(self) -> float:
        return asyncio.get_running_loop().time() * MS_PER_S

    async def until_settled(self) -> None:
        """Until every member has its part, and some renewals more have been answered."""
        start = self.now_ms()
        while not all(abs(member.quota() * len(self.members) - 1.0) < 1e-6 for member in self.members):
            assert self.now_ms() - start < 40 * TTL_MS, [member.quota() for member in self.members]
            await pause(SAMPLE_MS)
        await pause(2 * TTL_MS)

    async def until_no_call_is_in_flight(self) -> None:
        while any(member.core._in_flight is not None for member in self.members):
            await pause(1.0)

    async def times_to_lease_ms(self, members: Sequence[LeasedMember], limit_ms: float) -> list[float]:
        """Of each, the time from now until an answer given from now on has granted a quota; `limit_ms` where
        none has by then."""
        start = self.now_ms()
        waiting = dict.fromkeys(members, limit_ms)
        while self.now_ms() - start < limit_ms and limit_ms in waiting.values():
            for member, time_ms in waiting.items():
                if time_ms == limit_ms and member.answered_at_ms >= start and member.quota() > 0.0:
                    waiting[member] = self.now_ms() - start
            await pause(1.0)
        return list(waiting.values())

    def close(self) -> None:
        """End all tasks; no sample may have broken the rule on quotas."""
        self._sampling.cancel()
        self.service.end()
        for member in self.members:
            member.client.close()
        assert self.highest_sum <= MOST

    async def _sample(self) -> None:
        while True:
            self.highest_sum = max(self.highest_sum, sum(member.quota() for member in self.members))
            await pause(SAMPLE_MS)
