"""The command line."""

from __future__ import annotations

import os
import sys
from importlib import metadata
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from . import __version__, config, logs, operator_file
from .operator_file import OperatorFile, OperatorFileError
from .transport_map import TransportMap

app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
    help="A client-side router for cache nodes.",
)


def _stop(line: object) -> NoReturn:
    print(f"rosepick: {line}", file=sys.stderr)
    raise typer.Exit(1)


def _config() -> config.Config:
    try:
        return _reread()
    except config.ConfigError as problem:
        _stop(problem)


def _reread() -> config.Config:
    return config.load(os.environ)


File = Annotated[Path | None, typer.Option("-f", "--file", help="The operators' file.")]


def _operators(path: Path | None) -> OperatorFile:
    """What the operators' file says; each of its faults is a line, and the end."""
    try:
        return operator_file.load(path)
    except OperatorFileError as problem:
        _stop("\nrosepick: ".join(map(str, problem.faults)))


@app.command()
def serve(file: File = None) -> None:
    """Run one router, configured by the file that GW_CONFIG names and by the operators' file."""
    from .net.server import Server

    operators, told = _operators(file), _config()
    logs.set_up()
    reread_operators = None if file is None else lambda: operator_file.load(file)
    try:
        server = Server(told, None, _reread, operators, reread_operators)
    except (OSError, ValueError) as problem:
        _stop(problem)
    server.run()


@app.command()
def version() -> None:
    """Print the versions of the program and of what it runs on."""
    parts = ", ".join(f"{name} {metadata.version(name)}" for name in ("httptools", "typer"))
    print(f"rosepick {__version__} (python {sys.version.split()[0]}, {parts})")


@app.command("check-config")
def check_config() -> None:
    """Read the configuration as `serve` would and say what it holds."""
    told = _config()
    try:
        hops = TransportMap(told.names, 0.0).take(told.known, cached=True).event.members
    except ValueError as problem:
        _stop(f"known: {problem}")
    print(
        f"ok: {told.name} listens on {told.listen[0]}:{told.listen[1]}, "
        f"{len(told.settings.classes)} classes, {len(hops)} known next hops"
    )


if __name__ == "__main__":
    app()
