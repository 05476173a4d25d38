"""Many groups of hollow members at real instances of the list service, under faults: partitioned groups, lost
zones and regions, ended services, and deltas of the member list that are lost, repeated or late. Other groups
must not be affected.

`HollowMembers` and the end of each test check that the quotas of each service sum to at most 1 at every
sample, that incarnations rise, and that no member with a lease in force loses its record.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import orjson
import pytest

from loadbalancer.node.http.service_client import ReceivedResponse
from tests.support.group_registry import LIMIT_S, GroupRegistry
from tests.support.hollow_members import HollowMember, HollowMembers, Send
from tests.support.registry_processes import until

TTL_MS = 3_000  # longer than a delay of renewals on a busy machine


@pytest.fixture(scope="module")
def registry(tmp_path_factory: pytest.TempPathFactory) -> Iterator[GroupRegistry]:
    cluster = GroupRegistry(tmp_path_factory.mktemp("faults"), TTL_MS, relayed=True)
    yield cluster
    cluster.stop()


def assert_unaffected(hollows: HollowMembers, groups: list[list[HollowMember]]) -> Any:
    """Assert that no member of these groups lost its record or lease, and that no sample violated a rule."""
    for group in groups:
        assert [(member.lease_losses, len(member.incarnations)) for member in group] == [(0, 1)] * len(group)
    hollows.check()


def test_partition_of_largest_group_leaves_other_groups_unaffected(
    registry: GroupRegistry, hollows: HollowMembers
) -> None:
    big = hollows.add("big", 20)
    others = [hollows.add(f"other-{number}", 3) for number in range(10)]
    hollows.start([*big, *(member for group in others for member in group)])
    for group in (big, *others):
        hollows.until_equal_quotas(group)
    revisions = {f"other-{number}": others[number][0].core.revision for number in range(10)}
    ranks = {entry["name"]: entry["rank"] for entry in registry.records("big")}
    big.sort(key=lambda member: ranks[member.name])
    # The connected half has the member of lowest rank, which wins the tie.
    connected, cut_off = big[0::2], big[1::2]
    hollows.are_partitioned = lambda member, other: (member in connected) is not (other in connected)
    for member in cut_off:
        member.registry_link.can_reach = lambda index: False
    quotas: list[float] = []

    def cut_off_yielded(now: float) -> bool:
        quotas.extend(member.quota_in_use(now) for group in others for member in group)
        return all(member.quota_in_use(now) == 0.0 for member in cut_off)

    hollows.until("the disconnected half without quota", cut_off_yielded)
    hollows.until_equal_quotas(connected)  # the half that has the elector of lowest rank removes the others
    assert {round(quota, 6) for quota in quotas} == {round(1 / 3, 6)}
    assert {f"other-{number}": others[number][0].core.revision for number in range(10)} == revisions
    for member in cut_off:
        member.registry_link.can_reach = lambda index: True
    hollows.are_partitioned = lambda member, other: False
    hollows.until_equal_quotas(big)
    assert [member.lease_losses for member in connected] == [0] * 10
    assert_unaffected(hollows, others)
    hollows.leave(big + [member for group in others for member in group])


def test_lost_zone_returns_as_new_processes(registry: GroupRegistry, hollows: HollowMembers) -> None:
    """The quota of lost members may be redistributed only by a majority of their group.

    In a group of five, the remaining three take the quota of the two lost members. If the zone had most
    members of a group, or the older of two, the remaining members keep their quotas and get no more.
    """
    groups = {"five": hollows.add("five", 5), "three": hollows.add("three", 3), "two": hollows.add("two", 2)}
    for members in groups.values():
        hollows.start(members[:1])
        hollows.until_equal_quotas(members[:1])  # the oldest
        hollows.start(members[1:])
    for members in groups.values():
        hollows.until_equal_quotas(members)
    zone = groups["five"][3:] + groups["three"][:2] + groups["two"][:1]
    rest = {
        service: [member for member in members if member not in zone] for service, members in groups.items()
    }
    hollows.call(lambda: [member.kill() for member in zone])
    hollows.until_equal_quotas(rest["five"])
    for service in ("three", "two"):
        lost = {member.name: "lapsed" for member in groups[service] if member in zone}
        until(
            lambda service=service, lost=lost: lost.items() <= registry.states(service).items(),
            LIMIT_S,
            f"{lost} expired",
        )
    hollows.until_sampled(30)
    now = hollows.clock.now_ms()
    quotas = hollows.call(lambda: [member.quota_in_use(now) for member in rest["three"] + rest["two"]])
    assert quotas == [pytest.approx(1 / 3), pytest.approx(1 / 2)]
    before = {member.name: member.incarnations[-1] for member in zone}
    hollows.start(zone)
    for members in groups.values():
        hollows.until_equal_quotas(members)
    assert all(member.incarnations[-1] > before[member.name] for member in zone)
    assert_unaffected(hollows, list(rest.values()))
    hollows.leave([member for members in groups.values() for member in members])


def test_two_regions_recover_after_partition_longer_than_all_leases(
    registry: GroupRegistry, hollows: HollowMembers
) -> None:
    """One region has two instances; the other has one, which has no majority."""
    groups = {service: hollows.add(service, 4) for service in ("most-east", "most-west", "even")}
    for members in groups.values():
        hollows.start(members[:1])
        hollows.until_equal_quotas(members[:1])  # the oldest is in the east
        hollows.start(members[1:])
    for members in groups.values():
        hollows.until_equal_quotas(members)
    # By group, the members in the east, which include the oldest.
    east = [*groups["most-east"][:3], *groups["most-west"][:1], *groups["even"][:2]]
    west = [member for members in groups.values() for member in members if member not in east]
    west_instance = (registry.leader() + 1) % 3
    hollows.are_partitioned = lambda member, other: (member in east) is not (other in east)
    for member in hollows.all:
        in_west = member in west
        member.registry_link.can_reach = lambda index, in_west=in_west: (index == west_instance) is in_west
    registry.partition(west_instance)
    holding = [member for member in west if member in groups["most-west"]]  # a majority of its group
    yielding = [member for member in west if member not in holding]
    hollows.until(
        "end of the leases in the west",
        lambda now: all(
            member.core.lease_end_ms < now - TTL_MS
            and member.quota_in_use(now) == (0.25 if member in holding else 0.0)
            for member in west
        ),
    )
    hollows.until_equal_quotas(groups["most-east"][:3])
    hollows.until_equal_quotas(groups["even"][:2])  # the side of the oldest member wins a tie
    assert hollows.call(lambda: groups["most-west"][0].quota_in_use(hollows.clock.now_ms())) == 0.25
    assert sorted(registry.states("most-west").values()) == ["lapsed"] * 3 + ["live"]
    registry.partition(west_instance, silent=False)
    hollows.are_partitioned = lambda member, other: False
    for member in hollows.all:
        member.registry_link.can_reach = lambda index: True
    for members in groups.values():
        hollows.until_equal_quotas(members)
    assert [member.lease_losses for member in (*east, *holding)] == [0] * (len(east) + 3)
    assert all(member.lease_losses >= 1 and len(member.incarnations) > 1 for member in yielding)
    hollows.leave([member for members in groups.values() for member in members])


def test_service_ends_with_last_member_or_by_operator_after_all_leases_expired(
    registry: GroupRegistry, hollows: HollowMembers
) -> None:
    departed, killed, running = (hollows.add(service, 3) for service in ("left", "killed", "stays"))
    hollows.start([*departed, *killed, *running])
    for group in (departed, killed, running):
        hollows.until_equal_quotas(group)
    status, body = registry.call("DELETE", "services/killed")
    assert (status, "live leases" in body["error"]) == (409, True), body
    hollows.leave(departed)
    hollows.call(lambda: [member.kill() for member in killed])
    until(lambda: not registry.states("left"), LIMIT_S, "no record of a service whose members have all left")
    expired = {member.name: "lapsed" for member in killed}
    until(lambda: registry.states("killed") == expired, LIMIT_S, "all leases expired")
    status, body = registry.call("DELETE", "services/killed")
    assert (status, body) == (200, {"removed": sorted(member.incarnations[-1] for member in killed)})
    assert registry.call("DELETE", "services/killed") == (200, {"removed": []})
    assert registry.states("killed") == {}
    again = hollows.add("killed", 2)  # the service may start again
    hollows.start(again)
    hollows.until_equal_quotas(again)
    assert min(member.incarnations[0] for member in again) > max(member.incarnations[-1] for member in killed)
    assert_unaffected(hollows, [running, again])
    hollows.leave([*running, *again])


def test_operator_removes_expired_member_without_service(
    registry: GroupRegistry, hollows: HollowMembers
) -> None:
    """If the member's machine is replaced, no process renews at its address, and its record blocks its quota
    in every service. A member of the same name in a group must keep its record."""
    [upgraded], others = hollows.add("", 1), hollows.add("kept", 2)
    hollows.start([upgraded, *others])
    hollows.until(
        "equal quotas of all",
        lambda now: all(_has_quota(member, now, 1 / 3) for member in (upgraded, *others)),
    )
    hollows.call(upgraded.kill)
    upgraded.service, upgraded.address = "named", "127.0.0.1:9999"
    hollows.start([upgraded])
    until(lambda: registry.states("").get(upgraded.name) == "lapsed", LIMIT_S, "its earlier lease expired")
    hollows.until("the remaining quota granted", lambda now: _has_quota(upgraded, now, 1 / 2))
    assert [entry["share"] for entry in registry.records("")] == [pytest.approx(1 / 3)]
    first, second = upgraded.incarnations
    status, body = registry.call("DELETE", f"members/{upgraded.name}?service=")
    assert (status, body) == (200, {"removed": [first]})
    hollows.until_equal_quotas([upgraded])
    hollows.until_equal_quotas(others)
    assert (upgraded.lease_losses, upgraded.incarnations) == (0, [first, second])
    assert_unaffected(hollows, [others])
    hollows.leave([upgraded, *others])


def test_replacement_at_other_address_gets_no_quota_until_operator_removes_record(
    registry: GroupRegistry, hollows: HollowMembers
) -> None:
    """No member of the group can know whether the earlier process has ended, so its quota stays blocked."""
    [lost, replacement] = hollows.add("alone", 2)
    hollows.start([lost])
    hollows.until_equal_quotas([lost])
    hollows.call(lost.kill)
    hollows.start([replacement])
    until(lambda: registry.states("alone").get(lost.name) == "lapsed", LIMIT_S, "its lease expired")
    renewals = replacement.renewals
    until(lambda: replacement.renewals >= renewals + 5, LIMIT_S, "further renewals")
    assert hollows.holds(lambda now: _has_quota(replacement, now, 0.0))
    status, body = registry.call("DELETE", f"members/{lost.name}?service=alone")
    assert (status, body) == (200, {"removed": lost.incarnations})
    hollows.until("the whole quota granted", lambda now: _has_quota(replacement, now, 1.0))
    hollows.leave([replacement])


def _has_quota(member: HollowMember, now: float, quota: float) -> bool:
    return abs(member.quota_in_use(now) - quota) < 1e-6


# ------------------------------------------------------------------ deltas of the member list


class Faults:
    """Faults in one member's renewals: lost or outdated responses, repeated calls, and a delta without its
    first change.

    While `blocked`, renewals wait, so that one delta contains several changes.
    """

    def __init__(self) -> None:
        self.kind = "none"
        self.blocked = self.waiting = False
        self.received: list[ReceivedResponse] = []  # all responses so far, in order
        self.injected = 0

    async def post(self, path: str, body: dict[str, Any], timeout_ms: float, send: Send) -> ReceivedResponse:
        while self.blocked:
            self.waiting = True
            await asyncio.sleep(0.01)
        response = await send(path, body, timeout_ms)
        if path != "renew" or response.status != 200:
            return response
        self.received.append(response)
        grant = orjson.loads(response.body)
        is_delta = grant.get("since") is not None
        match self.kind:
            case "lost" if is_delta and self.injected < 3:
                self.injected += 1
                raise TimeoutError("the response is lost")
            case "repeated" if is_delta and self.injected < 3:
                self.injected += 1
                again = await send(path, body, timeout_ms)
                assert orjson.loads(again.body)["incarnation"] == grant["incarnation"]
                return again
            case "gap" if is_delta and grant["rev"] > grant["since"] + 1 and self.injected < 1:
                self.injected += 1
                later = {"since": grant["since"] + 1, "members": grant["members"][1:]}
                return ReceivedResponse(response.status, response.headers, orjson.dumps(grant | later))
            case "older" if self.injected < 1:
                older = next(
                    (earlier for earlier in self.received if _has_other_start(earlier, body["acked"])), None
                )
                if older is not None:
                    self.injected += 1
                    return older
        return response


def _has_other_start(response: ReceivedResponse, acked: int) -> bool:
    grant = orjson.loads(response.body)
    return grant.get("since") is not None and grant["since"] != acked


def until_agreed(
    registry: GroupRegistry, hollows: HollowMembers, members: list[HollowMember], service: str
) -> None:
    """Wait until the member list of each of these equals that of the list service."""

    def agreed() -> bool:
        expected = {(entry["incarnation"], entry["state"]) for entry in registry.records(service)}
        known = hollows.call(
            lambda: [
                {(sibling.incarnation, sibling.state) for sibling in member.core.members}
                for member in members
            ]
        )
        return all(member_list == expected for member_list in known)

    until(agreed, LIMIT_S, f"the current list at the members of {service!r}")


@pytest.mark.parametrize("kind", ["lost", "repeated", "older", "gap"])
def test_faulty_deltas_leave_no_member_with_wrong_list(
    registry: GroupRegistry, hollows: HollowMembers, kind: str
) -> None:
    service = f"changes-{kind}"
    members = hollows.add(service, 4)
    faults = Faults()
    members[0].registry_link.intercept = faults.post
    hollows.start(members)
    hollows.until_equal_quotas(members)
    faults.kind, faults.blocked = kind, True
    until(lambda: faults.waiting, LIMIT_S, "a waiting renewal")
    added = hollows.add(service, 4)
    hollows.start(added[:2])
    until(lambda: len(registry.records(service)) == 6, LIMIT_S, "two changes to be sent")
    faults.blocked = False
    until_agreed(registry, hollows, members + added[:2], service)
    for index, member in enumerate(added[2:], 2):
        hollows.start([member])
        until_agreed(registry, hollows, members + added[: index + 1], service)
    hollows.leave([members.pop()])
    until(lambda: len(registry.records(service)) == 7, LIMIT_S, "the departed member removed")
    until_agreed(registry, hollows, members + added, service)
    assert faults.injected > 0
    hollows.until_equal_quotas(members + added)
    assert_unaffected(hollows, [members, added])
    hollows.leave(members + added)


def test_former_leader_that_lags_behind_sends_no_wrong_delta(
    registry: GroupRegistry, hollows: HollowMembers
) -> None:
    members = hollows.add("behind", 4)
    hollows.start(members)
    hollows.until_equal_quotas(members)
    behind = registry.leader()
    registry.partition(behind)
    isolated = members[0]  # calls only that instance; the others call the remaining two
    isolated.registry_link.can_reach = lambda index: index == behind
    for member in members[1:]:
        member.registry_link.can_reach = lambda index: index != behind
    until(lambda: registry.leader() != behind, LIMIT_S, "another leader")
    renewals = isolated.renewals
    added = hollows.add("behind", 2)
    for member in added:
        member.registry_link.can_reach = lambda index: index != behind
    hollows.start(added)
    until(
        lambda: {member.name for member in added} <= registry.states("behind").keys(),
        LIMIT_S,
        "records that the lagging instance does not have",
    )
    assert isolated.renewals == renewals  # no response since the partition
    registry.partition(behind, silent=False)
    until_agreed(registry, hollows, members + added, "behind")
    hollows.until_equal_quotas(members + added)
    assert_unaffected(hollows, [members[1:], added])
    hollows.leave(members + added)
