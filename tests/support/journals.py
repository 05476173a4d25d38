"""The replicated commands in an instance's journal, read by pysyncobj alone."""

from __future__ import annotations

from pathlib import Path

from pysyncobj.journal import createJournal

REGULAR = b"\0"  # the kind of an entry that is a call of a consumer


def journal_commands(path: Path) -> list[bytes]:
    """The pickled calls in a journal; other entries are Raft's own."""
    journal = createJournal(str(path))
    try:
        entries = [journal[at][0] for at in range(len(journal))]
    finally:
        journal._destroy()
    return [entry[1:] for entry in entries if entry[:1] == REGULAR]
