"""Network addresses as (host, port) pairs."""

from __future__ import annotations

from loadbalancer.node.errors import AddressError

Address = tuple[str, int]  # IPv4 host and TCP port

MAX_PORT = 65535


def parse_address(text: object) -> Address:
    """Return the address in the text `host:port`; raise AddressError if the text has another form."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise AddressError(text)
    return host, int(port)
