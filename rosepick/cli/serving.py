"""Commands that serve, and that look at what serving would read: serve, check, check-config, version."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Annotated

import typer

from .. import __version__, logs
from ..core.transport_map import TransportMap
from ..settings import operator_file
from ..settings.operator_file import Operators
from .common import File, configuration, operators_of, reread, stop


def serve(
    file: File = None,
    capture: Annotated[bool, typer.Option("--capture", help="Keep a capture; SIGUSR2 writes it.")] = False,
) -> None:
    """Run one router, configured by the file that GW_CONFIG names and by the operators' file."""
    from ..net.server import Server

    again = None if file is None else lambda: operator_file.load(file)
    operators, told = Operators(operators_of(file), again, capture), configuration()
    logs.set_up()
    try:
        server = Server(told, None, reread, operators)
    except (OSError, ValueError) as problem:
        stop(problem)
    server.run()


def check(
    file: File = None,
    fleet: Annotated[Path | None, typer.Option("--fleet", help="The fleet's file; then only that.")] = None,
) -> None:
    """Name every fault of the operators' file and of GW_CONFIG, then each value in force with its source.

    Ends with 0 if there is no fault, else with 1. Opens no socket.
    """
    from .check import check as checked

    if fleet is not None:
        from .leasing import fleet_of

        fleet_of(fleet)  # each fault is a line, and the end
        print(f"ok: {fleet}")
        return

    faults, values = checked(file, os.environ)
    print("\n".join([*faults, *([""] if faults else []), *values]))
    raise typer.Exit(1 if faults else 0)


def check_config() -> None:
    """Read the configuration as `serve` would and say what it holds."""
    told = configuration()
    try:
        hops = TransportMap(told.names, 0.0).take(told.known, cached=True).event.members
    except ValueError as problem:
        stop(f"known: {problem}")
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
