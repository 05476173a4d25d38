"""Lets a process end with the thread that started it, so that none stays behind (Linux)."""

from __future__ import annotations

import ctypes
import signal

PR_SET_PDEATHSIG = 1


def end_with_parent() -> None:
    """Call in the new process, or pass as `preexec_fn`: it is killed when the thread that started it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
