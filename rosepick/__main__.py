"""The command line."""

from __future__ import annotations

import os
import sys
from importlib import metadata
from typing import NoReturn

import typer

from . import __version__, config, logs
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


@app.command()
def serve() -> None:
    """Run one router, configured by the file that GW_CONFIG names."""
    from .net.server import Server

    told = _config()
    logs.set_up()
    try:
        server = Server(told, reread=_reread)
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
