"""Reserved port numbers on loopback, for programs that are configured with a port to bind.

A test that binds port 0, reads the number and closes the socket leaves a gap in which the system may assign
the same number to another process. Here the socket of each number stays bound with SO_REUSEADDR, but not
listening, until this process ends. The system then assigns the number to no other bind or connect, in this
process or another. A program that sets SO_REUSEADDR (as each of ours does) can still bind it and listen, also
after a restart. Until a program listens, connections to the port are refused.
"""

from __future__ import annotations

import socket

_reserved: list[socket.socket] = []


def free_port(host: str = "127.0.0.1") -> int:
    """Return a TCP port on `host` that the system assigns to nothing else while this process lives."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((host, 0))
    _reserved.append(reservation)
    return int(reservation.getsockname()[1])
