"""Markdown tables and number formats of docs/CAPACITY.md."""

from __future__ import annotations

import math
from collections.abc import Sequence

from bench.scale.fits import Estimate

NOTHING = ""


def number(value: float) -> str:
    """Return the number with three significant digits, without an exponent."""
    if math.isinf(value):
        return "∞"
    if value == 0.0:
        return "0"
    if abs(value) >= 100.0:
        return f"{value:,.0f}"
    digits = 2 - math.floor(math.log10(abs(value)))
    text = f"{value:.{min(digits, 6)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def estimate(found: Estimate | None) -> str:
    """Return the value with its standard error, if known."""
    if found is None:
        return NOTHING
    spread = NOTHING if found.error is None else f" ± {number(found.error)}"
    return f"{number(found.value)}{spread}"


def table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table, or the line "not run" if it has no rows."""
    if not rows:
        return "not run\n"
    lines = [heads, ["---"] * len(heads), *rows]
    return "".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |\n" for line in lines)
