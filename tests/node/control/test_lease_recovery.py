"""A member that can reach the list service has a lease again within a bounded time, whatever it believed of
service time before, and however it came to believe it. Clocks are injected."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from pathlib import Path

import pytest

from loadbalancer.node.http.service_http import ReceivedResponse
from loadbalancer.registry.service_clock import ServiceClock
from tests.support.lease_world import TTL_MS, Deliver, LeaseWorld, pause, run
from tests.support.lease_world_faults import OlderAnswer, ReplayedAnswer, StoppedInCall, believe_wrongly

LIMIT_MS = 2.4 * TTL_MS  # two terms and a backoff
AGES = (0.2, 0.24, 0.26, 0.5, 1.0, 3.0, 10.0)  # in terms


@pytest.mark.parametrize("age", AGES)
def test_an_older_answer_in_place_of_a_newer_costs_no_lease(tmp_path: Path, age: float) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member = world.members[0]
        await OlderAnswer(member, age * TTL_MS).injected.wait()
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


@pytest.mark.parametrize("terms", [-3.0, -1.0, -0.5, -0.26, -0.24, 0.24, 0.26, 0.5, 0.9])
def test_a_clock_of_the_list_service_that_is_set_without_a_new_term_costs_no_lease(
    tmp_path: Path, terms: float
) -> None:
    """As where the leader's machine is suspended, which sets its clock back beside the others'."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        world.service.clocks.offset_ms += terms * TTL_MS
        assert max(await world.times_to_lease_ms(world.members, 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


@pytest.mark.parametrize("terms", [0.24, 0.26, 0.5, 1.0, 3.0])
def test_a_member_whose_clock_is_set_has_its_lease_again(tmp_path: Path, terms: float) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member = world.members[0]
        member.clock.set_by(terms * TTL_MS)
        member.client._tick()
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


def test_a_leader_that_continues_service_time_from_its_log_leaves_no_member_without_a_lease(
    tmp_path: Path,
) -> None:
    """After all instances' machines were restarted none knows service time: it goes on from the log's last
    stamp, behind what every member believes by the whole outage."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        before_ms = world.service.service_ms()
        world.service.lead(ServiceClock())
        while not world.service.leads():
            await pause(5.0)
        assert world.service.service_ms() < before_ms + 0.5 * TTL_MS  # a term and more has passed
        assert max(await world.times_to_lease_ms(world.members, 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


@pytest.mark.parametrize("terms", [0.3, 1.2, 5.0])
def test_a_process_that_is_stopped_in_the_middle_of_a_call_has_its_lease_again(
    tmp_path: Path, terms: float
) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member = world.members[0]
        await StoppedInCall(member, terms * TTL_MS).going_on.wait()
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


@pytest.mark.parametrize("terms", [-10.0, -1.0, -0.26, -0.24, 0.24, 0.26, 1.0, 10.0])
def test_a_tight_and_wrong_estimate_is_dropped_once_the_service_rejects_it(
    tmp_path: Path, terms: float
) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        await world.until_no_call_is_in_flight()
        believe_wrongly(world.members[0], world, terms * TTL_MS)
        assert max(await world.times_to_lease_ms(world.members[:1], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


def test_a_hundred_members_that_are_all_wrong_at_once_are_no_storm_for_the_leader(tmp_path: Path) -> None:
    async def main() -> None:
        world = LeaseWorld(tmp_path, members=100)
        await world.until_settled()
        usual = world.service.most_calls_within(TTL_MS, since=world.now_ms() - 2 * TTL_MS)
        await world.until_no_call_is_in_flight()
        start = world.now_ms()
        for member in world.members:
            believe_wrongly(member, world, -TTL_MS)
        assert max(await world.times_to_lease_ms(world.members, 12 * TTL_MS)) < LIMIT_MS
        await pause(2 * TTL_MS)
        assert world.service.rejections == 100  # one each
        assert world.service.most_calls_within(TTL_MS, since=start) < 2 * usual
        world.close()

    run(main())


def test_renewals_that_are_rejected_again_and_again_are_said_ever_more_seldom(tmp_path: Path) -> None:
    """As where the way to the service is much slower than the way back: the estimate is wrong each time."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=20)
        await world.until_settled()
        start = world.now_ms()
        usual = world.service.most_calls_within(TTL_MS, since=start - 2 * TTL_MS)

        async def rejected(path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
            answer = b'{"error":"sent 200 ms ago by service time"}'
            return await deliver() if path == "enrol" else ReceivedResponse(409, {}, answer)

        for member in world.members:
            member.network.fault = rejected
        await pause(10 * TTL_MS)
        assert world.service.most_calls_within(TTL_MS, since=start + 4 * TTL_MS) < 2 * usual
        world.close()

    run(main())


@pytest.mark.parametrize("repeats_number", [True, False], ids=["numbered", "of an earlier release"])
@pytest.mark.parametrize("path", ["renew", "enrol"])
def test_an_answer_to_an_earlier_call_grants_nothing(tmp_path: Path, path: str, repeats_number: bool) -> None:
    """It grants the whole, of which others have their parts by now; neither has its time any use."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=1)
        member = world.members[0]
        fault = ReplayedAnswer(member, path, repeats_number)
        await world.until_settled()
        world.add(2)
        await world.until_settled()
        fault.injects = True
        await fault.injected.wait()
        known = member.client.service_ms(member.clock.now_ms())
        assert known is not None
        assert known[0] <= world.service.service_ms() <= known[1]
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        assert member.quota() == pytest.approx(1 / 3)
        assert (member.client.mismatched_responses, world.service.rejections) == (1, 0)
        world.close()

    run(main())


def test_an_answer_of_a_leader_that_was_replaced_grants_nothing(tmp_path: Path) -> None:
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


def test_the_answer_to_a_call_that_was_given_up_is_not_taken_for_one_to_the_next(tmp_path: Path) -> None:
    """The next call never came: a lease that runs from it would outlast the service's."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member = world.members[0]
        kept: list[ReceivedResponse] = []

        async def late(path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
            if kept:
                member.network.fault = None
                return kept[0]
            kept.append(await deliver())
            await pause(TTL_MS)
            return kept[0]

        await world.until_no_call_is_in_flight()  # its answer would extend the lease
        member.network.fault = late
        lease_end_ms = member.core.lease_end_ms
        while member.client.mismatched_responses == 0:
            assert member.core.lease_end_ms == lease_end_ms
            await pause(1.0)
        assert member.core.lease_end_ms == lease_end_ms
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        world.close()

    run(main())


def test_an_answer_to_another_members_renewal_grants_nothing(tmp_path: Path) -> None:
    """As from a batch whose answers have changed places: the numbers of their calls may be the same."""

    async def main() -> None:
        world = LeaseWorld(tmp_path, members=3)
        await world.until_settled()
        member, other = world.members[:2]
        swapped = asyncio.Event()

        async def swap(path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
            member.network.fault = None
            answer = await world.service.post(path, {**body, "incarnation": other.core.incarnation})
            swapped.set()
            return answer

        await world.until_no_call_is_in_flight()
        incarnation = member.core.incarnation
        member.network.fault = swap
        await swapped.wait()
        assert max(await world.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        assert member.core.incarnation == incarnation != other.core.incarnation
        assert member.client.mismatched_responses == 1
        world.close()

    run(main())
