"""What the kernel holds for a connection that the event loop has not delivered yet."""

from __future__ import annotations

import asyncio
import select


def readable(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, an end or an error wait in the kernel."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


def ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed, half-closed or reset, however many bytes wait before that.

    POLLHUP and POLLERR, which a reset sets, are reported without being asked for. POLLIN is not asked for, as
    bytes alone are no end.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
