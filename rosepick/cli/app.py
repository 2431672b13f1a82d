"""The command line, put together from its groups. Each group is a module with a function `add` to it."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module

import typer

GROUPS = ("serve", "replay", "mget", "lease", "fleet", "release", "lab")
SERVE_COMMANDS = ("serve", "check", "check-config", "version")


def command_line(groups: Sequence[str] = GROUPS) -> typer.Typer:
    """The commands of these groups."""
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
    """Run the command that the arguments name. Where it is of the group that serves, the others are not even
    loaded: routers of a whole fleet start at one time, and each has a part of a core.
    """
    serving = len(sys.argv) > 1 and sys.argv[1] in SERVE_COMMANDS
    command_line(GROUPS[:1] if serving else GROUPS)()
