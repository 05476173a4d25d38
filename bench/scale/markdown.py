"""Tables and numbers as docs/CAPACITY.md shows them."""

from __future__ import annotations

import math
from collections.abc import Sequence

from bench.scale.fits import Estimate

NOTHING = ""


def number(value: float) -> str:
    """Three digits that count, without an exponent."""
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
    if found is None:
        return NOTHING
    spread = NOTHING if found.error is None else f" ± {number(found.error)}"
    return f"{number(found.value)}{spread}"


def table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """A table, or a line that says that there is nothing to show."""
    if not rows:
        return "not run\n"
    lines = [heads, ["---"] * len(heads), *rows]
    return "".join("| " + " | ".join(cell.replace("|", "/") for cell in line) + " |\n" for line in lines)
