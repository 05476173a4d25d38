"""Commands in the list service's log: their numbers and arguments, and draining in a group."""

from __future__ import annotations

import inspect

from pysyncobj import SyncObj, SyncObjConf

from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.commands import EnrolMember, encode
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.service_clock import ServiceClock

# The commands of the first release with a fleet, in the order of their numbers, which start at 0. Journals
# contain these numbers instead of names, so each must permanently mean the same command with the same
# arguments.
RELEASED = [
    *("expire", "grace", "put", "remove", "renew"),  # of TargetCatalog; the others are FleetCatalog's
    *("decide", "enrol", "expire", "halt", "lead", "leave", "leaving", "propose", "remove", "renew_many"),
    *("rollback", "vote"),
]
ADDED = ["write"]
ARGUMENTS = {
    "decide": "stamp term",
    "enrol": "stamp term name address zone start",
    "expire": "stamp term lapsed support repeats",
    "halt": "stamp term number",
    "lead": "stamp term http epoch ttl_ms bound_ms",
    "leave": "stamp term incarnation",
    "leaving": "stamp term incarnation",
    "propose": "stamp term text deadline_ms",
    "remove": "stamp term name",
    "renew_many": "stamp term renewals",
    "rollback": "stamp term number deadline_ms",
    "vote": "stamp term incarnation number yes why",
    "write": "stamp term commands",
}

TARGET_ARGUMENTS = {
    "expire": "now_ms ttl_ms",
    "grace": "now_ms",
    "put": "target at_ms",
    "remove": "uid at_ms",
    "renew": "uids at_ms",
}


def catalogs() -> tuple[TargetCatalog, FleetCatalog]:
    fleet = FleetCatalog(ServiceClock(None), lambda: 0.0, lambda groups: None)
    return TargetCatalog(max_tombstones=1, on_change=lambda revision: None), fleet


def test_command_numbers_are_those_of_released_journals() -> None:
    targets, fleet = catalogs()
    raft = SyncObj(None, [], SyncObjConf(autoTick=False), consumers=[targets, fleet])
    try:
        numbered = [raft._idToMethod[number].__name__ for number in sorted(raft._idToMethod)]
    finally:
        raft.destroy()
    assert [name.removesuffix("_v0") for name in numbered] == RELEASED + ADDED


def test_target_commands_are_numbered_before_fleet_commands() -> None:
    targets, fleet = catalogs()
    raft = SyncObj(None, [], SyncObjConf(autoTick=False), consumers=[targets, fleet])
    try:
        owners = [raft._idToMethod[number].__self__ for number in range(len(RELEASED + ADDED))]
    finally:
        raft.destroy()
    assert owners == [targets] * len(TARGET_ARGUMENTS) + [fleet] * len(ARGUMENTS)


def test_target_commands_have_released_arguments() -> None:
    for name, arguments in TARGET_ARGUMENTS.items():
        command = inspect.unwrap(getattr(TargetCatalog, name))
        assert list(inspect.signature(command).parameters)[1:] == arguments.split(), name


def test_fleet_commands_have_released_arguments() -> None:
    for name, arguments in ARGUMENTS.items():
        command = inspect.unwrap(getattr(FleetCatalog, name))
        assert list(inspect.signature(command).parameters)[1:] == arguments.split(), name


def test_draining_member_keeps_quota_and_raises_group_revision() -> None:
    _, fleet = catalogs()
    fleet.lead(0.0, 1, "127.0.0.1:1", None, 1_000.0, 50.0, _doApply=True)
    for name in ("n1", "n2"):
        command = encode(EnrolMember(name, f"127.0.0.1:{name[1:]}", "z", name, "pay"))
        fleet.write(1.0, 1, [command], _doApply=True)
    before = fleet.read(lambda state: state.services["pay"].revision)
    assert fleet.leaving(2.0, 1, 1, _doApply=True) is True
    assert [(member["state"], member["share"]) for member in fleet.members("pay")["members"]] == [
        ("leaving", 1.0),
        ("live", 0.0),
    ]
    assert fleet.read(lambda state: state.services["pay"].revision) == before + 1
