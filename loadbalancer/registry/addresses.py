"""Addresses of the list service's programs, all on loopback."""

from __future__ import annotations

import re

from loadbalancer.node.address import Address
from loadbalancer.registry.errors import InvalidAddressError

LOOPBACK_ADDRESS = re.compile(r"^127(\.\d{1,3}){3}:\d{1,5}$|^localhost:\d{1,5}$")
PORT_LIMIT = 65_536


def parse_address(text: str) -> Address:
    """Parse `host:port`; raise InvalidAddressError if it is not a loopback address."""
    host, _, port = text.rpartition(":")
    if not LOOPBACK_ADDRESS.match(text) or not 0 < int(port) < PORT_LIMIT:
        raise InvalidAddressError(text)
    return host, int(port)


def format_address(address: Address) -> str:
    """Return the address as `host:port`."""
    host, port = address
    return f"{host}:{port}"
