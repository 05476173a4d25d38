"""The node's configuration, read from its JSON file and from environment variables."""

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
from loadbalancer.node.state import ejections, executed_id_log, handover
from loadbalancer.service_settings import Settings, check_within
from loadbalancer.settings import JsonObject, parse_settings, section, text_of

if TYPE_CHECKING:
    from loadbalancer.node.membership_settings import MembershipSettings

REQUIRED_KEYS = ("listen", "discovery", "known", "settings")
MIN_POSITIVE_NUMBER = 0.001  # lower bound of numbers that must be above 0
MAX_MEMBERSHIP_DESCRIPTORS = 256
MEMBERSHIP_DESCRIPTORS_DIVISOR = 4  # siblings' connections get at most 1/this of all descriptors
HEX_BASE = 16


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """Configuration of a node; None turns an optional feature off."""

    name: str
    listen: Address  # for clients
    discovery: Address
    seed: int  # of random draws
    initial_list: DiscoveryResponse
    settings: Settings
    admin_address: Address | None = None
    accept_fd: str | None = None  # descriptor of an inherited listening socket for clients
    # Both processes of a node share these folders during an upgrade.
    ejections_folder: Path | None = None
    handover_folder: Path | None = None
    executed_ids_folder: Path | None = None
    state_path: Path | None = None  # of the state file
    state_write_interval_ms: float = 1000.0
    membership: MembershipSettings | None = None
    memory_mb: float = 2048.0
    max_descriptors: int = 1024
    max_open_requests: int = 20_000
    connection_idle_ms: float = 15_000.0  # idle timeout at the servers, which then close the connection
    connect_timeout_ms: float = 250.0
    poll_deadline_ms: float = 10_000.0  # maximum time between two polls of discovery

    @property
    def membership_descriptors(self) -> int:
        """Return the part of `max_descriptors` for sibling connections: one to and one from each sibling."""
        if self.membership is None:
            return 0
        return min(MAX_MEMBERSHIP_DESCRIPTORS, self.max_descriptors // MEMBERSHIP_DESCRIPTORS_DIVISOR)


class _NumberSetting(NamedTuple):
    """A number in the configuration file; if absent, the default in NodeConfig applies."""

    field: str  # name in NodeConfig
    label: str  # name in error messages
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
    """Return the configuration; raise ValueError with a one-line reason if it is invalid.

    Environment variables take precedence over the file, because the two processes of an upgrade may share it.
    """
    variables = environment or {}
    document = orjson.loads(data)
    if not isinstance(document, dict):
        raise ConfigFormError
    for key in REQUIRED_KEYS:
        if document.get(key) is None:
            raise MissingSettingError(key)
    settings = section(document, "settings")
    admin_address = variables.get("PROXY_OPERATOR") or document.get("operator")
    state = variables.get("PROXY_STATE") or document.get("state")
    if state is not None and not (isinstance(state, str) and state):
        raise InvalidSettingError(setting="state", value=state, expected="a path")
    return NodeConfig(
        name=text_of(document, "name"),
        listen=_address("listen", document["listen"]),
        discovery=_address("discovery", document["discovery"]),
        seed=_seed(document),
        initial_list=_initial_list(document),
        settings=parse_settings(settings),
        admin_address=_address("operator", admin_address) if admin_address else None,
        ejections_folder=_shared_folder(variables, ejections.FOLDER_NAME),
        executed_ids_folder=_shared_folder(variables, executed_id_log.FOLDER_NAME),
        handover_folder=_shared_folder(variables, handover.FOLDER_NAME),
        accept_fd=variables.get("PROXY_ACCEPT_FD") or None,
        state_path=Path(state) if state else None,
        membership=_membership(document.get("members")),
        **_numbers(document, settings),
    )


def _shared_folder(variables: Mapping[str, str], name: str) -> Path | None:
    folder = variables.get("TMPDIR")
    return Path(folder) / name if folder else None


def _address(key: str, value: object) -> Address:
    """Return an address with a host that socket functions accept or reject with OSError, not ValueError."""
    try:
        host, port = parse_address(value)
        if not host.isprintable():
            raise AddressError(value)
        host.encode("idna")
    except ValueError as error:
        raise MalformedSettingError(key, error) from error
    return host, port


def _seed(document: JsonObject) -> int:
    value = text_of(document, "seed")
    if not set(value) <= set(hexdigits):
        raise InvalidSettingError(setting="seed", value=value, expected="hexadecimal")
    return int(value, HEX_BASE)


def _initial_list(document: JsonObject) -> DiscoveryResponse:
    try:
        return decode_response(document["known"])
    except ValueError as error:
        raise MalformedSettingError(setting="known", reason=error) from error


def _numbers(document: JsonObject, settings: JsonObject) -> JsonObject:
    """Return the numbers present in the configuration, by field of NodeConfig."""
    sections = {
        "": document,
        "limits": section(document, "limits"),
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


def _membership(members: JsonObject | None) -> MembershipSettings | None:
    if members is None:
        return None
    # Imported only if needed: its libraries cost memory and startup time.
    from loadbalancer.node.membership_settings import parse_membership_settings

    return parse_membership_settings(members)
