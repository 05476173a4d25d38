"""Measurements that the benches share: quantiles, and the CPU time and memory of processes."""

from __future__ import annotations

from collections.abc import Sequence

import numpy
import psutil

MB = 1024 * 1024


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the quantile at `fraction` (0 to 1), always one of the values: the higher of two neighbours.

    Raise ValueError if there are no values.
    """
    if not len(values):
        raise ValueError("no values to take a quantile of")
    return float(numpy.quantile(values, fraction, method="higher"))


def cpu_s(pid: int) -> float:
    """Return the CPU seconds used by the process, user and system; the kernel counts in steps of 10 ms."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def rss_mb(pid: int) -> float:
    """Return the resident memory of the process in MB."""
    return float(psutil.Process(pid).memory_info().rss / MB)
