"""A counter of rejected input that logs now and then."""

from __future__ import annotations

import logging
from typing import Final

log = logging.getLogger("loadbalancer")

LOG_EVERY: Final = 100  # rejections to one line, so that a peer can't flood the log


class RejectionLog:
    """Counts rejections; the first, and every hundredth after it, is logged as a warning."""

    def __init__(self, message: str) -> None:
        """`message`: a logging format, whose first argument is the count so far."""
        self.count = 0
        self._message = message

    def add(self, *details: object) -> None:
        """Count a rejection; `details` are the message's further arguments."""
        self.count += 1
        if self.count % LOG_EVERY == 1:
            log.warning(self._message, self.count, *details)
