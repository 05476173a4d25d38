"""What a node is told at its start, from the JSON of its configuration file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

from orchidledge.interface import Settings
from orchidledge.net import handover, maintenance
from orchidledge.net.discovery import Listing, parse_address, parse_listing
from orchidledge.net.upstream import Address
from orchidledge.settings import Row, settings_from

if TYPE_CHECKING:
    from orchidledge.net.fleet import FleetSettings


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
    members: FleetSettings | None = None  # the fleet's part; None: the node knows no other
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


def _members(row: Row | None) -> FleetSettings | None:
    if row is None:
        return None
    # Only a node that is told of members pays for the libraries that it needs for them.
    from orchidledge.net.fleet.settings import parse_settings

    return parse_settings(row)


def parse_config(data: bytes, environment: Mapping[str, str] | None = None) -> Config:
    """The configuration; ValueError says in one line what is wrong with it. What the environment tells
    comes first, as the second process of an upgrade may share the file with the first."""
    told = environment or {}
    try:
        row: Row = orjson.loads(data)
        bounds: Row = row["settings"].get("bounds") or {}
        given: Row = {
            "memory_mb": (row.get("limits") or {}).get("memory_mb"),
            "sockets": (row.get("limits") or {}).get("sockets"),
            "max_open": bounds.get("maxOpen"),
            "conn_idle_ms": bounds.get("connIdleMs"),
            "connect_timeout_ms": bounds.get("connectTimeoutMs"),
            "ask_within_ms": (row["settings"].get("invariants") or {}).get("askWithinMs"),
            "state_every_ms": row.get("state_every_ms"),
        }
        for key, value in given.items():
            if value is not None and not (isinstance(value, int | float) and value > 0):
                raise ValueError(f"{key}: {value!r} is not a number above 0")
        operator = told.get("PROXY_OPERATOR") or row.get("operator")
        state = told.get("PROXY_STATE") or row.get("state")
        if state is not None and not (isinstance(state, str) and state):
            raise ValueError(f"state: {state!r} is not a path")
        return Config(
            name=str(row["name"]),
            listen=parse_address(row["listen"]),
            discovery=parse_address(row["discovery"]),
            seed=int(row["seed"], 16),
            known=parse_listing(row["known"]),
            settings=settings_from(row["settings"]),
            operator=parse_address(operator) if operator else None,
            maintenance=_folder(told.get("TMPDIR"), maintenance.FOLDER),
            handover=_folder(told.get("TMPDIR"), handover.FOLDER),
            accept_fd=told.get("PROXY_ACCEPT_FD") or None,
            state=Path(state) if state else None,
            members=_members(row.get("members")),
            **{key: value for key, value in given.items() if value is not None},
        )
    except KeyError as error:
        raise ValueError(f"{error.args[0]}: missing") from error
    except (TypeError, AttributeError) as error:
        raise ValueError(f"malformed: {error}") from error
