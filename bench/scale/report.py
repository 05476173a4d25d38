"""`python -m bench.scale report`: fill the tables of docs/CAPACITY.md from the records, or check them.

A table stands between `<!-- table: NAME -->` and `<!-- end -->`; all else on the page is prose.
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
    return Sources(read_layout(), read_size(), list(records.read_all(folder)))


def filled(page: str, found: Sources) -> str:
    """The page with every table as the records give it; ValueError where a table is unknown or missing."""
    there = [match[1] for match in TABLE.finditer(page)]
    lacking = sorted(set(tables.names(found)) - set(there))
    if lacking:
        raise ValueError(f"the page lacks the tables {', '.join(lacking)}")

    def fill(match: re.Match[str]) -> str:
        return f"<!-- table: {match[1]} -->\n\n{tables.render(found, match[1])}\n<!-- end -->"

    return TABLE.sub(fill, page)


def difference(page: str, wanted: str) -> str:
    lines = difflib.unified_diff(
        page.splitlines(), wanted.splitlines(), "the page", "as the records give it", lineterm="", n=0
    )
    return "\n".join(list(lines)[:DIFFERENCE_LINES])


@app.command()
def report(
    write: Annotated[bool, typer.Option("--write", help="Fill the tables.")] = False,
    check: Annotated[bool, typer.Option("--check", help="Exit 1 where the page differs.")] = False,
    page: Annotated[Path, typer.Option(help="To fill or check.")] = PAGE,
    folder: Annotated[Path, typer.Option(help="Of the records.")] = records.FOLDER,
) -> None:
    """Fill or check the tables of docs/CAPACITY.md; with neither print what is missing."""
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
