"""Many groups at real instances of the list service, with hollow members: groups parted, zones and regions
lost, services ended, changes of the member list lost, repeated or late. Other groups go on untouched.

Shares of each service sum to at most 1 at every sample, incarnations rise, nobody with a lease in force loses
its row: checked by `Hollows` and at the end of each test.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import orjson
import pytest

from loadbalancer.node.http.service_http import ReceivedResponse
from tests.support.group_registry import LIMIT_S, GroupRegistry
from tests.support.hollow_members import Hollow, Hollows, Post
from tests.support.registry_processes import until

TTL_MS = 3_000  # longer than a busy machine holds a renewal up


@pytest.fixture(scope="module")
def registry(tmp_path_factory: pytest.TempPathFactory) -> Iterator[GroupRegistry]:
    cluster = GroupRegistry(tmp_path_factory.mktemp("faults"), TTL_MS, relayed=True)
    yield cluster
    cluster.stop()


@pytest.fixture
def hollows(registry: GroupRegistry) -> Iterator[Hollows]:
    """Each test ends its own members, so that the next finds no group of theirs with a live lease."""
    members = Hollows(registry)
    yield members
    try:
        members.check()
    finally:
        members.close()


def untouched(hollows: Hollows, groups: list[list[Hollow]]) -> Any:
    """Each of these groups was as it should be at all samples: none lost its row, lapsed or was parted."""
    for group in groups:
        assert [(one.gone, len(one.incarnations)) for one in group] == [(0, 1)] * len(group)
    hollows.check()


def test_the_largest_group_parted_down_the_middle_costs_the_others_nothing(
    registry: GroupRegistry, hollows: Hollows
) -> None:
    big = hollows.add("big", 20)
    others = [hollows.add(f"other-{at}", 3) for at in range(10)]
    hollows.start([*big, *(one for group in others for one in group)])
    for group in (big, *others):
        hollows.until_shared(group)
    revisions = {f"other-{at}": others[at][0].core.revision for at in range(10)}
    ranks = {row["name"]: row["rank"] for row in registry.records("big")}
    big.sort(key=lambda member: ranks[member.name])
    reach, cut_off = big[0::2], big[1::2]  # the reaching half has the lowest rank: it wins the tie
    hollows.parted = lambda one, other: (one in reach) is not (other in reach)
    for member in cut_off:
        member.line.reached = lambda index: False
    seen: list[float] = []

    def half_yielded(now: float) -> bool:
        seen.extend(one.taking(now) for group in others for one in group)
        return all(member.taking(now) == 0.0 for member in cut_off)

    hollows.until("the half cut off yielding", half_yielded)
    hollows.until_shared(reach)  # the rows of the others are gone: half of the electors and the lowest rank
    assert {round(share, 6) for share in seen} == {round(1 / 3, 6)}
    assert {f"other-{at}": others[at][0].core.revision for at in range(10)} == revisions
    for member in cut_off:
        member.line.reached = lambda index: True
    hollows.parted = lambda one, other: False
    hollows.until_shared(big)
    assert [member.gone for member in reach] == [0] * 10
    untouched(hollows, others)
    hollows.leave(big + [one for group in others for one in group])


def test_a_zone_that_is_lost_and_comes_back_as_new_processes(
    registry: GroupRegistry, hollows: Hollows
) -> None:
    """In a group of five with two there, the others take its part; where it had most of a group, or the
    older of two, the rest keeps what it has and nobody takes the whole."""
    groups = {"five": hollows.add("five", 5), "three": hollows.add("three", 3), "two": hollows.add("two", 2)}
    for members in groups.values():
        hollows.start(members[:1])
        hollows.until_shared(members[:1])  # the oldest
        hollows.start(members[1:])
    for members in groups.values():
        hollows.until_shared(members)
    zone = groups["five"][3:] + groups["three"][:2] + groups["two"][:1]
    rest = {service: [one for one in members if one not in zone] for service, members in groups.items()}
    hollows.call(lambda: [member.kill() for member in zone])
    hollows.until_shared(rest["five"])
    for service in ("three", "two"):
        lost = {member.name: "lapsed" for member in groups[service] if member in zone}
        until(lambda s=service, x=lost: x.items() <= registry.states(s).items(), LIMIT_S, f"{lost} lapsed")
    hollows.until_sampled(30)
    now = hollows.clock.now_ms()
    kept = hollows.call(lambda: [one.taking(now) for one in rest["three"] + rest["two"]])
    assert kept == [pytest.approx(1 / 3), pytest.approx(1 / 2)]
    before = {member.name: member.incarnations[-1] for member in zone}
    hollows.start(zone)
    for members in groups.values():
        hollows.until_shared(members)
    assert all(member.incarnations[-1] > before[member.name] for member in zone)
    untouched(hollows, list(rest.values()))
    hollows.leave([one for members in groups.values() for one in members])


def test_two_regions_parted_for_longer_than_all_leases_and_joined(
    registry: GroupRegistry, hollows: Hollows
) -> None:
    """One region has two instances, the other has one, which finds no majority."""
    groups = {service: hollows.add(service, 4) for service in ("most-east", "most-west", "even")}
    for members in groups.values():
        hollows.start(members[:1])
        hollows.until_shared(members[:1])  # the oldest is in the east
        hollows.start(members[1:])
    for members in groups.values():
        hollows.until_shared(members)
    # by group: how many stand in the east, the oldest among them
    east = [*groups["most-east"][:3], *groups["most-west"][:1], *groups["even"][:2]]
    west = [one for members in groups.values() for one in members if one not in east]
    apart = (registry.leader() + 1) % 3  # the instance in the west
    hollows.parted = lambda one, other: (one in east) is not (other in east)
    for member in hollows.all:
        here = member in west
        member.line.reached = lambda index, here=here: (index == apart) is here
    registry.cut(apart)
    adrift = [one for one in west if one in groups["most-west"]]  # a majority of its group: holds
    yielding = [one for one in west if one not in adrift]
    hollows.until(
        "leases of the west at an end",
        lambda now: all(
            one.core.lease_end_ms < now - TTL_MS and one.taking(now) == (0.25 if one in adrift else 0.0)
            for one in west
        ),
    )
    hollows.until_shared(groups["most-east"][:3])
    hollows.until_shared(groups["even"][:2])  # a tie is won by the side of the oldest
    assert hollows.call(lambda: groups["most-west"][0].taking(hollows.clock.now_ms())) == 0.25
    assert sorted(registry.states("most-west").values()) == ["lapsed"] * 3 + ["live"]
    registry.cut(apart, silent=False)
    hollows.parted = lambda one, other: False
    for member in hollows.all:
        member.line.reached = lambda index: True
    for members in groups.values():
        hollows.until_shared(members)
    assert [member.gone for member in (*east, *adrift)] == [0] * (len(east) + 3)
    assert all(member.gone >= 1 and len(member.incarnations) > 1 for member in yielding)
    hollows.leave([one for members in groups.values() for one in members])


def test_a_service_ends_with_its_last_member_or_by_an_operator_once_all_leases_have_lapsed(
    registry: GroupRegistry, hollows: Hollows
) -> None:
    left, killed, stays = (hollows.add(service, 3) for service in ("left", "killed", "stays"))
    hollows.start([*left, *killed, *stays])
    for group in (left, killed, stays):
        hollows.until_shared(group)
    status, said = registry.call("DELETE", "services/killed")
    assert (status, "live leases" in said["error"]) == (409, True), said
    hollows.leave(left)
    hollows.call(lambda: [member.kill() for member in killed])
    until(lambda: not registry.states("left"), LIMIT_S, "no row of a service that all have left")
    lapsed = {member.name: "lapsed" for member in killed}
    until(lambda: registry.states("killed") == lapsed, LIMIT_S, "all leases lapsed")
    status, said = registry.call("DELETE", "services/killed")
    assert (status, said) == (200, {"removed": sorted(member.incarnations[-1] for member in killed)})
    assert registry.call("DELETE", "services/killed") == (200, {"removed": []})
    assert registry.states("killed") == {}
    again = hollows.add("killed", 2)  # and it may begin again
    hollows.start(again)
    hollows.until_shared(again)
    assert min(member.incarnations[0] for member in again) > max(m.incarnations[-1] for m in killed)
    untouched(hollows, [stays, again])
    hollows.leave([*stays, *again])


def test_the_row_that_the_last_member_without_a_service_left_behind_is_ended_by_an_operator(
    registry: GroupRegistry, hollows: Hollows
) -> None:
    """It holds back its part in every service, where its machine was replaced and so nobody renews at its
    address. Its name lives on in a group, whose row must stay."""
    [upgraded], others = hollows.add("", 1), hollows.add("kept", 2)
    hollows.start([upgraded, *others])
    hollows.until("all sharing", lambda now: all(_takes(one, now, 1 / 3) for one in (upgraded, *others)))
    hollows.call(upgraded.kill)
    upgraded.service, upgraded.address = "named", "127.0.0.1:9999"
    hollows.start([upgraded])
    until(lambda: registry.states("").get(upgraded.name) == "lapsed", LIMIT_S, "its earlier lease lapsed")
    hollows.until("what is left taken", lambda now: _takes(upgraded, now, 1 / 2))
    assert [row["share"] for row in registry.records("")] == [pytest.approx(1 / 3)]
    first, second = upgraded.incarnations
    status, said = registry.call("DELETE", f"members/{upgraded.name}?service=")
    assert (status, said) == (200, {"removed": [first]})
    hollows.until_shared([upgraded])
    hollows.until_shared(others)
    assert (upgraded.gone, upgraded.incarnations) == (0, [first, second])
    untouched(hollows, [others])
    hollows.leave([upgraded, *others])


def test_who_replaces_the_only_member_on_another_machine_takes_nothing_until_an_operator_ends_its_row(
    registry: GroupRegistry, hollows: Hollows
) -> None:
    """Whether the one before has ended, nobody in its group can tell. What it has is kept for it."""
    [lost, instead] = hollows.add("alone", 2)
    hollows.start([lost])
    hollows.until_shared([lost])
    hollows.call(lost.kill)
    hollows.start([instead])
    until(lambda: registry.states("alone").get(lost.name) == "lapsed", LIMIT_S, "its lease lapsed")
    times = instead.renewals
    until(lambda: instead.renewals >= times + 5, LIMIT_S, "renewals that go on")
    assert hollows.holds(lambda now: _takes(instead, now, 0.0))
    status, said = registry.call("DELETE", f"members/{lost.name}?service=alone")
    assert (status, said) == (200, {"removed": lost.incarnations})
    hollows.until("the whole taken", lambda now: _takes(instead, now, 1.0))
    hollows.leave([instead])


def _takes(member: Hollow, now: float, share: float) -> bool:
    return abs(member.taking(now) - share) < 1e-6


# ------------------------------------------------------------------ changes of the list, over the wire


class Faults:
    """Faults of one member's renewals: answers lost, calls said twice, older answers in place of newer, the
    first of several changes missing. While `held`, renewals wait, so that several changes come to one."""

    def __init__(self) -> None:
        self.kind = "none"
        self.held = self.waiting = False
        self.given: list[ReceivedResponse] = []  # all answers so far, as they came
        self.injected = 0

    async def post(
        self, path: str, body: dict[str, Any], timeout_ms: float, through: Post
    ) -> ReceivedResponse:
        while self.held:
            self.waiting = True
            await asyncio.sleep(0.01)
        reply = await through(path, body, timeout_ms)
        if path != "renew" or reply.status != 200:
            return reply
        self.given.append(reply)
        told = orjson.loads(reply.body)
        changes = told.get("since") is not None
        match self.kind:
            case "lost" if changes and self.injected < 3:
                self.injected += 1
                raise TimeoutError("the answer is lost")
            case "repeated" if changes and self.injected < 3:
                self.injected += 1
                again = await through(path, body, timeout_ms)
                assert orjson.loads(again.body)["incarnation"] == told["incarnation"]
                return again
            case "gap" if changes and told["rev"] > told["since"] + 1 and self.injected < 1:
                self.injected += 1
                later = {"since": told["since"] + 1, "members": told["members"][1:]}
                return ReceivedResponse(reply.status, reply.headers, orjson.dumps(told | later))
            case "older" if self.injected < 1:
                older = next((one for one in self.given if _begins_elsewhere(one, body["acked"])), None)
                if older is not None:
                    self.injected += 1
                    return older
        return reply


def _begins_elsewhere(reply: ReceivedResponse, acked: int) -> bool:
    told = orjson.loads(reply.body)
    return told.get("since") is not None and told["since"] != acked


def until_agreed(registry: GroupRegistry, hollows: Hollows, members: list[Hollow], service: str) -> None:
    """Until every one of these knows the rows of the list service as they are."""

    def agreed() -> bool:
        there = {(row["incarnation"], row["state"]) for row in registry.records(service)}
        known = hollows.call(
            lambda: [{(row.incarnation, row.state) for row in one.core.members} for one in members]
        )
        return all(one == there for one in known)

    until(agreed, LIMIT_S, f"members of {service!r} knowing its list")


@pytest.mark.parametrize("kind", ["lost", "repeated", "older", "gap"])
def test_changes_that_are_lost_repeated_overtaken_or_begin_late_leave_no_member_with_a_wrong_list(
    registry: GroupRegistry, hollows: Hollows, kind: str
) -> None:
    service = f"changes-{kind}"
    members = hollows.add(service, 4)
    faults = Faults()
    members[0].line.on_post = faults.post
    hollows.start(members)
    hollows.until_shared(members)
    faults.kind, faults.held = kind, True
    until(lambda: faults.waiting, LIMIT_S, "a renewal that waits")
    come = hollows.add(service, 4)
    hollows.start(come[:2])
    until(lambda: len(registry.records(service)) == 6, LIMIT_S, "two changes to be told")
    faults.held = False
    until_agreed(registry, hollows, members + come[:2], service)
    for at, one in enumerate(come[2:], 2):
        hollows.start([one])
        until_agreed(registry, hollows, members + come[: at + 1], service)
    hollows.leave([members.pop()])
    until(lambda: len(registry.records(service)) == 7, LIMIT_S, "the row that has left removed")
    until_agreed(registry, hollows, members + come, service)
    assert faults.injected > 0
    hollows.until_shared(members + come)
    untouched(hollows, [members, come])
    hollows.leave(members + come)


def test_an_instance_that_was_the_leader_and_is_behind_tells_no_changes_that_do_not_fit(
    registry: GroupRegistry, hollows: Hollows
) -> None:
    members = hollows.add("behind", 4)
    hollows.start(members)
    hollows.until_shared(members)
    behind = registry.leader()
    registry.cut(behind)
    listening = members[0]  # asks that instance alone, the others ask the two that go on
    listening.line.reached = lambda index: index == behind
    for one in members[1:]:
        one.line.reached = lambda index: index != behind
    until(lambda: registry.leader() != behind, LIMIT_S, "another leader")
    answered = listening.renewals
    come = hollows.add("behind", 2)
    for one in come:
        one.line.reached = lambda index: index != behind
    hollows.start(come)
    until(
        lambda: {one.name for one in come} <= registry.states("behind").keys(),
        LIMIT_S,
        "rows that the instance which is behind has not got",
    )
    assert listening.renewals == answered  # it has told nothing since it was cut off
    registry.cut(behind, silent=False)
    until_agreed(registry, hollows, members + come, "behind")
    hollows.until_shared(members + come)
    untouched(hollows, [members[1:], come])
    hollows.leave(members + come)
