"""The command line, put together from its groups. Each group is a module with a function `add` to it."""

from __future__ import annotations

import typer

from . import batches, lab, replaying, serving

app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
    help="A client-side router for cache nodes.",
)
for group in (serving, replaying, batches, lab):
    group.add(app)
