"""Files replaced atomically: a reader finds the old contents or the new, never a part."""

from __future__ import annotations

import os
from pathlib import Path


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file so that the new contents outlive a power loss; raise OSError if that fails.

    The rename is atomic; fsync of the file before it and of the directory after it make it durable.
    """
    draft = path.with_name(f"{path.name}.draft")
    with draft.open("wb") as opened:
        opened.write(data)
        opened.flush()
        os.fsync(opened.fileno())
    os.replace(draft, path)
    sync_directory(path.parent)


def sync_directory(path: Path) -> None:
    """Make a rename or a removal in this directory outlive a power loss; raise OSError if that fails."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_shared_file(path: Path, draft: Path, data: bytes) -> None:
    """Replace a file that another process may be reading, by way of `draft` in the same directory.

    The directory is created where it does not exist. The file need not outlive a power loss, so nothing is
    synced. Raise OSError if it can't be written.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    draft.write_bytes(data)
    os.replace(draft, path)
