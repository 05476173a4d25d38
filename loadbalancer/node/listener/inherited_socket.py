"""The listening socket that a node inherits as a descriptor during an upgrade."""

from __future__ import annotations

import socket

from loadbalancer.node.listener.errors import InheritedSocketError


def inherited_socket(descriptor: str) -> socket.socket:
    """Return the listening socket of this descriptor; raise InheritedSocketError if it isn't one."""
    try:
        found = socket.socket(fileno=int(descriptor))
    except (OSError, ValueError, OverflowError) as error:
        raise InheritedSocketError(descriptor, f"no socket: {error}") from error
    try:
        listening = found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listening = 0
    if listening and (found.family, found.type) == (socket.AF_INET, socket.SOCK_STREAM):
        return found
    found.detach()  # the node doesn't own it, so it must not close it
    raise InheritedSocketError(descriptor, "no listening TCP socket")
