"""Traffic counters of a Python process at its sockets, HTTP heads included, by kind of traffic.

`install` replaces the sending and receiving methods of `socket.socket`, which asyncio and pysyncobj both use,
and stores the counts in a memory-mapped file, which another process reads with `read`. TCP and IP headers are
not counted; `sends` and `receives` allow an estimate of them. Only the standard library is used, because this
module is loaded into the programs that are measured.
"""

from __future__ import annotations

import functools
import mmap
import os
import socket
import struct
import weakref
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

COUNTS_FILE = "SCALE_COUNTS_FILE"  # environment variable: file of the counts
COUNTS_PORTS = "SCALE_COUNTS_PORTS"  # environment variable: "kind=port,kind=port", local and remote ports
KINDS = 8  # maximum number of kinds, `other` included
OTHER = "other"
ROW = struct.Struct("=QQQQ")  # bytes in, bytes out, receives, sends


class Traffic(NamedTuple):
    """Bytes and socket calls in both directions."""

    bytes_in: int = 0
    bytes_out: int = 0
    receives: int = 0
    sends: int = 0

    def plus(self, other: Traffic) -> Traffic:
        return Traffic(*(one + another for one, another in zip(self, other, strict=True)))

    def since(self, earlier: Traffic) -> Traffic:
        return Traffic(*(now - before for now, before in zip(self, earlier, strict=True)))


class Counter:
    """The counters of this process, in a file of KINDS rows."""

    def __init__(self, path: Path, ports: Mapping[str, int]) -> None:
        """`ports` has for each kind a local port or one that the process connects to."""
        self._kinds = {port: at + 1 for at, port in enumerate(ports.values())}
        self._offsets: weakref.WeakKeyDictionary[socket.socket, int] = weakref.WeakKeyDictionary()
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT)
        os.ftruncate(descriptor, KINDS * ROW.size)
        self._map = mmap.mmap(descriptor, KINDS * ROW.size)
        os.close(descriptor)

    def received(self, sock: socket.socket, size: int) -> None:
        offset = self._offset(sock)
        bytes_in, bytes_out, receives, sends = ROW.unpack_from(self._map, offset)
        ROW.pack_into(self._map, offset, bytes_in + size, bytes_out, receives + 1, sends)

    def sent(self, sock: socket.socket, size: int) -> None:
        offset = self._offset(sock)
        bytes_in, bytes_out, receives, sends = ROW.unpack_from(self._map, offset)
        ROW.pack_into(self._map, offset, bytes_in, bytes_out + size, receives, sends + 1)

    def _offset(self, sock: socket.socket) -> int:
        row = self._offsets.get(sock)
        if row is None:
            row = self._offsets[sock] = self._kind(sock) * ROW.size
        return row

    def _kind(self, sock: socket.socket) -> int:
        if sock.family not in (socket.AF_INET, socket.AF_INET6):
            return 0
        try:
            ports = sock.getsockname()[1], sock.getpeername()[1]
        except OSError:
            return 0
        return next((self._kinds[port] for port in ports if port in self._kinds), 0)


def install(counter: Counter) -> None:
    """Count the traffic of all IP sockets of this process from now on."""
    for name in ("recv", "recvfrom", "recvmsg"):
        _replace(name, lambda sock, result: counter.received(sock, len(_data(result))))
    _replace("recv_into", lambda sock, result: counter.received(sock, result))
    for name in ("send", "sendto", "sendmsg"):
        _replace(name, lambda sock, result: counter.sent(sock, result))


def _data(result: Any) -> bytes:
    data: bytes = result[0] if isinstance(result, tuple) else result
    return data


def _replace(name: str, count: Callable[[socket.socket, Any], None]) -> None:
    original = getattr(socket.socket, name)

    @functools.wraps(original)
    def counted(self: socket.socket, *arguments: Any) -> Any:
        result = original(self, *arguments)
        if self.family != socket.AF_UNIX:
            count(self, result)
        return result

    setattr(socket.socket, name, counted)


def install_from_environment() -> None:
    """Install the counter that the environment variables describe, if they are set."""
    path = os.environ.get(COUNTS_FILE)
    if path:
        install(Counter(Path(path), parse_ports(os.environ.get(COUNTS_PORTS, ""))))


def format_ports(ports: Mapping[str, int]) -> str:
    """Return the value of COUNTS_PORTS."""
    return ",".join(f"{kind}={port}" for kind, port in ports.items())


def parse_ports(text: str) -> dict[str, int]:
    """Return the ports by kind of a value of COUNTS_PORTS."""
    pairs = (part.partition("=") for part in text.split(",") if part)
    return {kind: int(port) for kind, _, port in pairs}


def read(path: Path, ports: Mapping[str, int]) -> dict[str, Traffic]:
    """Return the counts of a process by kind, `other` included; all 0 before it has started counting."""
    data = path.read_bytes() if path.exists() else b""
    kinds = [OTHER, *ports]
    if len(data) < KINDS * ROW.size:
        return dict.fromkeys(kinds, Traffic())
    return {kind: Traffic(*ROW.unpack_from(data, at * ROW.size)) for at, kind in enumerate(kinds)}


def total(by_kind: Mapping[str, Traffic]) -> Traffic:
    """Return the sum over all kinds."""
    return functools.reduce(Traffic.plus, by_kind.values(), Traffic())
