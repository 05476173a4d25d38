"""Queries the kernel for input of a connection that the event loop has not delivered yet."""

from __future__ import annotations

import asyncio
import select


def readable(transport: asyncio.BaseTransport) -> bool:
    """Whether the kernel has bytes, an end of stream or an error for this connection."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


def ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed, half-closed or reset the connection, even if unread bytes precede that.

    POLLHUP and POLLERR, which a reset sets, are always reported. POLLIN is left out, as unread bytes alone do
    not mean that the connection has ended.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
