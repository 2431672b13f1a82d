"""Shared functions of the commands: exits with an error, and loading of the configuration files."""

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
    """Print one line to standard error and exit with a status."""
    print(f"rosepick: {line}", file=sys.stderr)
    raise typer.Exit(status)


@contextmanager
def require_extra(extra: str) -> Iterator[None]:
    """Exit with an error that names the extra, if the block imports a library that is not installed."""
    try:
        yield
    except ModuleNotFoundError as error:
        if error.name is None or error.name.partition(".")[0] == "rosepick":
            raise
        exit_with_error(
            f"{error.name} is missing; `pip install 'rosepick[{extra}]'` brings what this needs", 2
        )


def load_config() -> config.Config:
    """Return the configuration that GW_CONFIG names.

    Raises:
        ConfigError: the configuration cannot be read or is invalid.
    """
    return config.load(os.environ)


def load_config_or_exit() -> config.Config:
    """Return the configuration that GW_CONFIG names; exit with an error if it is invalid."""
    try:
        return load_config()
    except config.ConfigError as error:
        exit_with_error(error)


def load_operator_file_or_exit(path: Path | None) -> OperatorFile:
    """Return the operators' file; if it has faults, exit with a line for each."""
    try:
        return operator_file.load(path)
    except OperatorFileError as error:
        exit_with_error("\nrosepick: ".join(map(str, error.faults)))
