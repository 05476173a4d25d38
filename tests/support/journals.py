"""The replicated commands in an instance's journal, read with pysyncobj only."""

from __future__ import annotations

from pathlib import Path

from pysyncobj.journal import createJournal

REGULAR = b"\0"  # the first byte of an entry that is a consumer's command


def journal_commands(path: Path) -> list[bytes]:
    """Return the pickled commands in a journal, without Raft's internal entries."""
    journal = createJournal(str(path))
    try:
        entries = [journal[index][0] for index in range(len(journal))]
    finally:
        journal._destroy()
    return [entry[1:] for entry in entries if entry[:1] == REGULAR]
