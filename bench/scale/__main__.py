"""`python -m bench.scale COMMAND`: the scale tests (bench/scale/README.md); --help names all commands."""

from __future__ import annotations

import importlib
import importlib.util

import typer

PARTS = (
    "control",
    "listing",
    "datapath",
    "chains",
    "report",
)  # modules of this package, each with commands in its `app`


def commands() -> typer.Typer:
    """The commands of all parts as one program."""
    program = typer.Typer(help="Scale tests of the platform in bench/scale/size.toml.", no_args_is_help=True)
    for part in PARTS:
        name = f"bench.scale.{part}"
        if importlib.util.find_spec(name) is not None:
            program.add_typer(importlib.import_module(name).app)
    return program


if __name__ == "__main__":
    commands()(prog_name="python -m bench.scale")
