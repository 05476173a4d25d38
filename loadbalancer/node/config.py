"""What a node is told at its start, from the JSON of its configuration file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from string import hexdigits
from typing import TYPE_CHECKING

import orjson

from loadbalancer.node.address import Address, parse_address
from loadbalancer.node.discovery.watcher import Listing, parse_listing
from loadbalancer.node.state import ejections as maintenance
from loadbalancer.node.state import handover
from loadbalancer.service_settings import Settings, check_within
from loadbalancer.settings import JsonObject, section, settings_from, text_of

if TYPE_CHECKING:
    from loadbalancer.node.membership_settings import MembershipSettings


LEAST = 0.001  # of any figure that has to be above 0


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    known: Listing
    settings: Settings
    operator: Address | None = None  # the operators' door
    accept_fd: str | None = None  # descriptor of the clients' listening socket, where the platform holds it
    maintenance: Path | None = None  # the folder of the bans that two processes of a node share
    handover: Path | None = None  # and of what they tell each other
    state: Path | None = None  # the state file, kept across a crash; None: nothing is kept
    state_every_ms: float = 1000.0  # how often it is written
    members: MembershipSettings | None = None  # the fleet's part; None: the node knows no other
    memory_mb: float = 2048.0
    sockets: int = 1024  # descriptors for everything
    max_open: int = 20_000  # requests open at once
    conn_idle_ms: float = 15_000.0  # after which a server closes an idle connection
    connect_timeout_ms: float = 250.0
    ask_within_ms: float = 10_000.0  # a node that has not asked for so long counts as told

    @property
    def member_sockets(self) -> int:
        """Of `sockets`, those for siblings' kept connections: one to each, and one from each."""
        return 0 if self.members is None else min(256, self.sockets // 4)


def _folder(tmpdir: str | None, name: str) -> Path | None:
    return Path(tmpdir) / name if tmpdir else None


def _address(key: str, value: object) -> Address:
    try:
        host, port = parse_address(value)
        # Guard: these two raised past the listener's OSError, with a traceback.
        if not host.isprintable():
            raise ValueError(f"{value!r} is not an address and a port")
        host.encode("idna")
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from error
    return host, port


def _seed(row: JsonObject) -> int:
    value = text_of(row, "seed")
    if not set(value) <= set(hexdigits):
        raise ValueError(f"seed: {value!r} is not hexadecimal")
    return int(value, 16)


def _known(row: JsonObject) -> Listing:
    try:
        return parse_listing(row["known"])
    except ValueError as error:
        raise ValueError(f"known: {error}") from error


def _figures(row: JsonObject, settings: JsonObject) -> JsonObject:
    """The figures that are given, each by its name in Config: where one is not, Config's default holds."""
    limits, bounds = section(row, "limits"), section(settings, "bounds")
    given: JsonObject = {
        "memory_mb": limits.get("memory_mb"),
        "sockets": limits.get("sockets"),
        "max_open": bounds.get("maxOpen"),
        "conn_idle_ms": bounds.get("connIdleMs"),
        "connect_timeout_ms": bounds.get("connectTimeoutMs"),
        "ask_within_ms": section(settings, "invariants").get("askWithinMs"),
        "state_every_ms": row.get("state_every_ms"),
    }
    given = {key: value for key, value in given.items() if value is not None}
    for key, value in given.items():
        check_within(key, value, LEAST)
    return given


def _members(row: JsonObject | None) -> MembershipSettings | None:
    if row is None:
        return None
    # Only a node that is told of members pays for the libraries that it needs for them.
    from loadbalancer.node.membership_settings import parse_membership_settings

    return parse_membership_settings(row)


def parse_config(data: bytes, environment: Mapping[str, str] | None = None) -> Config:
    """The configuration; ValueError says in one line what is wrong with it. What the environment tells
    comes first, as the second process of an upgrade may share the file with the first."""
    told = environment or {}
    row = orjson.loads(data)
    if not isinstance(row, dict):
        raise ValueError("the configuration is not an object")
    for key in ("listen", "discovery", "known", "settings"):
        if row.get(key) is None:
            raise ValueError(f"{key}: missing")
    settings = section(row, "settings")
    operator = told.get("PROXY_OPERATOR") or row.get("operator")
    state = told.get("PROXY_STATE") or row.get("state")
    if state is not None and not (isinstance(state, str) and state):
        raise ValueError(f"state: {state!r} is not a path")
    return Config(
        name=text_of(row, "name"),
        listen=_address("listen", row["listen"]),
        discovery=_address("discovery", row["discovery"]),
        seed=_seed(row),
        known=_known(row),
        settings=settings_from(settings),
        operator=_address("operator", operator) if operator else None,
        maintenance=_folder(told.get("TMPDIR"), maintenance.FOLDER),
        handover=_folder(told.get("TMPDIR"), handover.FOLDER),
        accept_fd=told.get("PROXY_ACCEPT_FD") or None,
        state=Path(state) if state else None,
        members=_members(row.get("members")),
        **_figures(row, settings),
    )
