"""What several commands need: how they end on a fault, and the files that they read."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from ..settings import config, operator_file
from ..settings.operator_file import OperatorFile, OperatorFileError

File = Annotated[Path | None, typer.Option("-f", "--file", help="The operators' file.")]


def stop(line: object, status: int = 1) -> NoReturn:
    """End with one line on standard error."""
    print(f"rosepick: {line}", file=sys.stderr)
    raise typer.Exit(status)


def reread() -> config.Config:
    """The configuration that GW_CONFIG names. ConfigError if it cannot be used."""
    return config.load(os.environ)


def configuration() -> config.Config:
    """The same; a fault is the end."""
    try:
        return reread()
    except config.ConfigError as problem:
        stop(problem)


def operators_of(path: Path | None) -> OperatorFile:
    """What the operators' file says; each of its faults is a line, and the end."""
    try:
        return operator_file.load(path)
    except OperatorFileError as problem:
        stop("\nrosepick: ".join(map(str, problem.faults)))
