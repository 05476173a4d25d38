"""The section `members` of a node's configuration: settings of its membership in a fleet."""

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

# Keys of the configuration whose names in code differ.
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
    """`"members": {...}` of the configuration; times in ms."""

    listen: str  # host:port where siblings call this node; its address in the list service
    zone: str = ""
    service: Annotated[str, Meta(max_length=MAX_SERVICE_NAME_CHARS)] = ""  # its nodes form one group
    routes_folder: str = ""  # of the route versions prepared here; empty: this node prepares none
    probe_period_ms: float = 1000.0  # one sibling is probed each period
    urgent_probe_period_ms: float = 100.0  # while detached from the list service, or with a suspected sibling
    probe_timeout_ms: float = 500.0
    confidence_period_ms: float = 250.0  # between two updates of the confidence levels, at most
    max_clock_uncertainty_ms: float = 250.0  # a node that knows service time less closely votes no
    clock_offset_ms: float = 0.0  # added to this node's clock in tests

    @property
    def address(self) -> Address:
        """Where this node accepts siblings' calls; ValueError for a malformed `listen`."""
        return parse_address(self.listen)

    @property
    def routes_path(self) -> Path | None:
        """The folder of prepared route versions; None: this node prepares none."""
        return Path(self.routes_folder) if self.routes_folder else None


def parse_membership_settings(section: object) -> MembershipSettings:
    """The settings in the section `members`; ConfigError says in one line which key is wrong."""
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
