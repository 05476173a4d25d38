"""Queries the kernel for what the event loop doesn't know: unread input, and what the peer has received."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import sys
import termios
from struct import Struct
from typing import NamedTuple

# The fields tcpi_unacked, tcpi_bytes_acked and tcpi_notsent_bytes of Linux's struct tcp_info.
TCP_INFO_FIELDS = Struct("=24xI92xQ16xI")

INT_BYTES = 4


class Delivery(NamedTuple):
    """How far the peer of a connection has received what was sent to it."""

    acknowledged_bytes: int  # since the connection was opened; 0 if the platform doesn't tell
    unsent_bytes: int  # not yet passed to the kernel
    outstanding: bool  # whether the peer has not received all


def delivery(transport: asyncio.Transport) -> Delivery:
    """Return how far the peer has received what was written to the transport."""
    unsent = transport.get_write_buffer_size()
    try:
        raw = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FIELDS.size
        )
    except OSError:
        raw = b""
    if len(raw) < TCP_INFO_FIELDS.size:
        return Delivery(0, unsent, unsent > 0)
    unacknowledged, acknowledged_bytes, not_sent = TCP_INFO_FIELDS.unpack(raw)
    return Delivery(acknowledged_bytes, unsent, bool(unsent or unacknowledged or not_sent))


def readable(transport: asyncio.BaseTransport) -> bool:
    """Whether the kernel has bytes, an end of stream or an error for this connection."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


def unread_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return how many bytes the kernel has received that have not been read; None if it can't tell."""
    try:
        raw = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, bytes(INT_BYTES))
    except OSError:
        return None
    return int.from_bytes(raw, sys.byteorder)


def ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed, half-closed or reset the connection, even if unread bytes precede that.

    POLLHUP and POLLERR, which a reset sets, are always reported. POLLIN is left out, as unread bytes alone do
    not mean that the connection has ended.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
