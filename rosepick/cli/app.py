"""The command line application; each group of commands is a module with a function `add`."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module

import typer

GROUPS = ("serve", "replay", "mget", "witness", "lease", "agent", "drain", "fleet", "release", "lab")
SERVE_GROUPS = ("serve",)
SERVE_COMMANDS = ("serve", "check", "check-config", "version")


def command_line(groups: Sequence[str] = GROUPS) -> typer.Typer:
    """Return an application with the commands of the named groups."""
    app = typer.Typer(
        add_completion=False,
        no_args_is_help=True,
        pretty_exceptions_enable=False,
        help="A client-side router for cache nodes.",
    )
    for group in groups:
        import_module(f".{group}", __package__).add(app)
    return app


def app() -> None:
    """Run the command that the command line arguments name.

    For commands of the `serve` group only that group is imported: all routers of a fleet may start at the
    same time, each with a fraction of a core.
    """
    is_serve_command = len(sys.argv) > 1 and sys.argv[1] in SERVE_COMMANDS
    command_line(SERVE_GROUPS if is_serve_command else GROUPS)()
