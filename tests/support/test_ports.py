"""Ports from `free_port` are assigned to no other socket, but the program under test can listen on them."""

from __future__ import annotations

import errno
import socket

import pytest

from tests.support.ports import free_port


def test_reserved_port_rejects_plain_bind_but_allows_listening() -> None:
    address = ("127.0.0.1", free_port())
    with socket.socket() as other, pytest.raises(OSError, match="in use") as rejected:
        other.bind(address)  # the check that the system makes before it assigns a port
    assert rejected.value.errno == errno.EADDRINUSE
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=2)
    for _ in range(2):  # a start, and a restart while connections of the first run still exist
        with socket.create_server(address) as server, socket.create_connection(address, timeout=2):
            server.accept()[0].close()
