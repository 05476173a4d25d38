"""Settings of the list service's programs, read from TOML files.

An error names the key and its line, or the line that the TOML parser rejected.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from loadbalancer.node.address import Address
from loadbalancer.registry.addresses import format_address
from loadbalancer.registry.toml_table import TomlFile, TomlTable
from loadbalancer.registry.watch import MAX_WAIT_MS

# pysyncobj reconnects a connection that was silent for this time. It does not start with an election timeout
# above it, nor with one of MIN_APPEND_PERIODS append periods or fewer.
CONNECTION_TIMEOUT_MS = 1_500
MIN_APPEND_PERIODS = 3

# Five renewals are sent per lease term, and each takes about 50 ms to commit.
MIN_MEMBER_LEASE_MS = 200
MAX_MEMBER_LEASE_MS = 600_000


@dataclass(slots=True, frozen=True)
class MemberSettings:
    """Settings of the fleet's members: `[members]` of an instance's file (docs/fleet.md)."""

    ttl_ms: int = 5_000  # a node's lease term; the longest of all leaders so far is in force
    clock_bound_ms: int = 250  # upper bound on the difference of nodes' estimates of service time
    prepare_ms: int = 10_000  # time within which all members must prepare a proposed route version
    clock_offset_ms: int = 0  # only for tests: shifts this instance's clocks
    groups: bool = False  # one group per service that members name; requires support by all instances


@dataclass(slots=True, frozen=True)
class InstanceSettings:
    """Settings of an instance: `[instance]`, `[lease]`, `[watch]`, `[raft]` and `[members]` of its file."""

    name: str
    listen: Address  # HTTP: PROTOCOL's reads and the registry's writes
    raft: str  # host:port for Raft
    peers: tuple[str, ...]  # the other instances' host:port for Raft
    data: Path  # the folder of the Raft journal and snapshot
    ttl_ms: int = 10_000  # a target whose lease is not renewed for this time is removed
    max_wait_ms: int = MAX_WAIT_MS  # longest wait of a watch
    max_tombstones: int = 10_000  # stored for watches from earlier revisions; `keep_gone` in the file
    # A follower applies a write when the leader's next append reports it as committed, so the append period
    # bounds the delay after which watches on a follower see a change.
    append_period_ms: int = 10
    election_min_ms: int = 400  # minimum of the random timeout after which a silent leader is replaced
    election_max_ms: int = 1_000
    members: MemberSettings = MemberSettings()


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """Settings of the per-machine agent: `[agent]` of its file."""

    listen: Address  # the node's $PROXY_DISCOVERY
    registries: tuple[Address, ...]  # the instances, tried in turn
    # The wait of each watch on an instance, and so the longest time until a silent partition is noticed.
    wait_ms: int = 2_000
    retry_max_ms: int = 2_000  # the longest backoff between failed calls
    empty_hold_ms: int = 10_000  # time before an empty list replaces the cached targets


def load_instance(path: Path) -> InstanceSettings:
    """Read an instance's settings; raise ConfigError if they are invalid."""
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
    """Return the minimum and maximum in ms; raise ConfigError if pysyncobj would not start with them."""
    min_ms = raft.positive("election_min_ms", default["election_min_ms"])
    max_ms = raft.positive("election_max_ms", default["election_max_ms"])
    if min_ms <= MIN_APPEND_PERIODS * append_period_ms:
        raise raft.error(key="election_min_ms", problem=f"not above {MIN_APPEND_PERIODS} x append_period_ms")
    if min_ms >= max_ms:
        raise raft.error(key="election_max_ms", problem="not above election_min_ms")
    if max_ms > CONNECTION_TIMEOUT_MS:
        raise raft.error(key="election_max_ms", problem=f"{max_ms} is over {CONNECTION_TIMEOUT_MS}")
    return min_ms, max_ms


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
    """Read an agent's settings; raise ConfigError if they are invalid."""
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
    """Return the default value of each field of a settings class."""
    return {field.name: field.default for field in fields(settings)}
