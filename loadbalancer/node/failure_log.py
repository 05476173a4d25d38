"""Logging of failures that repeat several times a second: the first of each run, in one line."""

from __future__ import annotations

import logging

log = logging.getLogger("loadbalancer")


def one_line(error: BaseException) -> str:
    """The text of an error with each run of white space as one space: a log entry is one line."""
    return " ".join(str(error).split())


class FailureLog:
    """Logs the first failure of each run of failures at level ERROR; a success ends the run."""

    def __init__(self) -> None:
        self._failing = False

    def failure(self, text: str, *args: object) -> None:
        """Log `text % args` unless an earlier failure of this run has been logged."""
        if not self._failing:
            log.error(text, *args)
        self._failing = True

    def success(self) -> bool:
        """End the run of failures; return whether there was one."""
        recovered, self._failing = self._failing, False
        return recovered
