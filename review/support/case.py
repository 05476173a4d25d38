"""Runs a case: a temporary folder, a record, the exit code, and the end of everything that was started."""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import threading
import traceback
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

from review.support.programs import Ports
from review.support.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 85.0  # then the case ends its processes; 120 s are allowed in all


class Case:
    """What a case gets: its folder for files, the record, ports, and whether there is trouble."""

    def __init__(self, folder: Path, record: Record, ends: ExitStack) -> None:
        self.folder, self.record, self.ends = folder, record, ends
        self.ports = Ports()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        ends.callback(self.ports.close)


def run(case_file: str, play: Callable[[Case], bool]) -> int:
    """Play a case; return 1 if `play` says that the rule was broken, 0 if it held, 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    watchdog = threading.Timer(LIMIT_S, os.kill, (os.getpid(), signal.SIGTERM))
    watchdog.daemon = True
    watchdog.start()
    try:
        return _play_recorded(case_file, play)
    except Exception:  # also of the preparation and of the end: it says nothing about the rule
        traceback.print_exc()
        return NOT_RUN


def _play_recorded(case_file: str, play: Callable[[Case], bool]) -> int:
    record = Record(Path(case_file).parent / "record.txt")
    with ExitStack() as ends:
        ends.callback(record.close)
        folder = Path(ends.enter_context(tempfile.TemporaryDirectory(prefix="review-")))
        case = Case(folder, record, ends)
        record.write(f"trouble: {'yes' if case.trouble else 'no'}")
        try:
            broken = play(case)
        except Exception as error:  # whatever it is, it says nothing about the rule
            record.write(f"not run: {type(error).__name__}: {error}")
            return NOT_RUN
        record.write("the rule was BROKEN" if broken else "the rule held")
    return BROKEN if broken else HELD
