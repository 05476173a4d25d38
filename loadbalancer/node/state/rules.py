"""Rules by which a state file, or a part of it, is rejected."""

from __future__ import annotations

from enum import Enum

MAX_LIST_AGE_MS = 300_000.0  # an older list may contain removed endpoints and lack newer ones

_COLD_START = "a cold start"


class Rule(Enum):
    """A reason to reject a state file or a part of it; log lines and `state show` identify it by `label`."""

    MISSING = ("missing", "no file", _COLD_START)
    UNREADABLE = ("unreadable", "the file could not be read", _COLD_START)
    TORN = ("torn", "shorter or longer than its header says", _COLD_START)
    DIGEST = ("digest", "its digest does not match", _COLD_START)
    MALFORMED = ("malformed", "its body is not what this format holds", _COLD_START)
    FORMAT = ("format", "of another format", _COLD_START)
    ANOTHER_NODE = ("another node", "written by another node", _COLD_START)
    FUTURE = (
        "future",
        "written after now, so the clock has gone back",
        "only ejections by an operator are used",
    )
    LIST_OLD = (
        "list old",
        f"its list is older than {MAX_LIST_AGE_MS / 1000:.0f} s",
        "the list is not used",
    )
    LIST_BEHIND = (
        "list behind",
        "its list is no newer than the one the node was given",
        "that one is used",
    )

    def __init__(self, label: str, description: str, consequence: str) -> None:
        self.label = label
        self.description = description
        self.consequence = consequence

    @property
    def explanation(self) -> str:
        """The reason, and the consequence for the node."""
        return f"{self.description}: {self.consequence}"
