"""The node's configuration, from the JSON of its configuration file and from the environment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from string import hexdigits
from typing import TYPE_CHECKING, NamedTuple

import orjson

from loadbalancer.node.address import Address, parse_address
from loadbalancer.node.discovery.response import DiscoveryResponse, decode_response
from loadbalancer.node.errors import (
    AddressError,
    ConfigFormError,
    InvalidSettingError,
    MalformedSettingError,
    MissingSettingError,
)
from loadbalancer.node.state import ejections, handover
from loadbalancer.service_settings import Settings, check_within
from loadbalancer.settings import JsonObject, parse_settings, section, text_of

if TYPE_CHECKING:
    from loadbalancer.node.membership_settings import MembershipSettings

REQUIRED_KEYS = ("listen", "discovery", "known", "settings")
MIN_POSITIVE_NUMBER = 0.001  # of a number that has to be above 0
MAX_MEMBERSHIP_DESCRIPTORS = 256
MEMBERSHIP_DESCRIPTORS_DIVISOR = 4  # siblings' connections take at most this part of all descriptors
HEX_BASE = 16


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """What a node is configured to be; an optional part that is None is off."""

    name: str
    listen: Address  # for callers
    discovery: Address
    seed: int  # of random draws
    initial_list: DiscoveryResponse
    settings: Settings
    admin_address: Address | None = None
    accept_fd: str | None = None  # descriptor of the callers' listening socket, where the platform holds it
    ejections_folder: Path | None = None  # shared by two processes of a node, as is the next
    handover_folder: Path | None = None
    state_path: Path | None = None  # the state file
    state_write_interval_ms: float = 1000.0
    membership: MembershipSettings | None = None
    memory_mb: float = 2048.0
    max_descriptors: int = 1024
    max_open_requests: int = 20_000
    connection_idle_ms: float = 15_000.0  # after which an endpoint closes an idle connection
    connect_timeout_ms: float = 250.0
    poll_deadline_ms: float = 10_000.0  # within which discovery has to be polled again

    @property
    def membership_descriptors(self) -> int:
        """The part of `max_descriptors` for siblings' kept connections: one to each, and one from each."""
        if self.membership is None:
            return 0
        return min(MAX_MEMBERSHIP_DESCRIPTORS, self.max_descriptors // MEMBERSHIP_DESCRIPTORS_DIVISOR)


class _NumberSetting(NamedTuple):
    """A number in the configuration file, for which the default of NodeConfig holds where it is absent."""

    field: str  # of NodeConfig
    label: str  # in error messages
    section: str
    key: str


_NUMBERS = (
    _NumberSetting("memory_mb", "memory_mb", "limits", "memory_mb"),
    _NumberSetting("max_descriptors", "sockets", "limits", "sockets"),
    _NumberSetting("max_open_requests", "max_open", "bounds", "maxOpen"),
    _NumberSetting("connection_idle_ms", "conn_idle_ms", "bounds", "connIdleMs"),
    _NumberSetting("connect_timeout_ms", "connect_timeout_ms", "bounds", "connectTimeoutMs"),
    _NumberSetting("poll_deadline_ms", "ask_within_ms", "invariants", "askWithinMs"),
    _NumberSetting("state_write_interval_ms", "state_every_ms", "", "state_every_ms"),
)


def parse_config(data: bytes, environment: Mapping[str, str] | None = None) -> NodeConfig:
    """Return the configuration; raise ValueError that says in one line what is wrong with it.

    The environment takes precedence, as the second process of an upgrade may share the file with the first.
    """
    variables = environment or {}
    row = orjson.loads(data)
    if not isinstance(row, dict):
        raise ConfigFormError
    for key in REQUIRED_KEYS:
        if row.get(key) is None:
            raise MissingSettingError(key)
    settings = section(row, "settings")
    admin_address = variables.get("PROXY_OPERATOR") or row.get("operator")
    state = variables.get("PROXY_STATE") or row.get("state")
    if state is not None and not (isinstance(state, str) and state):
        raise InvalidSettingError(setting="state", value=state, expected="a path")
    return NodeConfig(
        name=text_of(row, "name"),
        listen=_address("listen", row["listen"]),
        discovery=_address("discovery", row["discovery"]),
        seed=_seed(row),
        initial_list=_initial_list(row),
        settings=parse_settings(settings),
        admin_address=_address("operator", admin_address) if admin_address else None,
        ejections_folder=_shared_folder(variables, ejections.FOLDER_NAME),
        handover_folder=_shared_folder(variables, handover.FOLDER_NAME),
        accept_fd=variables.get("PROXY_ACCEPT_FD") or None,
        state_path=Path(state) if state else None,
        membership=_membership(row.get("members")),
        **_numbers(row, settings),
    )


def _shared_folder(variables: Mapping[str, str], name: str) -> Path | None:
    folder = variables.get("TMPDIR")
    return Path(folder) / name if folder else None


def _address(key: str, value: object) -> Address:
    """An address whose host a listener or a connection takes, if only to fail with OSError."""
    try:
        host, port = parse_address(value)
        if not host.isprintable():
            raise AddressError(value)
        host.encode("idna")
    except ValueError as error:
        raise MalformedSettingError(key, error) from error
    return host, port


def _seed(row: JsonObject) -> int:
    value = text_of(row, "seed")
    if not set(value) <= set(hexdigits):
        raise InvalidSettingError(setting="seed", value=value, expected="hexadecimal")
    return int(value, HEX_BASE)


def _initial_list(row: JsonObject) -> DiscoveryResponse:
    try:
        return decode_response(row["known"])
    except ValueError as error:
        raise MalformedSettingError(setting="known", reason=error) from error


def _numbers(row: JsonObject, settings: JsonObject) -> JsonObject:
    """The numbers that are given, by their fields of NodeConfig."""
    sections = {
        "": row,
        "limits": section(row, "limits"),
        "bounds": section(settings, "bounds"),
        "invariants": section(settings, "invariants"),
    }
    given: JsonObject = {}
    for number in _NUMBERS:
        value = sections[number.section].get(number.key)
        if value is not None:
            check_within(number.label, value, MIN_POSITIVE_NUMBER)
            given[number.field] = value
    return given


def _membership(row: JsonObject | None) -> MembershipSettings | None:
    if row is None:
        return None
    # Imported only where it is needed, for the memory and start time of its libraries.
    from loadbalancer.node.membership_settings import parse_membership_settings

    return parse_membership_settings(row)
