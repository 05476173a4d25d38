"""A member that can reach the list service regains its lease within a bounded time, however wrong its
estimate of service time was. All clocks are simulated."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from pathlib import Path

import pytest

from loadbalancer.node.http.service_client import ReceivedResponse
from loadbalancer.registry.service_clock import ServiceClock
from tests.support.lease_faults import OlderResponse, PausedDuringCall, ReplayedResponse, set_wrong_estimate
from tests.support.lease_simulation import TTL_MS, Deliver, LeaseSimulation, run, sleep_ms

LIMIT_MS = 2.4 * TTL_MS  # two lease terms and a backoff
RESPONSE_AGES = (0.2, 0.24, 0.26, 0.5, 1.0, 3.0, 10.0)  # in lease terms


@pytest.mark.parametrize("age", RESPONSE_AGES)
def test_lease_recovers_after_older_response_replaces_newer(tmp_path: Path, age: float) -> None:
    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=3)
        await simulation.wait_until_settled()
        member = simulation.members[0]
        await OlderResponse(member, age * TTL_MS).injected.wait()
        assert max(await simulation.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        simulation.close()

    run(main())


@pytest.mark.parametrize("terms", [-3.0, -1.0, -0.5, -0.26, -0.24, 0.24, 0.26, 0.5, 0.9])
def test_leases_recover_after_leader_clock_jumps_within_term(tmp_path: Path, terms: float) -> None:
    """Suspending the leader's machine sets its clock back relative to the others without an election."""

    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=3)
        await simulation.wait_until_settled()
        simulation.service.clocks.offset_ms += terms * TTL_MS
        assert max(await simulation.times_to_lease_ms(simulation.members, 12 * TTL_MS)) < LIMIT_MS
        simulation.close()

    run(main())


@pytest.mark.parametrize("terms", [0.24, 0.26, 0.5, 1.0, 3.0])
def test_lease_recovers_after_member_clock_jumps(tmp_path: Path, terms: float) -> None:
    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=3)
        await simulation.wait_until_settled()
        member = simulation.members[0]
        member.clock.step(terms * TTL_MS)
        member.client._tick()
        assert max(await simulation.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        simulation.close()

    run(main())


def test_leases_recover_after_leader_resumes_service_time_from_log(tmp_path: Path) -> None:
    """After a restart of all instances' machines, service time resumes from the last timestamp in the log. It
    is then behind every member's estimate by the duration of the outage."""

    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=3)
        await simulation.wait_until_settled()
        before_ms = simulation.service.service_ms()
        simulation.service.start_leader(ServiceClock())
        while not simulation.service.is_leading():
            await sleep_ms(5.0)
        assert simulation.service.service_ms() < before_ms + 0.5 * TTL_MS  # more than a lease term has passed
        assert max(await simulation.times_to_lease_ms(simulation.members, 12 * TTL_MS)) < LIMIT_MS
        simulation.close()

    run(main())


@pytest.mark.parametrize("terms", [0.3, 1.2, 5.0])
def test_lease_recovers_after_process_is_paused_during_call(tmp_path: Path, terms: float) -> None:
    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=3)
        await simulation.wait_until_settled()
        member = simulation.members[0]
        await PausedDuringCall(member, terms * TTL_MS).resumed.wait()
        assert max(await simulation.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        simulation.close()

    run(main())


@pytest.mark.parametrize("terms", [-10.0, -1.0, -0.26, -0.24, 0.24, 0.26, 1.0, 10.0])
def test_rejected_renewal_discards_narrow_wrong_time_estimate(tmp_path: Path, terms: float) -> None:
    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=3)
        await simulation.wait_until_settled()
        await simulation.wait_until_no_call_in_flight()
        set_wrong_estimate(simulation.members[0], simulation, terms * TTL_MS)
        assert max(await simulation.times_to_lease_ms(simulation.members[:1], 12 * TTL_MS)) < LIMIT_MS
        simulation.close()

    run(main())


def test_hundred_wrong_estimates_do_not_overload_leader(tmp_path: Path) -> None:
    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=100)
        await simulation.wait_until_settled()
        usual_calls = simulation.service.max_calls_within(TTL_MS, since_ms=simulation.now_ms() - 2 * TTL_MS)
        await simulation.wait_until_no_call_in_flight()
        start = simulation.now_ms()
        for member in simulation.members:
            set_wrong_estimate(member, simulation, -TTL_MS)
        assert max(await simulation.times_to_lease_ms(simulation.members, 12 * TTL_MS)) < LIMIT_MS
        await sleep_ms(2 * TTL_MS)
        assert simulation.service.rejections == 100  # one per member
        assert simulation.service.max_calls_within(TTL_MS, since_ms=start) < 2 * usual_calls
        simulation.close()

    run(main())


def test_repeatedly_rejected_renewals_back_off(tmp_path: Path) -> None:
    """If the network is much slower towards the service than back, each new estimate is wrong again."""

    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=20)
        await simulation.wait_until_settled()
        start = simulation.now_ms()
        usual_calls = simulation.service.max_calls_within(TTL_MS, since_ms=start - 2 * TTL_MS)

        async def reject(path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
            rejection = b'{"error":"sent 200 ms ago by service time"}'
            return await deliver() if path == "enrol" else ReceivedResponse(409, {}, rejection)

        for member in simulation.members:
            member.network.fault = reject
        await sleep_ms(10 * TTL_MS)
        assert simulation.service.max_calls_within(TTL_MS, since_ms=start + 4 * TTL_MS) < 2 * usual_calls
        simulation.close()

    run(main())


@pytest.mark.parametrize("states_call_number", [True, False], ids=["with call number", "without call number"])
@pytest.mark.parametrize("path", ["renew", "enrol"])
def test_response_to_earlier_call_grants_nothing(tmp_path: Path, path: str, states_call_number: bool) -> None:
    """A replayed response grants the complete quota, although other members have parts of it by now.

    Its times must not be used for the estimate of service time either. Responses of earlier releases state no
    call number.
    """

    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=1)
        member = simulation.members[0]
        fault = ReplayedResponse(member, path, states_call_number)
        await simulation.wait_until_settled()
        simulation.add_members(2)
        await simulation.wait_until_settled()
        fault.enabled = True
        await fault.injected.wait()
        estimate = member.client.service_ms(member.clock.now_ms())
        assert estimate is not None
        assert estimate[0] <= simulation.service.service_ms() <= estimate[1]
        assert max(await simulation.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        assert member.quota() == pytest.approx(1 / 3)
        assert (member.client.mismatched_responses, simulation.service.rejections) == (1, 0)
        simulation.close()

    run(main())


def test_response_of_replaced_leader_grants_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=1)
        member = simulation.members[0]
        fault = ReplayedResponse(member, "renew", states_call_number=False)
        await simulation.wait_until_settled()
        simulation.add_members(2)
        await simulation.wait_until_settled()
        simulation.service.start_leader(simulation.service.service_clock)
        await sleep_ms(2 * TTL_MS)
        fault.enabled = True
        await fault.injected.wait()
        assert max(await simulation.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        assert member.client.mismatched_responses == 1
        simulation.close()

    run(main())


def test_response_to_timed_out_call_is_not_accepted_for_next_call(tmp_path: Path) -> None:
    """The next call never reaches the service, so a lease counted from it would outlast the service's."""

    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=3)
        await simulation.wait_until_settled()
        member = simulation.members[0]
        late_responses: list[ReceivedResponse] = []

        async def delay(path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
            if late_responses:
                member.network.fault = None
                return late_responses[0]
            late_responses.append(await deliver())
            await sleep_ms(TTL_MS)
            return late_responses[0]

        # The response to a call in flight would extend the lease.
        await simulation.wait_until_no_call_in_flight()
        member.network.fault = delay
        lease_end_ms = member.core.lease_end_ms
        while member.client.mismatched_responses == 0:
            assert member.core.lease_end_ms == lease_end_ms
            await sleep_ms(1.0)
        assert member.core.lease_end_ms == lease_end_ms
        assert max(await simulation.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        simulation.close()

    run(main())


def test_response_to_another_members_renewal_grants_nothing(tmp_path: Path) -> None:
    """A batch of renewals may return its responses in the wrong order, and two members' calls may have the
    same number."""

    async def main() -> None:
        simulation = LeaseSimulation(tmp_path, members=3)
        await simulation.wait_until_settled()
        member, other = simulation.members[:2]
        swapped = asyncio.Event()

        async def swap(path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
            member.network.fault = None
            response = await simulation.service.post(path, {**body, "incarnation": other.core.incarnation})
            swapped.set()
            return response

        await simulation.wait_until_no_call_in_flight()
        incarnation = member.core.incarnation
        member.network.fault = swap
        await swapped.wait()
        assert max(await simulation.times_to_lease_ms([member], 12 * TTL_MS)) < LIMIT_MS
        assert member.core.incarnation == incarnation != other.core.incarnation
        assert member.client.mismatched_responses == 1
        simulation.close()

    run(main())
