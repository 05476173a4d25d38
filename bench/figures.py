"""Figures that the benches share: quantiles, and the CPU and memory of processes."""

from __future__ import annotations

from collections.abc import Sequence

import numpy
import psutil

MB = 1024 * 1024


def quantile(values: Sequence[float], share: float) -> float:
    """The value below or at which this share of the values lies, one of them; ValueError for none."""
    if not len(values):
        raise ValueError("no values to take a quantile of")
    return float(numpy.quantile(values, share, method="higher"))


def cpu_s(pid: int) -> float:
    """CPU seconds of the process so far, user and system, in steps of the kernel's tick (10 ms)."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def rss_mb(pid: int) -> float:
    """Resident memory of the process in MB."""
    return float(psutil.Process(pid).memory_info().rss / MB)
