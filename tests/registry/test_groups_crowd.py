"""Many hollow members at real instances of the list service: 1,000 enrolments within two seconds while the
leader is killed, and a full group."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import Any

import orjson
import pytest

from loadbalancer.node.http.service_client import HttpClient
from loadbalancer.registry.fleet_state import MAX_GROUP_MEMBERS
from tests.support.group_registry import LIMIT_S, GroupRegistry
from tests.support.hollow_members import HollowMembers
from tests.support.registry_processes import http_request, until

TTL_MS = 60_000  # so long that leases which nobody renews last for the test
SIZES = [100, 60, 40, *[6] * 100, *[5] * 40]  # sizes of 143 groups with 1,000 members in total
CONCURRENT_ENROLMENTS = 50  # while a group is filled


@pytest.fixture(scope="module")
def registry(tmp_path_factory: pytest.TempPathFactory) -> Iterator[GroupRegistry]:
    cluster = GroupRegistry(tmp_path_factory.mktemp("crowd"), TTL_MS)
    yield cluster
    cluster.stop()


@pytest.fixture
def hollows(registry: GroupRegistry) -> Iterator[HollowMembers]:
    members = HollowMembers(registry, sample_s=0.1)
    yield members
    try:
        members.check()
    finally:
        members.close()


def test_1000_members_enrol_within_2_s_while_leader_is_killed(
    registry: GroupRegistry, hollows: HollowMembers
) -> None:
    for number, size in enumerate(SIZES):
        hollows.add(f"crowd-{number}", size)
    members = list(hollows.all)
    assert len(members) == 1_000
    hollows.start_within(members, 2.0, Random(26))

    def enrolled() -> int:
        return sum(member.enrolled for member in members)

    hollows.until("a quarter of the members enrolled", lambda now: enrolled() >= 250)
    registry.kill(registry.leader())
    assert hollows.call(enrolled) < 1_000  # it was killed during the enrolments
    hollows.until("all enrolled", lambda now: enrolled() == 1_000)
    hollows.until("renewals of all members", lambda now: all(member.renewals >= 2 for member in members))
    entries = {entry["incarnation"]: entry for entry in registry.records()}
    assert {member.core.incarnation: (member.name, member.service) for member in members} == {
        incarnation: (entry["name"], entry["service"]) for incarnation, entry in entries.items()
    }
    assert Counter(member.lease_losses for member in members) == {0: 1_000}
    rejected = {
        key: count
        for member in members
        for key, count in member.registry_link.responses.items()
        if key[1] == 409
    }
    assert not rejected


async def fill(port: int, service: str, size: int) -> None:
    """Enrol `size` processes that never renew."""
    client, slots = HttpClient(), asyncio.Semaphore(CONCURRENT_ENROLMENTS)

    async def enrol(number: int) -> None:
        identity = {"name": f"f{number}", "address": f"127.0.0.1:{30_000 + number}", "start": f"f{number}"}
        body = orjson.dumps(identity | {"service": service})
        async with slots:
            while (await client.send(("127.0.0.1", port), "POST", "/fleet/enrol", body)).status != 200:
                await asyncio.sleep(0.05)

    await asyncio.gather(*(enrol(number) for number in range(size)))


def rejection_counts(registry: GroupRegistry) -> dict[int, int]:
    return {index: registry.status(index)["enrolments_refused"] for index in registry.live()}


def rejection_events(registry: GroupRegistry) -> list[dict[str, Any]]:
    logs = [path.read_text() for path in registry.folder.glob("r*.log")]
    return [orjson.loads(line) for text in logs for line in text.splitlines() if "enrolment_refused" in line]


def test_full_group_rejects_further_members_with_one_log_line(
    registry: GroupRegistry, hollows: HollowMembers, caplog: pytest.LogCaptureFixture
) -> None:
    members_before = hollows.add("full", 3)
    hollows.start(members_before)
    hollows.until("three enrolled", lambda now: all(member.enrolled for member in members_before))
    leader = registry.leader()
    asyncio.run(fill(registry.http[leader], "full", MAX_GROUP_MEMBERS - len(members_before)))
    before = {entry["incarnation"] for entry in registry.records("full")}
    assert len(before) == MAX_GROUP_MEMBERS
    [further] = hollows.add("full", 1)
    [elsewhere] = hollows.add("not-full", 1)
    with caplog.at_level(logging.WARNING, logger="loadbalancer"):
        hollows.start([further, elsewhere])
        until(lambda: further.registry_link.responses["enrol", 409] >= 3, LIMIT_S, "three rejections")
    lines = [line for line in caplog.messages if "not enrolled" in line]
    assert len(lines) <= 1  # none if a call had failed before the first rejection
    assert all("has 500 members" in line for line in lines)
    assert not further.enrolled
    hollows.until("a member of another group enrolled", lambda now: elsewhere.enrolled)
    identity = {"name": "late", "address": "127.0.0.1:9", "start": "late", "service": "full"}
    status, _, body = http_request(registry.http[leader], "POST", "/fleet/enrol", identity)
    assert (status, body) == (
        409,
        {"error": "service 'full' has 500 members, the most that a group may have"},
    )
    [event] = rejection_events(registry)
    assert (event["service"], event["level"], event["refusals"]) == ("full", "warning", 1)
    assert rejection_counts(registry)[leader] == sum(rejection_counts(registry).values()) >= 4
    [renewed, restarted, _] = members_before
    renewals = renewed.renewals
    hollows.call(restarted.kill)
    first = restarted.incarnations[-1]
    hollows.start([restarted])  # it replaces the earlier process's record, as it has the same address
    hollows.until("the restarted process enrolled", lambda now: restarted.incarnations[-1] > first)
    until(lambda: renewed.renewals > renewals, LIMIT_S, "a renewal while the group is full")
    after = {entry["incarnation"] for entry in registry.records("full")}
    assert after == before - {first} | {restarted.incarnations[-1]}
    assert [member.lease_losses for member in members_before] == [0, 0, 0]
