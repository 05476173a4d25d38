"""Runs a node whose system calls fail now and then: `python -m tests.support.faulty_node`.

`FAULTS` in the environment is the seed of the faults and their rate, as `SEED:RATE`, `FAULTS_LISTEN_PORT` the
port for clients. Connections break only towards servers, so that a client's missing response is always the
node's fault. The wall clock steps by an hour.
"""

from __future__ import annotations

import asyncio
import errno
import os
import runpy
import selectors
import socket
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

FAULTS_VARIABLE = "FAULTS"
CLOCK_STEP_S = 3600.0
CLOCK_STEP_INTERVAL_S = 2.0
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EINTR)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
BROKEN_CONNECTION_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
FILE_ERRORS = (errno.ENOSPC, errno.EIO)


class Faults:
    """Draws the faults from a seed."""

    def __init__(self, seed: str, rate: float) -> None:
        self._rng = Random(seed)
        self._rate = rate

    def happens(self, factor: float = 1.0) -> bool:
        return self._rng.random() < self._rate * factor

    def fail(self, errors: tuple[int, ...], factor: float = 1.0) -> None:
        if self.happens(factor):
            number = self._rng.choice(errors)
            raise OSError(number, f"injected: {os.strerror(number)}")

    def part_of(self, size: int) -> int:
        return self._rng.randint(1, max(1, size))


def patch_sockets(faults: Faults, listen_port: int) -> None:
    """Let calls on sockets fail, and read and write less than asked for."""
    real_init, real_accept, real_connect = socket.socket.__init__, socket.socket.accept, socket.socket.connect
    real_send, real_receive = socket.socket.send, socket.socket.recv_into

    def to_server(connection: socket.socket) -> bool:
        return connection.getsockname()[1] != listen_port

    def init(self: socket.socket, *args: Any, **kwargs: Any) -> None:
        if kwargs.get("fileno") is None and asyncio._get_running_loop() is not None:
            faults.fail(SOCKET_ERRORS, 0.3)
        real_init(self, *args, **kwargs)

    def accept(self: socket.socket) -> Any:
        faults.fail(ACCEPT_ERRORS)
        return real_accept(self)

    def connect(self: socket.socket, address: Any) -> None:
        faults.fail(CONNECT_ERRORS)
        real_connect(self, address)

    def send(self: socket.socket, data: Any, *flags: int) -> int:
        if self.family != socket.AF_INET:  # the event loop's own
            return real_send(self, data, *flags)
        if to_server(self):
            faults.fail(BROKEN_CONNECTION_ERRORS, 0.2)
        if faults.happens():
            raise InterruptedError
        if faults.happens(5.0):
            data = memoryview(data)[: faults.part_of(len(data))]
        return real_send(self, data, *flags)

    def receive(self: socket.socket, buffer: Any, *sizes: int) -> int:
        if self.family != socket.AF_INET:
            return real_receive(self, buffer, *sizes)
        if to_server(self):
            faults.fail(BROKEN_CONNECTION_ERRORS, 0.2)
        if faults.happens():
            raise InterruptedError
        if faults.happens(5.0):
            buffer = memoryview(buffer)[: faults.part_of(len(buffer))]
        return real_receive(self, buffer, *sizes)

    socket.socket.__init__ = init  # type: ignore[method-assign]
    socket.socket.accept = accept  # type: ignore[method-assign]
    socket.socket.connect = connect  # type: ignore[method-assign]
    socket.socket.send = send  # type: ignore[method-assign, assignment]
    socket.socket.recv_into = receive  # type: ignore[method-assign, assignment]


def patch_waits(faults: Faults) -> None:
    """Let waits for sockets return early."""
    real_select = selectors.EpollSelector.select

    def select(self: selectors.EpollSelector, timeout: float | None = None) -> Any:
        return [] if faults.happens() else real_select(self, timeout)

    selectors.EpollSelector.select = select  # type: ignore[method-assign]


def patch_files(faults: Faults) -> None:
    """Let writes of files fail, some of them half done."""
    real_pwrite, real_write_bytes = os.pwrite, Path.write_bytes

    def pwrite(descriptor: int, data: bytes, offset: int) -> int:
        if faults.happens():
            real_pwrite(descriptor, data[: faults.part_of(len(data))], offset)
            faults.fail(FILE_ERRORS, 100.0)
        return real_pwrite(descriptor, data, offset)

    def write_bytes(self: Path, data: bytes) -> int:
        if faults.happens():
            real_write_bytes(self, data[: faults.part_of(len(data))])
            faults.fail(FILE_ERRORS, 100.0)
        return real_write_bytes(self, data)

    os.pwrite = pwrite
    Path.write_bytes = write_bytes  # type: ignore[method-assign, assignment]


def patch_wall_clock(faults: Faults) -> None:
    """Let the wall clock step by an hour, forwards or back, from time to time."""
    real_time, began = time.time, time.monotonic()

    def stepping_time() -> float:
        steps = int((time.monotonic() - began) / CLOCK_STEP_INTERVAL_S)
        return real_time() + CLOCK_STEP_S * (steps % 3 - 1)

    time.time = stepping_time


def main() -> None:
    seed, _, rate = os.environ[FAULTS_VARIABLE].partition(":")
    faults = Faults(seed, float(rate))
    patch_sockets(faults, int(os.environ["FAULTS_LISTEN_PORT"]))
    patch_waits(faults)
    patch_files(faults)
    patch_wall_clock(faults)
    sys.argv = ["loadbalancer"]
    runpy.run_module("loadbalancer", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
