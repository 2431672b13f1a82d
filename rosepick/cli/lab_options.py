"""Shared options of the lab commands, and the report of faults in files and options."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, NoReturn

import typer

from .common import exit_with_error

ExperimentsArgument = Annotated[list[Path], typer.Argument(help="Experiment files.")]
OutOption = Annotated[Path | None, typer.Option("--out", help="Append results to this file, as JSON lines.")]
SeedsOption = Annotated[str, typer.Option(help="A seed, comma-separated seeds, or a range as 1..5.")]
WorkersOption = Annotated[int, typer.Option(min=1, max=256, help="Number of worker processes.")]


def parse_seeds(text: str, default: int) -> list[int]:
    """Return the seeds in an option's text; only the default if the text is empty."""
    from ..lab.grid import parse_grid

    try:
        cells = parse_grid([f"seed={text}"] if text else ())
    except ValueError as error:
        exit_with_faults(error)
    return [default if cell.seed is None else cell.seed for cell in cells]


def exit_with_faults(error: Exception) -> NoReturn:
    """Print each line of the error to standard error and exit with status 2."""
    exit_with_error(str(error).replace("\n", "\nrosepick: "), 2)
