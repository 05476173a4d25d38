"""A double of pysyncobj for the fleet's state in one process: the log is committed at once."""

from __future__ import annotations

from typing import Any


class Raft:
    """As much of pysyncobj as the fleet's state asks."""

    raftCurrentTerm = 1  # noqa: N815
    leader: str | None = None
    hasQuorum = True  # noqa: N815

    def isReady(self) -> bool:  # noqa: N802
        return True

    def _getLeader(self) -> str | None:  # noqa: N802
        return self.leader


async def commit(command: Any, *arguments: Any) -> Any:
    """The result of a replicated command, which is carried out here alone."""
    return command(*arguments, _doApply=True)
