"""Simulation of members and the list service in one process, on simulated time.

Members run the product's `LeaseClient` and `MemberLease`, the list service its `FleetApi`, `FleetLeader` and
`FleetCatalog`. Their calls pass a simulated network, in which a test can delay, drop or replace messages. The
log commits at once.

Each member and the list service has its own clock, at an offset from the reference clock (the event loop's).
A test can step these clocks, as happens when a virtual machine is suspended.
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
from loadbalancer.node.http.service_client import ReceivedResponse
from loadbalancer.node.http.service_server import HttpRequest
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
MESSAGE_DELAY_MS = 2.0  # one way
SAMPLE_PERIOD_MS = 5.0
MAX_QUOTA_SUM = 1.0 + 1e-9
MS_PER_S = 1_000.0
START_MS = (
    50 * TTL_MS
)  # initial value of the instances' monotonic clock, so that it stays above 0 if set back

Deliver = Callable[[], Awaitable[ReceivedResponse]]


def run(main: Coroutine[Any, Any, None]) -> None:
    """As `asyncio.run`, without sockets and on a simulated clock that starts at 0 and skips all waiting."""
    clocks.run(main, quiet_s=0.0)


async def sleep_ms(ms: float) -> None:
    await asyncio.sleep(ms / MS_PER_S)


class InstanceClocks(ProcessClocks):
    """The instances' clocks; a test steps them by changing `offset_ms`."""

    def monotonic_ms(self) -> float:
        return asyncio.get_running_loop().time() * MS_PER_S + START_MS + self.offset_ms

    def unix_ms(self) -> float:
        return self.monotonic_ms() + 1e12


class MemberClock(MembershipClock):
    """A member's clock; a test steps it by `step`."""

    def __init__(self, offset_ms: float) -> None:
        super().__init__(Clock(asyncio.get_running_loop()), offset_ms)

    def step(self, ms: float) -> None:
        self._offset_ms += ms


class ListService:
    """The leader of the list service. Times are ms of the reference clock unless stated otherwise."""

    def __init__(self, folder: Path) -> None:
        self.clocks, self._raft, self._folder = InstanceClocks(0.0), FakeRaft(), folder
        self.catalog = FleetCatalog(ServiceClock(), self.clocks.monotonic_ms, lambda groups: None)
        self.catalog._syncObj = self._raft
        self.call_times_ms: list[float] = []  # when each call was received
        self.rejections = 0  # responses with status 409
        self.responded_at_ms: dict[float | None, float] = {}  # by the service time that the response states
        self._leader_task: asyncio.Task[None] | None = None
        self.start_leader(ServiceClock())

    def start_leader(self, service_clock: ServiceClock) -> None:
        """Replace the leader by another instance, whose knowledge of service time is `service_clock`."""
        self.stop()
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
        self._leader_task = asyncio.create_task(leader.run())

    def is_leading(self) -> bool:
        return self._leader.is_leading

    def max_calls_within(self, window_ms: float, since_ms: float) -> int:
        """Return the maximum number of calls received within any window of this length from `since_ms` on."""
        times = [time_ms for time_ms in self.call_times_ms if time_ms >= since_ms]
        return max(
            (sum(start_ms <= time_ms < start_ms + window_ms for time_ms in times) for start_ms in times),
            default=0,
        )

    def service_ms(self) -> float:
        """Return the current service time."""
        return self.service_clock.service_ms(self.clocks.monotonic_ms())

    def stop(self) -> None:
        if self._leader_task is not None:
            self._leader_task.cancel()

    async def post(self, path: str, body: Mapping[str, object]) -> ReceivedResponse:
        self.call_times_ms.append(asyncio.get_running_loop().time() * MS_PER_S)
        request = HttpRequest("POST", f"/fleet/{path}", {}, {}, orjson.dumps(body))
        response = await self._api.handle(request)
        service_ms = orjson.loads(response.body).get("t3")
        self.responded_at_ms[service_ms] = asyncio.get_running_loop().time() * MS_PER_S
        self.rejections += response.status == 409
        return ReceivedResponse(response.status, response.headers, response.body)

    def _next_change(self, group: str) -> asyncio.Future[None]:
        return asyncio.get_running_loop().create_future()


class Network(RegistryClient):
    """A member's simulated connection to the list service.

    If set, `fault(path, body, deliver)` handles each call: it returns the member's response, and may call
    `deliver()` to pass the call to the service.
    """

    def __init__(self, service: ListService) -> None:
        super().__init__(lambda: ("", 0))
        self._service = service
        self.delay_ms = MESSAGE_DELAY_MS
        # False for a process that is paused during a call: it reads the response before its timer fires.
        self.enforces_timeout = True
        self.fault: Callable[[str, Mapping[str, object], Deliver], Awaitable[ReceivedResponse]] | None = None

    async def post(self, path: str, body: Mapping[str, object], timeout_ms: float) -> ReceivedResponse:
        async def deliver() -> ReceivedResponse:
            return await self._deliver(path, body)

        async with asyncio.timeout(timeout_ms / MS_PER_S if self.enforces_timeout else None):
            return await (deliver() if self.fault is None else self.fault(path, body, deliver))

    async def _deliver(self, path: str, body: Mapping[str, object]) -> ReceivedResponse:
        await sleep_ms(self.delay_ms)
        response = await self._service.post(path, body)
        await sleep_ms(self.delay_ms)
        return response


class LeasedMember:
    """A member without clients, servers or probes."""

    def __init__(self, number: int, service: ListService, seed: int, clock_offset_ms: float) -> None:
        self._service = service
        self.network, self.clock = Network(service), MemberClock(clock_offset_ms)
        self.offsets = ClockOffsets()
        name = f"m{number}"
        self.core = MemberLease(name, f"127.0.0.1:{10_000 + number}", "z", f"{name}-{seed}", Random(seed))
        service_time = ServiceTimeEstimate(self.offsets)
        self.client = LeaseClient(self.core, self.network, self.clock, service_time)
        self.client.on_lease_response = self._on_lease_response
        # Reference time at which the service sent the last response that this member used.
        self.last_response_sent_ms = 0.0
        self.client._tick()

    def quota(self) -> float:
        return self.core.quota_in_force(self.clock.now_ms())

    def _on_lease_response(self, now: float, response: LeaseResponse) -> None:
        self.last_response_sent_ms = self._service.responded_at_ms[response.responded_ms]


class LeaseSimulation:
    """A list service and its members; samples the sum of the members' quotas periodically."""

    def __init__(self, folder: Path, members: int, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.service = ListService(folder)
        self.members: list[LeasedMember] = []
        self.add_members(members)
        self.max_quota_sum = 0.0
        self._sampling = asyncio.create_task(self._sample())

    def add_members(self, members: int) -> None:
        """Start this number of additional members."""
        for number in range(len(self.members), len(self.members) + members):
            seed, clock_offset_ms = self.rng.getrandbits(30), self.rng.uniform(0.0, 5_000.0)
            self.members.append(LeasedMember(number, self.service, seed, clock_offset_ms))

    def now_ms(self) -> float:
        """Return the time of the reference clock."""
        return asyncio.get_running_loop().time() * MS_PER_S

    async def wait_until_settled(self) -> None:
        """Wait until all members have equal quotas that sum to 1, and then for two terms of renewals."""
        start = self.now_ms()
        while not all(abs(member.quota() * len(self.members) - 1.0) < 1e-6 for member in self.members):
            assert self.now_ms() - start < 40 * TTL_MS, [member.quota() for member in self.members]
            await sleep_ms(SAMPLE_PERIOD_MS)
        await sleep_ms(2 * TTL_MS)

    async def wait_until_no_call_in_flight(self) -> None:
        while any(member.core._in_flight is not None for member in self.members):
            await sleep_ms(1.0)

    async def times_to_lease_ms(self, members: Sequence[LeasedMember], limit_ms: float) -> list[float]:
        """Return for each member the ms from now until it has a quota from a response sent after now, or
        `limit_ms` if it has none by then."""
        start = self.now_ms()
        times = dict.fromkeys(members, limit_ms)
        while self.now_ms() - start < limit_ms and limit_ms in times.values():
            for member, time_ms in times.items():
                if time_ms == limit_ms and member.last_response_sent_ms >= start and member.quota() > 0.0:
                    times[member] = self.now_ms() - start
            await sleep_ms(1.0)
        return list(times.values())

    def close(self) -> None:
        """End all tasks and check that the sampled quotas never summed to more than 1."""
        self._sampling.cancel()
        self.service.stop()
        for member in self.members:
            member.client.close()
        assert self.max_quota_sum <= MAX_QUOTA_SUM

    async def _sample(self) -> None:
        while True:
            self.max_quota_sum = max(self.max_quota_sum, sum(member.quota() for member in self.members))
            await sleep_ms(SAMPLE_PERIOD_MS)
