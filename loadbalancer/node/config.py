"""What a node is told at its start, from the JSON of its configuration file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from string import hexdigits
from typing import TYPE_CHECKING

import orjson

from loadbalancer.node.address import Address, parse_address
from loadbalancer.node.discovery.watcher import DiscoveryResponse, decode_response
from loadbalancer.node.state import ejections as maintenance
from loadbalancer.node.state import handover
from loadbalancer.service_settings import Settings, check_within
from loadbalancer.settings import JsonObject, section, settings_from, text_of

if TYPE_CHECKING:
    from loadbalancer.node.membership_settings import MembershipSettings


LEAST = 0.001  # of any figure that has to be above 0


@dataclass(slots=True, frozen=True)
class NodeConfig:
    name: str
    listen: Address
    discovery: Address
    seed: int
    initial_list: DiscoveryResponse
    settings: Settings
    admin_address: Address | None = None  # the operators' door
    accept_fd: str | None = None  # descriptor of the clients' listening socket, where the platform holds it
    ejections_folder: Path | None = None  # the folder of the bans that two processes of a node share
    handover_folder: Path | None = None  # and of what they tell each other
    state_path: Path | None = None  # the state file, kept across a crash; None: nothing is kept
    state_write_interval_ms: float = 1000.0  # how often it is written
    membership: MembershipSettings | None = None  # the fleet's part; None: the node knows no other
    memory_mb: float = 2048.0
    max_descriptors: int = 1024  # descriptors for everything
    max_open_requests: int = 20_000  # requests open at once
    connection_idle_ms: float = 15_000.0  # after which a server closes an idle connection
    connect_timeout_ms: float = 250.0
    poll_deadline_ms: float = 10_000.0  # a node that has not asked for so long counts as told

    @property
    def membership_descriptors(self) -> int:
        """Of `sockets`, those for siblings' kept connections: one to each, and one from each."""
        return 0 if self.membership is None else min(256, self.max_descriptors // 4)


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


def _known(row: JsonObject) -> DiscoveryResponse:
    try:
        return decode_response(row["known"])
    except ValueError as error:
        raise ValueError(f"known: {error}") from error


def _figures(row: JsonObject, settings: JsonObject) -> JsonObject:
    """The figures that are given, each by its name in Config: where one is not, Config's default holds."""
    limits, bounds = section(row, "limits"), section(settings, "bounds")
    invariants = section(settings, "invariants")
    given = {
        "memory_mb": ("memory_mb", limits.get("memory_mb")),
        "sockets": ("max_descriptors", limits.get("sockets")),
        "max_open": ("max_open_requests", bounds.get("maxOpen")),
        "conn_idle_ms": ("connection_idle_ms", bounds.get("connIdleMs")),
        "connect_timeout_ms": ("connect_timeout_ms", bounds.get("connectTimeoutMs")),
        "ask_within_ms": ("poll_deadline_ms", invariants.get("askWithinMs")),
        "state_every_ms": ("state_write_interval_ms", row.get("state_every_ms")),
    }
    found: JsonObject = {}
    for key, (name, value) in given.items():
        if value is not None:
            check_within(key, value, LEAST)
            found[name] = value
    return found


def _members(row: JsonObject | None) -> MembershipSettings | None:
    if row is None:
        return None
    # Only a node that is told of members pays for the libraries that it needs for them.
    from loadbalancer.node.membership_settings import parse_membership_settings

    return parse_membership_settings(row)


def parse_config(data: bytes, environment: Mapping[str, str] | None = None) -> NodeConfig:
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
    return NodeConfig(
        name=text_of(row, "name"),
        listen=_address("listen", row["listen"]),
        discovery=_address("discovery", row["discovery"]),
        seed=_seed(row),
        initial_list=_known(row),
        settings=settings_from(settings),
        admin_address=_address("operator", operator) if operator else None,
        ejections_folder=_folder(told.get("TMPDIR"), maintenance.FOLDER_NAME),
        handover_folder=_folder(told.get("TMPDIR"), handover.FOLDER_NAME),
        accept_fd=told.get("PROXY_ACCEPT_FD") or None,
        state_path=Path(state) if state else None,
        membership=_members(row.get("members")),
        **_figures(row, settings),
    )
