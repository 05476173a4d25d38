"""A fake of pysyncobj for the fleet's state in one process; it commits commands at once."""

from __future__ import annotations

from typing import Any


class FakeRaft:
    """The part of `SyncObj` that the fleet's state uses."""

    raftCurrentTerm = 1  # noqa: N815
    leader: str | None = None
    hasQuorum = True  # noqa: N815

    def isReady(self) -> bool:  # noqa: N802
        return True

    def _getLeader(self) -> str | None:  # noqa: N802
        return self.leader


async def commit(command: Any, *arguments: Any) -> Any:
    """Carry out a replicated command in this process and return its result."""
    return command(*arguments, _doApply=True)
