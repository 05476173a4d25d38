"""TOML configuration of the list service's programs, and their structured logs.

A configuration is read with `tomllib`; an error names the key and the line it stands on, or
the line that the TOML parser could not read.
"""

from __future__ import annotations

import logging
import re
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog

from loadbalancer.node.address import Address

# A peer unheard so long is dialled anew; pysyncobj starts with no election time above it, nor with one that
# is not above so many append periods.
CONNECTION_TIMEOUT_MS = 1_500
MIN_APPENDS_PER_ELECTION = 3
ENDPOINT = re.compile(r"^127(\.\d{1,3}){3}:\d{1,5}$|^localhost:\d{1,5}$")


class ConfigError(ValueError):
    """A configuration that can't be used: the message names the key and its line."""


@dataclass(slots=True, frozen=True)
class MemberSettings:
    """What the list service does for the fleet: `[members]` of an instance's file (docs/fleet.md)."""

    ttl_ms: int = 5_000  # a node's lease; the longest that any leader had counts for all
    clock_bound_ms: int = 250  # nodes' estimates of service time differ by less
    prepare_ms: int = 10_000  # a proposed route version has to be prepared by all in this time
    clock_offset_ms: int = 0  # for tests alone: sets this instance's clocks off
    groups: bool = False  # a group for each service that members name; once all instances know them


@dataclass(slots=True, frozen=True)
class InstanceSettings:
    """One instance of the list service: its file's tables `[instance]`, `[lease]`, `[watch]` and so on."""

    name: str
    listen: Address  # HTTP: PROTOCOL's reads and the registry's writes
    raft: str  # host:port of this instance among its peers
    peers: tuple[str, ...]  # the others' raft addresses
    data: Path  # the folder of the Raft journal and snapshot
    ttl_ms: int = 10_000  # a lease unrenewed so long lapses, and its target is Gone
    max_wait_ms: int = 60_000  # PROTOCOL's cap on a watch
    max_tombstones: int = 10_000  # tombstones kept for watches that come late
    # A follower applies a write when the leader's next append tells it the write is committed:
    # the append period bounds how late an instance that agents follow shows a change.
    append_period_ms: int = 10
    election_min_ms: int = 400  # a leader unheard so long (a random time up to the max) is replaced
    election_max_ms: int = 1_000
    members: MemberSettings = MemberSettings()


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """The per-machine agent: `[agent]` of its file."""

    listen: Address  # what the node knows as $PROXY_DISCOVERY
    registries: tuple[Address, ...]  # the instances, tried in turn
    wait_ms: int = 2_000  # of each watch on an instance: the longest a silent partition goes unseen
    retry_max_ms: int = 2_000  # the longest pause between failed calls
    empty_hold_ms: int = 10_000  # an empty whole list must last so long before it empties the cache


def parse_address(text: str) -> Address:
    """host:port on loopback; ValueError otherwise."""
    host, _, port = text.rpartition(":")
    if not ENDPOINT.match(text) or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not a loopback host:port")
    return host, int(port)


def _line(text: str, table: str, key: str) -> int:
    """Where the key stands in its table; a key of the same name in another is not it."""
    within, pattern = "", re.compile(rf"^\s*{re.escape(key)}\s*=")
    for number, line in enumerate(text.splitlines(), 1):
        header = re.match(r"^\s*\[([^\[\]]+)\]", line)
        if header:
            within = header.group(1).strip()
        elif within == table and pattern.match(line):
            return number
    return 0


def _read(path: Path) -> tuple[str, dict[str, Any]]:
    try:
        text = path.read_text()
        return text, tomllib.loads(text)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: {error}") from error


class _Fields:
    """Takes the keys of one table, each checked; an error names the key and its line."""

    def __init__(self, path: Path, text: str, table: str, row: dict[str, Any]) -> None:
        self._path, self._text, self._table, self._row = path, text, table, row

    def fail(self, key: str, why: str) -> ConfigError:
        where = _line(self._text, self._table, key)
        at = f" (line {where})" if where else ""  # a key that is missing stands on none
        return ConfigError(f"{self._path}: {self._table}.{key}{at}: {why}")

    def get(self, key: str, kind: type, default: Any = None, signed: bool = False) -> Any:
        value = self._row.get(key, default)
        if value is None:
            raise self.fail(key, "missing")
        if not isinstance(value, kind) or isinstance(value, bool) is not (kind is bool):
            raise self.fail(key, f"{value!r} is not a {kind.__name__}")
        if isinstance(value, int) and kind is int and value <= 0 and not signed:
            raise self.fail(key, f"{value} is not above 0")
        return value

    def address(self, key: str) -> Address:
        try:
            return parse_address(self.get(key, str))
        except ValueError as error:
            raise self.fail(key, str(error)) from error

    def addresses(self, key: str) -> tuple[Address, ...]:
        texts = self.get(key, list)
        try:
            return tuple(parse_address(text) for text in texts)
        except (ValueError, TypeError, AttributeError) as error:
            raise self.fail(key, f"not a list of loopback host:port: {error}") from error


def _table(path: Path, text: str, data: dict[str, Any], name: str) -> _Fields:
    row = data.get(name, {})
    if not isinstance(row, dict):
        raise ConfigError(f"{path}: [{name}] (line {_line(text, '', name)}): not a table")
    return _Fields(path, text, name, row)


def load_instance(path: Path) -> InstanceSettings:
    """An instance's configuration; ConfigError says what is wrong."""
    text, data = _read(path)
    node, lease, watch, raft_keys, members = (
        _table(path, text, data, name) for name in ("instance", "lease", "watch", "raft", "members")
    )
    peers = node.addresses("peers")
    raft = node.address("raft")
    folder = Path(node.get("data", str))
    append_period_ms = raft_keys.get("append_period_ms", int, 10)
    election_min_ms, election_max_ms = _election_times(raft_keys, append_period_ms)
    return InstanceSettings(
        name=node.get("name", str),
        listen=node.address("listen"),
        raft=f"{raft[0]}:{raft[1]}",
        peers=tuple(f"{host}:{port}" for host, port in peers),
        data=folder if folder.is_absolute() else path.parent / folder,
        ttl_ms=lease.get("ttl_ms", int, 10_000),
        max_wait_ms=min(watch.get("max_wait_ms", int, 60_000), 60_000),
        max_tombstones=watch.get("keep_gone", int, 10_000),
        append_period_ms=append_period_ms,
        election_min_ms=election_min_ms,
        election_max_ms=election_max_ms,
        members=_members(members),
    )


def _election_times(table: _Fields, append_period_ms: int) -> tuple[int, int]:
    """The least and the most; ConfigError for times that pysyncobj would not start with."""
    least, most = table.get("election_min_ms", int, 400), table.get("election_max_ms", int, 1_000)
    if least <= MIN_APPENDS_PER_ELECTION * append_period_ms:
        raise table.fail("election_min_ms", f"not above {MIN_APPENDS_PER_ELECTION} x append_period_ms")
    if least >= most:
        raise table.fail("election_max_ms", "not above election_min_ms")
    if most > CONNECTION_TIMEOUT_MS:
        raise table.fail("election_max_ms", f"{most} is over {CONNECTION_TIMEOUT_MS}")
    return least, most


def _members(table: _Fields) -> MemberSettings:
    ttl_ms = table.get("ttl_ms", int, 5_000)
    if not 200 <= ttl_ms <= 600_000:  # renewals come in a fifth of it, and pass Raft in some 50 ms
        raise table.fail("ttl_ms", f"{ttl_ms} is not from 200 to 600000")
    return MemberSettings(
        ttl_ms=ttl_ms,
        clock_bound_ms=table.get("clock_bound_ms", int, 250),
        prepare_ms=table.get("prepare_ms", int, 10_000),
        clock_offset_ms=table.get("clock_offset_ms", int, 0, signed=True),
        groups=table.get("groups", bool, False),
    )


def load_agent(path: Path) -> AgentSettings:
    """An agent's configuration; ConfigError says what is wrong."""
    text, data = _read(path)
    agent = _table(path, text, data, "agent")
    registries = agent.addresses("registries")
    if not registries:
        raise agent.fail("registries", "empty")
    return AgentSettings(
        listen=agent.address("listen"),
        registries=registries,
        wait_ms=min(agent.get("wait_ms", int, 2_000), 60_000),
        empty_hold_ms=agent.get("empty_hold_ms", int, 10_000),
        retry_max_ms=agent.get("retry_max_ms", int, 2_000),
    )


def start_logs(program: str, level: str = "info") -> structlog.stdlib.BoundLogger:
    """JSON lines on standard error, one an event, each with its time, level and program; the lines of
    libraries that log through `logging` (pysyncobj) come out the same way."""
    shared: list[structlog.typing.Processor] = [
        structlog.contextvars.merge_contextvars,
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(),
            ],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    logger: structlog.stdlib.BoundLogger = structlog.get_logger(program).bind(program=program)
    return logger
