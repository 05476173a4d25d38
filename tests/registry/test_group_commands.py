"""Commands as they stand in the list service's log: their numbers, and what they do to rows of a group."""

from __future__ import annotations

import inspect

from pysyncobj import SyncObj, SyncObjConf

from loadbalancer.registry.catalog import TargetCatalog
from loadbalancer.registry.commands import EnrolMember, encode
from loadbalancer.registry.fleet_catalog import FleetCatalog
from loadbalancer.registry.service_clock import ServiceClock

# What the journals of the first release with a fleet hold in place of names, from 0 on: a journal is read by
# these numbers, so each must name the same command with the same arguments for good.
RELEASED = [
    *("expire", "grace", "put", "remove", "renew"),  # of the catalog
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


def test_a_number_in_a_journal_names_the_same_command_for_good() -> None:
    targets, fleet = catalogs()
    raft = SyncObj(None, [], SyncObjConf(autoTick=False), consumers=[targets, fleet])
    try:
        numbered = [raft._idToMethod[number].__name__ for number in sorted(raft._idToMethod)]
    finally:
        raft.destroy()
    assert [name.removesuffix("_v0") for name in numbered] == RELEASED + ADDED


def test_the_commands_on_targets_have_the_first_numbers_and_those_on_the_fleet_the_rest() -> None:
    targets, fleet = catalogs()
    raft = SyncObj(None, [], SyncObjConf(autoTick=False), consumers=[targets, fleet])
    try:
        owners = [raft._idToMethod[number].__self__ for number in range(len(RELEASED + ADDED))]
    finally:
        raft.destroy()
    assert owners == [targets] * len(TARGET_ARGUMENTS) + [fleet] * len(ARGUMENTS)


def test_a_command_on_targets_has_the_arguments_that_it_was_written_with() -> None:
    for name, arguments in TARGET_ARGUMENTS.items():
        command = inspect.unwrap(getattr(TargetCatalog, name))
        assert list(inspect.signature(command).parameters)[1:] == arguments.split(), name


def test_a_command_of_a_journal_has_the_arguments_that_it_was_written_with() -> None:
    for name, arguments in ARGUMENTS.items():
        command = inspect.unwrap(getattr(FleetCatalog, name))
        assert list(inspect.signature(command).parameters)[1:] == arguments.split(), name


def test_a_member_of_a_group_that_drains_is_told_to_the_others_and_keeps_its_share() -> None:
    _, fleet = catalogs()
    fleet.lead(0.0, 1, "127.0.0.1:1", None, 1_000.0, 50.0, _doApply=True)
    for name in ("n1", "n2"):
        command = encode(EnrolMember(name, f"127.0.0.1:{name[1:]}", "z", name, "pay"))
        fleet.write(1.0, 1, [command], _doApply=True)
    before = fleet.read(lambda state: state.services["pay"].revision)
    assert fleet.leaving(2.0, 1, 1, _doApply=True) is True
    assert [(row["state"], row["share"]) for row in fleet.members("pay")["members"]] == [
        ("leaving", 1.0),
        ("live", 0.0),
    ]
    assert fleet.read(lambda state: state.services["pay"].revision) == before + 1
