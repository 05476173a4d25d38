"""A counter of rejected input with rate-limited logging."""

from __future__ import annotations

import logging
from typing import Final

log = logging.getLogger("loadbalancer")

LOG_EVERY: Final = 100  # rejections per log line, so that a peer can't flood the log


class RejectionLog:
    """Counts rejections; logs the first and then every hundredth as a warning."""

    def __init__(self, message: str) -> None:
        """`message`: a logging format whose first argument is the number of rejections so far."""
        self.count = 0
        self._message = message

    def add(self, *details: object) -> None:
        """Count a rejection; `details` are the remaining arguments of the message."""
        self.count += 1
        if self.count % LOG_EVERY == 1:
            log.warning(self._message, self.count, *details)
