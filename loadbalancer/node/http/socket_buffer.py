"""What waits in the kernel on a connection that the event loop has not delivered yet."""

from __future__ import annotations

import asyncio
import select


def readable(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, an end or an error wait in the kernel that the event loop has not delivered yet."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


def ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed, half-closed or reset, however many bytes wait before that."""
    poll = select.poll()
    # POLLHUP and POLLERR, for a reset, are always told; not POLLIN, as bytes alone are no end.
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
