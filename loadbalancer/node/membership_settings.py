"""What `members` in a node's configuration says."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from loadbalancer.node.address import Address, parse_address


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`"members": {...}` of the configuration; times in ms."""

    listen: str  # host:port where siblings call this node; its address in the list service
    zone: str = ""
    service: Annotated[str, Meta(max_length=100)] = ""  # the one balanced to: its nodes are the group
    routes: str = ""  # folder of the route versions prepared here; none: this node prepares none
    ask_every_ms: float = 1000.0  # one sibling is probed each period
    urgent_ask_every_ms: float = 100.0  # while not attached to the list service, or with a sibling suspected
    ask_timeout_ms: float = 500.0
    marks_every_ms: float = 250.0
    clock_bound_ms: float = 250.0  # a node that knows service time less closely votes no
    clock_offset_ms: float = 0.0  # for tests: this node's clock is so far off

    @property
    def address(self) -> Address:
        return parse_address(self.listen)

    @property
    def folder(self) -> Path | None:
        return Path(self.routes) if self.routes else None


def parse_settings(row: Any) -> FleetSettings:
    """ValueError says in one line which key is wrong."""
    try:
        found = msgspec.convert(row, FleetSettings)
        if not found.address[1]:
            raise ValueError("listen: port 0 is no address that siblings could call")
    except (msgspec.ValidationError, ValueError) as error:
        raise ValueError(f"members: {error}") from error
    for key in ("ask_every_ms", "urgent_ask_every_ms", "ask_timeout_ms", "marks_every_ms", "clock_bound_ms"):
        if not 1.0 <= getattr(found, key) <= 60_000.0:
            raise ValueError(f"members: {key}: {getattr(found, key)!r} is not from 1 to 60000")
    return found
