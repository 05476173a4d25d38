"""`python -m bench.scale COMMAND` runs the scale tests (bench/scale/README.md); --help lists all commands."""

from __future__ import annotations

import importlib
import importlib.util

import typer

# Modules of this package with a typer `app`.
COMMAND_MODULES = (
    "control",
    "listing",
    "datapath",
    "chains",
    "report",
)


def commands() -> typer.Typer:
    """Return one program with the commands of all modules."""
    program = typer.Typer(help="Scale tests of the platform in bench/scale/size.toml.", no_args_is_help=True)
    for module in COMMAND_MODULES:
        name = f"bench.scale.{module}"
        if importlib.util.find_spec(name) is not None:
            program.add_typer(importlib.import_module(name).app)
    return program


if __name__ == "__main__":
    commands()(prog_name="python -m bench.scale")
