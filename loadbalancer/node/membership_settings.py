"""Section `members` of a node's configuration: its membership in a group."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Final

import msgspec
from msgspec import Meta

from loadbalancer.node.address import Address, parse_address
from loadbalancer.node.errors import InvalidSettingError, MalformedSettingError

MIN_INTERVAL_MS: Final = 1.0
MAX_INTERVAL_MS: Final = 60_000.0
MAX_SERVICE_NAME_CHARS: Final = 100

# Field names of MembershipSettings and their keys in the configuration, where they differ.
_CONFIGURATION_KEYS: Final = {
    "routes_folder": "routes",
    "probe_period_ms": "ask_every_ms",
    "urgent_probe_period_ms": "urgent_ask_every_ms",
    "probe_timeout_ms": "ask_timeout_ms",
    "confidence_period_ms": "marks_every_ms",
    "max_clock_uncertainty_ms": "clock_bound_ms",
}
_INTERVALS: Final = (
    "probe_period_ms",
    "urgent_probe_period_ms",
    "probe_timeout_ms",
    "confidence_period_ms",
    "max_clock_uncertainty_ms",
)


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=_CONFIGURATION_KEYS):
    """The object `"members"` of the configuration; times in ms."""

    listen: str  # host:port for siblings' calls, and this node's address in the list service
    zone: str = ""
    service: Annotated[str, Meta(max_length=MAX_SERVICE_NAME_CHARS)] = ""  # its nodes form a group
    routes_folder: str = ""  # of the route versions that this node prepares; empty: it prepares none
    probe_period_ms: float = 1000.0  # one sibling is probed per period
    urgent_probe_period_ms: float = 100.0  # while detached from the list service or suspecting a sibling
    probe_timeout_ms: float = 500.0
    confidence_period_ms: float = 250.0  # maximum time between updates of the confidence levels
    max_clock_uncertainty_ms: float = 250.0  # above it, the node rejects new route versions
    clock_offset_ms: float = 0.0  # added to this node's clock in tests

    @property
    def address(self) -> Address:
        """Return the address for siblings' calls; raise ValueError if `listen` is malformed."""
        return parse_address(self.listen)

    @property
    def routes_path(self) -> Path | None:
        """Return the folder of the route versions that this node prepares, or None if it prepares none."""
        return Path(self.routes_folder) if self.routes_folder else None


def parse_membership_settings(section: object) -> MembershipSettings:
    """Return the settings in section `members`; raise ConfigError that names the invalid key in one line."""
    try:
        settings = msgspec.convert(section, MembershipSettings)
        _, port = settings.address
    except ValueError as error:  # msgspec's errors are ValueErrors
        raise MalformedSettingError(setting="members", reason=error) from error
    if not port:
        raise InvalidSettingError(
            setting="members: listen", value=settings.listen, expected="an address that siblings can call"
        )
    for name in _INTERVALS:
        value = getattr(settings, name)
        if not MIN_INTERVAL_MS <= value <= MAX_INTERVAL_MS:
            setting = f"members: {_CONFIGURATION_KEYS[name]}"
            expected = f"from {MIN_INTERVAL_MS:g} to {MAX_INTERVAL_MS:g}"
            raise InvalidSettingError(setting, value, expected)
    return settings
