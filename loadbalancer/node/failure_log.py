"""Log of failures that may repeat several times a second: only the first of a series, in one line."""

from __future__ import annotations

import logging

log = logging.getLogger("loadbalancer")


def one_line(error: BaseException) -> str:
    """Return the error's text on one line: each run of white space becomes one space."""
    return " ".join(str(error).split())


class FailureLog:
    """Logs only the first of consecutive failures, at level ERROR; a success ends the series."""

    def __init__(self) -> None:
        self._failing = False

    def failure(self, text: str, *args: object) -> None:
        """Log `text % args` if this is the first failure of its series."""
        if not self._failing:
            log.error(text, *args)
        self._failing = True

    def success(self) -> bool:
        """End the series of failures; return whether there was one."""
        recovered, self._failing = self._failing, False
        return recovered
