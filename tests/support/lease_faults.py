"""Faults after which a member of a `LeaseSimulation` has a wrong estimate of service time."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import orjson

from loadbalancer.node.control.service_time import REGISTRY_PEER
from loadbalancer.node.http.service_client import ReceivedResponse
from loadbalancer.staleness.clock_offsets import MAX_SAMPLES
from tests.support.lease_simulation import Deliver, LeasedMember, LeaseSimulation, sleep_ms


class OlderResponse:
    """Replaces one response to a renewal by an earlier one to the same member, at least `age_ms` old."""

    def __init__(self, member: LeasedMember, age_ms: float) -> None:
        self._age_ms = age_ms
        self._recorded: list[tuple[float, ReceivedResponse]] = []  # (time received, response)
        self.injected = asyncio.Event()
        member.network.fault = self._post

    async def _post(self, path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
        response = await deliver()
        if path != "renew" or response.status != 200 or self.injected.is_set():
            return response
        now = asyncio.get_running_loop().time() * 1_000.0
        self._recorded.append((now, response))
        older = [recorded for received_ms, recorded in self._recorded if now - received_ms >= self._age_ms]
        if not older:
            return response
        self.injected.set()
        return older[-1]


class ReplayedResponse:
    """Records the first response to a call of this path that grants the complete quota.

    Once `enabled`, it replaces the next successful response to an enrolment or renewal by the recorded one.
    `states_call_number`: whether responses state the number of their call, as in releases after 69ecf49.
    """

    def __init__(self, member: LeasedMember, path: str, states_call_number: bool) -> None:
        self._path, self._states_call_number = path, states_call_number
        self._recorded: ReceivedResponse | None = None
        self.enabled = False
        self.injected = asyncio.Event()
        member.network.fault = self._post

    async def _post(self, path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
        response = await deliver()
        if not self._states_call_number:
            fields = orjson.loads(response.body)
            fields.pop("call", None)
            response = ReceivedResponse(response.status, response.headers, orjson.dumps(fields))
        if response.status != 200 or path not in ("enrol", "renew"):
            return response
        if self._recorded is None and path == self._path and orjson.loads(response.body)["share"] == 1.0:
            self._recorded = response
        if self.enabled and self._recorded is not None and not self.injected.is_set():
            self.injected.set()
            return self._recorded
        return response


class PausedDuringCall:
    """Pauses the member's process after a response has arrived; it then reads the response before its timer.

    So the call does not time out, although the pause exceeds its timeout.
    """

    def __init__(self, member: LeasedMember, paused_ms: float) -> None:
        self._paused_ms = paused_ms
        self.resumed = asyncio.Event()
        member.network.enforces_timeout, member.network.fault = False, self._post

    async def _post(self, path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
        response = await deliver()
        if not self.resumed.is_set():
            await sleep_ms(self._paused_ms)
            self.resumed.set()
        return response


def set_wrong_estimate(member: LeasedMember, simulation: LeaseSimulation, error_ms: float) -> None:
    """Give the member a narrow estimate of service time that is wrong by `error_ms`, by replacing all samples
    that the estimate is calculated from."""
    now = member.clock.now_ms()
    service_ms = simulation.service.service_ms() + error_ms
    member.offsets.forget(REGISTRY_PEER)
    for _ in range(MAX_SAMPLES):
        member.offsets.add_sample(REGISTRY_PEER, now - 1.0, service_ms - 0.5, service_ms - 0.5, now)
