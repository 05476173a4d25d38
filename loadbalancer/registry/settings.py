"""Settings of the list service's programs, read from TOML files.

An error names the key and its line, or the line that the TOML parser could not read.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from loadbalancer.node.address import Address
from loadbalancer.registry.addresses import format_address
from loadbalancer.registry.toml_table import TomlFile, TomlTable
from loadbalancer.registry.watch import MAX_WAIT_MS

# pysyncobj opens a connection anew that was silent for so long. It does not start with an election time above
# it, nor with one that is not above so many append periods.
CONNECTION_TIMEOUT_MS = 1_500
MIN_APPEND_PERIODS = 3

# Renewals are sent every fifth of the lease, and each takes some 50 ms to commit.
MIN_MEMBER_LEASE_MS = 200
MAX_MEMBER_LEASE_MS = 600_000


@dataclass(slots=True, frozen=True)
class MemberSettings:
    """What the list service does for the fleet: `[members]` of an instance's file (docs/fleet.md)."""

    ttl_ms: int = 5_000  # a node's lease; the longest that any leader had is in force for all
    clock_bound_ms: int = 250  # nodes' estimates of service time differ by less
    prepare_ms: int = 10_000  # a proposed route version has to be prepared by all in this time
    clock_offset_ms: int = 0  # for tests alone: sets this instance's clocks wrong
    groups: bool = False  # a group for each service that members name; once all instances know them


@dataclass(slots=True, frozen=True)
class InstanceSettings:
    """One instance of the list service: its file's tables `[instance]`, `[lease]`, `[watch]` and so on."""

    name: str
    listen: Address  # HTTP: PROTOCOL's reads and the registry's writes
    raft: str  # host:port of this instance among its peers
    peers: tuple[str, ...]  # the others' raft addresses
    data: Path  # the folder of the Raft journal and snapshot
    ttl_ms: int = 10_000  # a target whose lease is not renewed for so long is removed
    max_wait_ms: int = MAX_WAIT_MS  # of a watch
    max_tombstones: int = 10_000  # kept for watches from earlier revisions; the file's `keep_gone`
    # A follower applies a write when the leader's next append says that it is committed, so the append period
    # bounds how late an instance that agents follow shows a change.
    append_period_ms: int = 10
    election_min_ms: int = 400  # a leader silent for so long (a random time up to the maximum) is replaced
    election_max_ms: int = 1_000
    members: MemberSettings = MemberSettings()


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """The per-machine agent: `[agent]` of its file."""

    listen: Address  # what the node knows as $PROXY_DISCOVERY
    registries: tuple[Address, ...]  # the instances, asked in turn
    wait_ms: int = (
        2_000  # of each watch on an instance, and so the longest time a silent partition goes unseen
    )
    retry_max_ms: int = 2_000  # the longest backoff between failed calls
    empty_hold_ms: int = 10_000  # a complete list without targets empties the cache only after so long


def load_instance(path: Path) -> InstanceSettings:
    """An instance's settings; ConfigError says what is wrong."""
    file = TomlFile(path)
    instance, lease, watch, raft, members = (
        file.table(name) for name in ("instance", "lease", "watch", "raft", "members")
    )
    default = _defaults(InstanceSettings)
    peers = instance.addresses("peers")
    raft_address = instance.address("raft")
    folder = Path(instance.text("data"))
    append_period_ms = raft.positive("append_period_ms", default["append_period_ms"])
    election_min_ms, election_max_ms = _election_times(raft, append_period_ms, default)
    return InstanceSettings(
        name=instance.text("name"),
        listen=instance.address("listen"),
        raft=format_address(raft_address),
        peers=tuple(format_address(peer) for peer in peers),
        data=folder if folder.is_absolute() else path.parent / folder,
        ttl_ms=lease.positive("ttl_ms", default["ttl_ms"]),
        max_wait_ms=min(watch.positive("max_wait_ms", default["max_wait_ms"]), MAX_WAIT_MS),
        max_tombstones=watch.positive("keep_gone", default["max_tombstones"]),
        append_period_ms=append_period_ms,
        election_min_ms=election_min_ms,
        election_max_ms=election_max_ms,
        members=_load_members(members),
    )


def _election_times(raft: TomlTable, append_period_ms: int, default: dict[str, Any]) -> tuple[int, int]:
    """The least and the most, in ms; ConfigError for times with which pysyncobj would not start."""
    least = raft.positive("election_min_ms", default["election_min_ms"])
    most = raft.positive("election_max_ms", default["election_max_ms"])
    if least <= MIN_APPEND_PERIODS * append_period_ms:
        raise raft.error(key="election_min_ms", problem=f"not above {MIN_APPEND_PERIODS} x append_period_ms")
    if least >= most:
        raise raft.error(key="election_max_ms", problem="not above election_min_ms")
    if most > CONNECTION_TIMEOUT_MS:
        raise raft.error(key="election_max_ms", problem=f"{most} is over {CONNECTION_TIMEOUT_MS}")
    return least, most


def _load_members(members: TomlTable) -> MemberSettings:
    default = _defaults(MemberSettings)
    ttl_ms = members.positive("ttl_ms", default["ttl_ms"])
    if not MIN_MEMBER_LEASE_MS <= ttl_ms <= MAX_MEMBER_LEASE_MS:
        raise members.error(
            key="ttl_ms", problem=f"{ttl_ms} is not from {MIN_MEMBER_LEASE_MS} to {MAX_MEMBER_LEASE_MS}"
        )
    return MemberSettings(
        ttl_ms=ttl_ms,
        clock_bound_ms=members.positive("clock_bound_ms", default["clock_bound_ms"]),
        prepare_ms=members.positive("prepare_ms", default["prepare_ms"]),
        clock_offset_ms=members.integer("clock_offset_ms", default["clock_offset_ms"]),
        groups=members.flag("groups", default["groups"]),
    )


def load_agent(path: Path) -> AgentSettings:
    """An agent's settings; ConfigError says what is wrong."""
    agent = TomlFile(path).table("agent")
    default = _defaults(AgentSettings)
    registries = agent.addresses("registries")
    if not registries:
        raise agent.error(key="registries", problem="empty")
    return AgentSettings(
        listen=agent.address("listen"),
        registries=registries,
        wait_ms=min(agent.positive("wait_ms", default["wait_ms"]), MAX_WAIT_MS),
        empty_hold_ms=agent.positive("empty_hold_ms", default["empty_hold_ms"]),
        retry_max_ms=agent.positive("retry_max_ms", default["retry_max_ms"]),
    )


def _defaults(settings: type[Any]) -> dict[str, Any]:
    """The default value of each field of a settings class."""
    return {field.name: field.default for field in fields(settings)}
