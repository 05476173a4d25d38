"""Clients of a crowd, and a steady client that measures its waits; plain non-blocking sockets."""

from __future__ import annotations

import contextlib
import socket
import time
from dataclasses import dataclass, field
from multiprocessing.synchronize import Event

from bench.crowds.forms import Plan
from tests.support.parent_death import end_with_parent

RECONNECT_S = 0.2  # pause after the node has closed a connection
PIECE_PAUSE_S = 0.005  # between the pieces of a request
SMALL_BUFFER_BYTES = 4096  # receive buffer of a client that doesn't read
STEADY_INTERVAL_S = 0.01  # between the calls of the steady client


@dataclass
class CrowdClient:
    """One connection of the crowd, opened again after its end."""

    plan: Plan
    address: tuple[str, int]
    connection: socket.socket | None = None
    unsent: bytes = b""
    parts: list[bytes] = field(default_factory=list)
    next_at: float = 0.0  # monotonic time of the next action

    def act(self, now: float) -> None:
        """Connect, send and read as far as that is possible without waiting."""
        if now < self.next_at:
            return
        try:
            if self.connection is None:
                self._connect()
            self._read()
            self._send(now)
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            self.next_at = now + RECONNECT_S

    def close(self) -> None:
        """Close the connection, if any."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _connect(self) -> None:
        self.connection = socket.socket()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.plan.reads:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.connection.setblocking(False)
        self.parts = self.plan.parts()
        self.unsent = self.parts.pop(0)
        self.connection.connect_ex(self.address)

    def _read(self) -> None:
        if not self.plan.reads or self.connection is None:
            return
        with contextlib.suppress(BlockingIOError):
            if not self.connection.recv(65_536):
                raise ConnectionResetError

    def _send(self, now: float) -> None:
        assert self.connection is not None
        if not self.unsent:
            if self.parts:
                self.unsent = self.parts.pop(0)
            elif self.plan.leaves:
                self.close()
                return
            elif self.plan.repeated:
                self.unsent = self.plan.repeated
            else:
                return
        sent = self.connection.send(self.unsent)
        self.unsent = self.unsent[sent:]
        if self.plan.pieces:
            self.next_at = now + PIECE_PAUSE_S


def run_crowd(address: tuple[str, int], plans: list[Plan], stop: Event) -> None:
    """Run one client for each plan until `stop` is set."""
    end_with_parent()
    clients = [CrowdClient(plan, address) for plan in plans]
    while not stop.is_set():
        now = time.monotonic()
        for client in clients:
            client.act(now)
        time.sleep(0.001)
    for client in clients:
        client.close()


@dataclass
class SteadyResult:
    """Waits of a steady client's calls."""

    longest_s: float = 0.0
    calls: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    unanswered: int = 0  # connections that ended without a response


def run_steady(address: tuple[str, int], seconds: float, timeout_s: float = 20.0) -> SteadyResult:
    """Send small requests one at a time on a connection that is kept, and measure the longest wait."""
    result = SteadyResult()
    connection: socket.socket | None = None
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        began = time.monotonic()
        response = b"" if connection is None else _call(connection, result.calls)
        if not response:  # the node may close a connection between two requests
            if connection is not None:
                connection.close()
            connection = socket.create_connection(address, timeout=timeout_s)
            response = _call(connection, result.calls)
        result.longest_s = max(result.longest_s, time.monotonic() - began)
        result.calls += 1
        if response:
            status = int(response.split()[1])
            result.statuses[status] = result.statuses.get(status, 0) + 1
        else:
            result.unanswered += 1
        if connection is not None and (not response or b"\r\nConnection: close" in response):
            connection.close()
            connection = None
        time.sleep(STEADY_INTERVAL_S)
    if connection is not None:
        connection.close()
    return result


def _call(connection: socket.socket, number: int) -> bytes:
    """Send a request; return the head of its response, empty if the connection ends first."""
    head = b"GET /read/steady HTTP/1.1\r\nHost: s\r\nReq-Deadline-Ms: 20000\r\nReq-Id: steady-%d\r\n\r\n"
    try:
        connection.sendall(head % number)
        return read_response(connection)
    except OSError:
        return b""


def read_response(connection: socket.socket) -> bytes:
    """Return a short response with its body; empty if the connection ends first."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65_536)
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
    while len(body) < length:
        piece = connection.recv(65_536)
        if not piece:
            return b""
        body += piece
    return head
