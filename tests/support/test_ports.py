"""The tests' own port numbers: nobody else can have one, and the program it was given to can."""

from __future__ import annotations

import errno
import socket

import pytest

from tests.support.ports import free_port


def test_a_port_given_out_is_kept_from_all_but_the_program_told_of_it() -> None:
    address = ("127.0.0.1", free_port())
    with socket.socket() as other, pytest.raises(OSError, match="in use") as refused:
        other.bind(address)  # as the system tests a number before it gives it to a bind or connect
    assert refused.value.errno == errno.EADDRINUSE
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=2)
    for _ in range(2):  # a start and a restart, with the first one's connections still around
        with socket.create_server(address) as server, socket.create_connection(address, timeout=2):
            server.accept()[0].close()
