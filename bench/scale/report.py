"""`python -m bench.scale report`: fill the tables of docs/CAPACITY.md from the records, or check them.

A table is the text between `<!-- table: NAME -->` and `<!-- end -->`; the rest of the page is not changed.
"""

from __future__ import annotations

import difflib
import re
from pathlib import Path
from typing import Annotated

import typer

from bench.scale import records, summary_tables, tables
from bench.scale.layout import read_layout
from bench.scale.platform import read_size
from bench.scale.sources import Sources

PAGE = Path(__file__).resolve().parent.parent.parent / "docs" / "CAPACITY.md"
TABLE = re.compile(r"<!-- table: (\S+) -->\n.*?<!-- end -->", re.DOTALL)
DIFFERENCE_LINES = 40

app = typer.Typer()


def sources(folder: Path = records.FOLDER) -> Sources:
    """Read layout, platform size and records."""
    return Sources(read_layout(), read_size(), list(records.read_all(folder)))


def filled(page: str, found: Sources) -> str:
    """Return the page with all tables filled in; raise ValueError if a table is unknown or missing."""
    there = [match[1] for match in TABLE.finditer(page)]
    lacking = sorted(set(tables.names(found)) - set(there))
    if lacking:
        raise ValueError(f"the page lacks the tables {', '.join(lacking)}")

    def fill(match: re.Match[str]) -> str:
        return f"<!-- table: {match[1]} -->\n\n{tables.render(found, match[1])}\n<!-- end -->"

    return TABLE.sub(fill, page)


def difference(page: str, wanted: str) -> str:
    """Return the first lines of a diff."""
    lines = difflib.unified_diff(
        page.splitlines(), wanted.splitlines(), "the page", "generated from the records", lineterm="", n=0
    )
    return "\n".join(list(lines)[:DIFFERENCE_LINES])


@app.command()
def report(
    write: Annotated[bool, typer.Option("--write", help="Fill the tables.")] = False,
    check: Annotated[bool, typer.Option("--check", help="Exit 1 if the page differs.")] = False,
    page: Annotated[Path, typer.Option(help="The page to fill or check.")] = PAGE,
    folder: Annotated[Path, typer.Option(help="The folder of the records.")] = records.FOLDER,
) -> None:
    """Fill or check the tables of docs/CAPACITY.md; without an option print the table `missing`."""
    found = sources(folder)
    if not write and not check:
        typer.echo(summary_tables.missing(found))
        return
    text = page.read_text()
    wanted = filled(text, found)
    if write:
        page.write_text(wanted)
    elif text != wanted:
        typer.echo(difference(text, wanted))
        raise typer.Exit(1)
