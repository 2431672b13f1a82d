"""The commands `serve`, `check`, `check-config` and `version`."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Annotated

import typer

from .. import __version__
from ..core.endpoint_directory import EndpointDirectory
from .common import (
    OperatorFileOption,
    exit_with_error,
    load_config_or_exit,
)
from .router_process import ServeArguments, run_router


def serve(
    file: OperatorFileOption = None,
    capture: Annotated[bool, typer.Option("--capture", help="Record a capture; SIGUSR2 writes it.")] = False,
) -> None:
    """Run one router, configured by the file that GW_CONFIG names and by the operators' file."""
    status = run_router(ServeArguments(file, capture))
    if status:
        raise typer.Exit(status)


def check(
    file: OperatorFileOption = None,
    fleet: Annotated[Path | None, typer.Option("--fleet", help="Check only this fleet file.")] = None,
) -> None:
    """Report every fault of the operators' file and of GW_CONFIG, then each effective value with its source.

    Exits with 0 if there is no fault, else with 1. Opens no socket.
    """
    from .check import check_settings

    if fleet is not None:
        from .quorum_session import load_fleet_or_exit

        load_fleet_or_exit(fleet)
        print(f"ok: {fleet}")
        return

    faults, values = check_settings(file, os.environ)
    print("\n".join([*faults, *([""] if faults else []), *values]))
    raise typer.Exit(1 if faults else 0)


def check_config() -> None:
    """Read the configuration as `serve` does and print a summary."""
    loaded = load_config_or_exit()
    directory = EndpointDirectory(loaded.names, 0.0)
    try:
        endpoints = directory.apply_update(loaded.known, is_cached=True).event.endpoints
    except ValueError as error:
        exit_with_error(f"known: {error}")
    print(
        f"ok: {loaded.name} listens on {loaded.listen[0]}:{loaded.listen[1]}, "
        f"{len(loaded.settings.classes)} classes, {len(endpoints)} known next hops"
    )


def version() -> None:
    """Print the versions of the program, Python and the main dependencies."""
    from importlib import metadata

    parts = ", ".join(f"{name} {metadata.version(name)}" for name in ("httptools", "typer"))
    print(f"rosepick {__version__} (python {sys.version.split()[0]}, {parts})")


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    app.command()(serve)
    app.command()(check)
    app.command("check-config")(check_config)
    app.command()(version)
