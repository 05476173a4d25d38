"""A member that can reach the list service regains its lease within a bounded time, however wrong its
estimate of service time was. Clocks are injected."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from pathlib import Path

import pytest

from loadbalancer.node.http.service_http import ReceivedResponse
from loadbalancer.registry.service_clock import ServiceClock
from tests.support.lease_world import TTL_MS, Deliver, LeaseWorld, pause, run
from tests.support.lease_world_faults import OlderAnswer, ReplayedAnswer, StoppedInCall, believe_wrongly

LIMIT_MS = 2.4 * TTL_MS  # two lease terms and a backoff
AGES = (0.2, 0.24, 0.26, 0.5, 1.0, 3.0, 10.0)  # in lease terms


@pytest.mark.parametrize("age", AGES)
def test_lease_recovers_after_older_response_replaces_newer(tmp_path: Path, age: float) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member = world.members[0]
        await OlderAnswer(member, age * TTL_MS).injected.wait()
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


@pytest.mark.parametrize("terms", [-3.0, -1.0, -0.5, -0.26, -0.24, 0.24, 0.26, 0.5, 0.9])
def test_leases_recover_after_leader_clock_jumps_within_term(tmp_path: Path, terms: float) -> None:
    """Suspending the leader's machine sets its clock back relative to the others without an election."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        world.service.clocks.offset_ms += terms * TTL_MS
        assert max(await world.times_to_lease_ms(world.members, 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


@pytest.mark.parametrize("terms", [0.24, 0.26, 0.5, 1.0, 3.0])
def test_lease_recovers_after_member_clock_jumps(tmp_path: Path, terms: float) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member = world.members[0]
        member.clock.set_by(terms * TTL_MS)
        member.client._tick()
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


def test_leases_recover_after_leader_resumes_service_time_from_log(tmp_path: Path) -> None:
    """After a restart of all instances' machines, service time resumes from the last timestamp in the log. It
    is then behind every member's estimate by the duration of the outage."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        before_ms = world.service.service_ms()
        world.service.lead(ServiceClock())
        while not world.service.leads():
            await pause(5.0)
        assert world.service.service_ms() < before_ms + 0.5 * TTL_MS  # more than a lease term has passed
        assert max(await world.times_to_lease_ms(world.members, 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


@pytest.mark.parametrize("terms", [0.3, 1.2, 5.0])
def test_lease_recovers_after_process_is_paused_during_call(tmp_path: Path, terms: float) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member = world.members[0]
        await StoppedInCall(member, terms * TTL_MS).going_on.wait()
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


@pytest.mark.parametrize("terms", [-10.0, -1.0, -0.26, -0.24, 0.24, 0.26, 1.0, 10.0])
def test_rejected_renewal_discards_narrow_wrong_time_estimate(tmp_path: Path, terms: float) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        await world.until_no_call_is_in_flight()
        believe_wrongly(world.members[0], world, terms * TTL_MS)
        assert max(await world.times_to_lease_ms(world.members[:1], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


def test_hundred_wrong_estimates_do_not_overload_leader(tmp_path: Path) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=100)
        await world.until_settled()
        usual_calls = world.service.most_calls_within(TTL_MS, since=world.now_ms() - 2 * TTL_MS)
        await world.until_no_call_is_in_flight()
        start = world.now_ms()
        for member in world.members:
            believe_wrongly(member, world, -TTL_MS)
        assert max(await world.times_to_lease_ms(world.members, 12 * TTL_MS)) < LIMIT_MS
        await pause(2 * TTL_MS)
        assert world.service.rejections == 100  # one per member
        assert world.service.most_calls_within(TTL_MS, since=start) < 2 * usual_calls
        world.close()

    run(main())


def test_repeatedly_rejected_renewals_back_off(tmp_path: Path) -> None:
    """If the network is much slower towards the service than back, each new estimate is wrong again."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=20)
        await world.until_settled()
        start = world.now_ms()
        usual_calls = world.service.most_calls_within(TTL_MS, since=start - 2 * TTL_MS)

        async def reject(path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
            rejection = b'{"error":"sent 200 ms ago by service time"}'
            return await deliver() if path == "enrol" else ReceivedResponse(409, {}, rejection)

        for member in world.members:
            member.network.fault = reject
        await pause(10 * TTL_MS)
        assert world.service.most_calls_within(TTL_MS, since=start + 4 * TTL_MS) < 2 * usual_calls
        world.close()

    run(main())


@pytest.mark.parametrize("repeats_number", [True, False], ids=["numbered", "of an earlier release"])
@pytest.mark.parametrize("path", ["renew", "enrol"])
def test_response_to_earlier_call_grants_nothing(tmp_path: Path, path: str, repeats_number: bool) -> None:
    """The replayed response grants the complete quota, of which other members hold parts by now. Its times
    must not be used either."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=1)
        member = world.members[0]
        fault = ReplayedAnswer(member, path, repeats_number)
        await world.until_settled()
        world.add(2)
        await world.until_settled()
        fault.injects = True
        await fault.injected.wait()
        estimate = member.client.service_ms(member.clock.now_ms())
        assert estimate is not None
        assert estimate[0] <= world.service.service_ms() <= estimate[1]
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        assert member.quota() == pytest.approx(1 / 3)
        assert (member.client.mismatched_responses, world.service.rejections) == (1, 0)
        world.close()

    run(main())


def test_response_of_replaced_leader_grants_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=1)
        member = world.members[0]
        fault = ReplayedAnswer(member, "renew", repeats_number=False)
        await world.until_settled()
        world.add(2)
        await world.until_settled()
        world.service.lead(world.service.service_clock)
        await pause(2 * TTL_MS)
        fault.injects = True
        await fault.injected.wait()
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        assert member.client.mismatched_responses == 1
        world.close()

    run(main())


def test_response_to_timed_out_call_is_not_accepted_for_next_call(tmp_path: Path) -> None:
    """The next call never reaches the service, so a lease counted from it would outlast the service's."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member = world.members[0]
        late_responses: list[ReceivedResponse] = []

        async def delay(path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
            if late_responses:
                member.network.fault = None
                return late_responses[0]
            late_responses.append(await deliver())
            await pause(TTL_MS)
            return late_responses[0]

        await world.until_no_call_is_in_flight()  # the response to such a call would extend the lease
        member.network.fault = delay
        lease_end_ms = member.core.lease_end_ms
        while member.client.mismatched_responses == 0:
            assert member.core.lease_end_ms == lease_end_ms
            await pause(1.0)
        assert member.core.lease_end_ms == lease_end_ms
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


def test_response_to_another_members_renewal_grants_nothing(tmp_path: Path) -> None:
    """A batch of renewals may return its responses in the wrong order, and two members' calls may have the
    same number."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member, other = world.members[:2]
        swapped = asyncio.Event()

        async def swap(path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
            member.network.fault = None
            response = await world.service.post(path, {**body, "incarnation": other.core.incarnation})
            swapped.set()
            return response

        await world.until_no_call_is_in_flight()
        incarnation = member.core.incarnation
        member.network.fault = swap
        await swapped.wait()
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        assert member.core.incarnation == incarnation != other.core.incarnation
        assert member.client.mismatched_responses == 1
        world.close()

    run(main())
