"""A crowd at real instances of the list service, with hollow members: a thousand enrolments within two
seconds while the leader is killed, and a group that is full."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import Any

import orjson
import pytest

from loadbalancer.node.http.service_http import HttpClient
from loadbalancer.registry.fleet_state import MAX_GROUP_MEMBERS
from tests.support.group_registry import LIMIT_S, GroupRegistry
from tests.support.hollow_members import Hollows
from tests.support.registry_processes import ask, until

TTL_MS = 60_000  # of rows that nobody renews: they have to last for the test
SIZES = [100, 60, 40, *[6] * 100, *[5] * 40]  # of 143 groups: 1,000 members
AT_ONCE = 50  # enrolments under way when a group is filled


@pytest.fixture(scope="module")
def registry(tmp_path_factory: pytest.TempPathFactory) -> Iterator[GroupRegistry]:
    cluster = GroupRegistry(tmp_path_factory.mktemp("crowd"), TTL_MS)
    yield cluster
    cluster.stop()


@pytest.fixture
def hollows(registry: GroupRegistry) -> Iterator[Hollows]:
    members = Hollows(registry, sample_s=0.1)
    yield members
    try:
        members.check()
    finally:
        members.close()


def test_a_thousand_enrol_within_two_seconds_while_the_leader_is_killed(
    registry: GroupRegistry, hollows: Hollows
) -> None:
    for at, size in enumerate(SIZES):
        hollows.add(f"crowd-{at}", size)
    members = list(hollows.all)
    assert len(members) == 1_000
    hollows.start_within(members, 2.0, Random(26))

    def enrolled() -> int:
        return sum(member.enrolled for member in members)

    hollows.until("a quarter of them enrolled", lambda now: enrolled() >= 250)
    registry.kill(registry.leader())
    assert hollows.call(enrolled) < 1_000  # it was amid them
    hollows.until("all enrolled", lambda now: enrolled() == 1_000)
    hollows.until("all renewed since", lambda now: all(member.renewals >= 2 for member in members))
    there = {row["incarnation"]: row for row in registry.records()}
    assert {member.core.incarnation: (member.name, member.service) for member in members} == {
        number: (row["name"], row["service"]) for number, row in there.items()
    }
    assert Counter(member.gone for member in members) == {0: 1_000}
    refused = {key: many for one in members for key, many in one.line.answers.items() if key[1] == 409}
    assert not refused


async def fill(port: int, service: str, many: int) -> None:
    """Enrol so many processes of which nothing more is heard."""
    client, slots = HttpClient(), asyncio.Semaphore(AT_ONCE)

    async def enrol(number: int) -> None:
        about = {"name": f"f{number}", "address": f"127.0.0.1:{30_000 + number}", "start": f"f{number}"}
        body = orjson.dumps(about | {"service": service})
        async with slots:
            while (await client.send(("127.0.0.1", port), "POST", "/fleet/enrol", body)).status != 200:
                await asyncio.sleep(0.05)

    await asyncio.gather(*(enrol(number) for number in range(many)))


def refusals(registry: GroupRegistry) -> dict[int, int]:
    return {index: registry.status(index)["enrolments_refused"] for index in registry.live()}


def refusal_lines(registry: GroupRegistry) -> list[dict[str, Any]]:
    logs = [path.read_text() for path in registry.folder.glob("r*.log")]
    return [orjson.loads(line) for text in logs for line in text.splitlines() if "enrolment_refused" in line]


def test_a_full_group_refuses_further_members_says_so_once_and_costs_nobody_a_row(
    registry: GroupRegistry, hollows: Hollows, caplog: pytest.LogCaptureFixture
) -> None:
    kept = hollows.add("full", 3)
    hollows.start(kept)
    hollows.until("three enrolled", lambda now: all(one.enrolled for one in kept))
    leader = registry.leader()
    asyncio.run(fill(registry.http[leader], "full", MAX_GROUP_MEMBERS - len(kept)))
    before = {row["incarnation"] for row in registry.records("full")}
    assert len(before) == MAX_GROUP_MEMBERS
    [further] = hollows.add("full", 1)
    [elsewhere] = hollows.add("not-full", 1)
    with caplog.at_level(logging.WARNING, logger="loadbalancer"):
        hollows.start([further, elsewhere])
        until(lambda: further.line.answers["enrol", 409] >= 3, LIMIT_S, "three refusals")
    lines = [line for line in caplog.messages if "not enrolled" in line]
    assert len(lines) <= 1  # none where a call had failed before the first refusal
    assert all("has 500 members" in line for line in lines)
    assert not further.enrolled
    hollows.until("one of another group enrolled", lambda now: elsewhere.enrolled)
    about = {"name": "late", "address": "127.0.0.1:9", "start": "late", "service": "full"}
    status, _, said = ask(registry.http[leader], "POST", "/fleet/enrol", about)
    assert (status, said) == (
        409,
        {"error": "service 'full' has 500 members, the most that a group may have"},
    )
    [line] = refusal_lines(registry)
    assert (line["service"], line["level"], line["refusals"]) == ("full", "warning", 1)
    assert refusals(registry)[leader] == sum(refusals(registry).values()) >= 4
    [renewed, restarted, _] = kept
    times = renewed.renewals
    hollows.call(restarted.kill)
    first = restarted.incarnations[-1]
    hollows.start([restarted])  # its address is its predecessor's: it takes its place
    hollows.until("the restarted process enrolled", lambda now: restarted.incarnations[-1] > first)
    until(lambda: renewed.renewals > times, LIMIT_S, "a renewal while the group is full")
    after = {row["incarnation"] for row in registry.records("full")}
    assert after == before - {first} | {restarted.incarnations[-1]}
    assert [one.gone for one in kept] == [0, 0, 0]
