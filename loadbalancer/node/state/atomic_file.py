"""Atomic replacement of files: a reader sees either the old contents or the new, never a mix."""

from __future__ import annotations

import os
from pathlib import Path


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file atomically and durably, so that it survives a power loss; raise OSError on failure.

    The rename is atomic; fsync of the file before it and of the directory after it makes it durable.
    """
    draft = path.with_name(f"{path.name}.draft")
    with draft.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(draft, path)
    sync_directory(path.parent)


def sync_directory(path: Path) -> None:
    """Make a rename or removal in this directory survive a power loss; raise OSError on failure."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_shared_file(path: Path, draft: Path, data: bytes) -> None:
    """Replace a file that another process may be reading, using the temporary file `draft` next to it.

    The directory is created if needed. The file need not survive a power loss, so nothing is synced. Raise
    OSError if it can't be written.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    draft.write_bytes(data)
    os.replace(draft, path)
