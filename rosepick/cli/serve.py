"""Commands that serve, and that look at what serving would read: serve, check, check-config, version."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Annotated

import typer

from .. import __version__, logs
from ..core.endpoint_directory import EndpointDirectory
from ..settings import operator_file
from ..settings.operator_file import OperatorOptions
from .common import (
    OperatorFileOption,
    exit_with_error,
    load_config,
    load_config_or_exit,
    load_operator_file_or_exit,
)


def serve(
    file: OperatorFileOption = None,
    capture: Annotated[bool, typer.Option("--capture", help="Keep a capture; SIGUSR2 writes it.")] = False,
) -> None:
    """Run one router, configured by the file that GW_CONFIG names and by the operators' file."""
    from ..net.server import RouterServer

    again = None if file is None else lambda: operator_file.load(file)
    operators, told = OperatorOptions(load_operator_file_or_exit(file), again, capture), load_config_or_exit()
    logs.configure_logging()
    try:
        server = RouterServer(told, None, load_config, operators)
    except (OSError, ValueError) as problem:
        exit_with_error(problem)
    server.run()


def check(
    file: OperatorFileOption = None,
    fleet: Annotated[Path | None, typer.Option("--fleet", help="The fleet's file; then only that.")] = None,
) -> None:
    """Name every fault of the operators' file and of GW_CONFIG, then each value in force with its source.

    Ends with 0 if there is no fault, else with 1. Opens no socket.
    """
    from .check import check_settings as checked

    if fleet is not None:
        from .lease import load_fleet_or_exit

        load_fleet_or_exit(fleet)  # each fault is a line, and the end
        print(f"ok: {fleet}")
        return

    faults, values = checked(file, os.environ)
    print("\n".join([*faults, *([""] if faults else []), *values]))
    raise typer.Exit(1 if faults else 0)


def check_config() -> None:
    """Read the configuration as `serve` would and say what it holds."""
    told = load_config_or_exit()
    try:
        hops = EndpointDirectory(told.names, 0.0).apply_update(told.known, is_cached=True).event.endpoints
    except ValueError as problem:
        exit_with_error(f"known: {problem}")
    print(
        f"ok: {told.name} listens on {told.listen[0]}:{told.listen[1]}, "
        f"{len(told.settings.classes)} classes, {len(hops)} known next hops"
    )


def version() -> None:
    """Print the versions of the program and of what it runs on."""
    from importlib import metadata

    parts = ", ".join(f"{name} {metadata.version(name)}" for name in ("httptools", "typer"))
    print(f"rosepick {__version__} (python {sys.version.split()[0]}, {parts})")


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.command()(serve)
    app.command()(check)
    app.command("check-config")(check_config)
    app.command()(version)
