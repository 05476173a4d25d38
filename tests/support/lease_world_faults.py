"""Faults that make a member of a `LeaseWorld` wrong about service time."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import orjson

from loadbalancer.node.control.service_time import REGISTRY_PEER
from loadbalancer.node.http.service_http import ReceivedResponse
from loadbalancer.staleness.clock_offsets import MAX_SAMPLES
from tests.support.lease_world import Deliver, LeasedMember, LeaseWorld, pause


class OlderAnswer:
    """In place of one answer to a renewal, an earlier one of the same incarnation."""

    def __init__(self, member: LeasedMember, age_ms: float) -> None:
        self._age_ms = age_ms
        self._kept: list[tuple[float, ReceivedResponse]] = []
        self.injected = asyncio.Event()
        member.network.fault = self._post

    async def _post(self, path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
        answer = await deliver()
        if path != "renew" or answer.status != 200 or self.injected.is_set():
            return answer
        now = asyncio.get_running_loop().time() * 1_000.0
        self._kept.append((now, answer))
        older = [kept for at, kept in self._kept if now - at >= self._age_ms]
        if not older:
            return answer
        self.injected.set()
        return older[-1]


class ReplayedAnswer:
    """The first answer with a quota to a call of this path, given again in place of one much later.

    `repeats_number`: whether the instance repeats the numbers of calls, as releases after 69ecf49 do.
    """

    def __init__(self, member: LeasedMember, path: str, repeats_number: bool) -> None:
        self._path, self._repeats_number = path, repeats_number
        self._kept: ReceivedResponse | None = None
        self.injects = False
        self.injected = asyncio.Event()
        member.network.fault = self._post

    async def _post(self, path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
        answer = await deliver()
        if not self._repeats_number:
            told = orjson.loads(answer.body)
            told.pop("call", None)
            answer = ReceivedResponse(answer.status, answer.headers, orjson.dumps(told))
        if answer.status != 200 or path not in ("enrol", "renew"):
            return answer
        if self._kept is None and path == self._path and orjson.loads(answer.body)["share"] == 1.0:
            self._kept = answer
        if self.injects and self._kept is not None and not self.injected.is_set():
            self.injected.set()
            return self._kept
        return answer


class StoppedInCall:
    """The process does not run for so long after an answer has come, and then finds it before its timer."""

    def __init__(self, member: LeasedMember, stopped_ms: float) -> None:
        self._stopped_ms = stopped_ms
        self.going_on = asyncio.Event()
        member.network.gives_up, member.network.fault = False, self._post

    async def _post(self, path: str, body: Mapping[str, object], deliver: Deliver) -> ReceivedResponse:
        answer = await deliver()
        if not self.going_on.is_set():
            await pause(self._stopped_ms)
            self.going_on.set()
        return answer


def believe_wrongly(member: LeasedMember, world: LeaseWorld, off_ms: float) -> None:
    """An estimate of service time that is tight and wrong by this much, from a whole window of samples."""
    now = member.clock.now_ms()
    stamp = world.service.service_ms() + off_ms
    member.offsets.forget(REGISTRY_PEER)
    for _ in range(MAX_SAMPLES):
        member.offsets.add_sample(REGISTRY_PEER, now - 1.0, stamp - 0.5, stamp - 0.5, now)
