"""Commands of the lab: experiments on a model of the fleet, and `rosepick demo`. See docs/lab.md.

Nothing of the extra `lab` is imported before one of its commands runs.
"""

from __future__ import annotations

from typing import Annotated

import typer

from . import lab_drills, lab_experiments, lab_results
from .common import require_extra


def demo(
    seconds: Annotated[int, typer.Option(min=10, max=600, help="How long traffic lasts.")] = 60,
) -> None:
    """Start a small fleet on this machine and show what happens.

    It has one router, a slow node and a restart.
    """
    with require_extra("lab"):
        from ..lab.demo import run_demo

        raise typer.Exit(run_demo(seconds))


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    lab = typer.Typer(no_args_is_help=True, help="Experiments on a model of the fleet.")
    for commands in (lab_experiments, lab_results, lab_drills):
        commands.add(lab)
    app.add_typer(lab, name="lab")
    app.command()(demo)
