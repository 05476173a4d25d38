"""Port numbers on loopback that stay their holder's: for programs that bind a number they are told.

Asking the system for a free port and letting it go leaves a gap in which the system may give the same
number to someone else. Here each number's socket stays bound, not listening, with SO_REUSEADDR, for as
long as this process lives: the system gives such a number to no other bind or connect, in this process or
in another, while a program that sets SO_REUSEADDR (as each of ours does) may still bind it and listen,
and again after a restart. Until one listens, connections to it are refused.
"""

from __future__ import annotations

import socket

_held: list[socket.socket] = []


def free_port(host: str = "127.0.0.1") -> int:
    """A TCP port on host that nobody else will be given while this process lives."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, 0))
    _held.append(holder)
    return int(holder.getsockname()[1])
