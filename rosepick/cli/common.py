"""What several commands need: how they end on a fault, and the files that they read."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from ..settings import config, operator_file
from ..settings.operator_file import OperatorFile, OperatorFileError

OperatorFileOption = Annotated[Path | None, typer.Option("-f", "--file", help="The operators' file.")]


def exit_with_error(line: object, status: int = 1) -> NoReturn:
    """End with one line on standard error."""
    print(f"rosepick: {line}", file=sys.stderr)
    raise typer.Exit(status)


@contextmanager
def require_extra(extra: str) -> Iterator[None]:
    """A library of that extra that is not there is one line, and the end."""
    try:
        yield
    except ModuleNotFoundError as problem:
        if problem.name is None or problem.name.partition(".")[0] == "rosepick":
            raise
        exit_with_error(
            f"{problem.name} is missing; `pip install 'rosepick[{extra}]'` brings what this needs", 2
        )


def load_config() -> config.Config:
    """The configuration that GW_CONFIG names. ConfigError if it cannot be used."""
    return config.load(os.environ)


def load_config_or_exit() -> config.Config:
    """The same; a fault is the end."""
    try:
        return load_config()
    except config.ConfigError as problem:
        exit_with_error(problem)


def load_operator_file_or_exit(path: Path | None) -> OperatorFile:
    """What the operators' file says; each of its faults is a line, and the end."""
    try:
        return operator_file.load(path)
    except OperatorFileError as problem:
        exit_with_error("\nrosepick: ".join(map(str, problem.faults)))
