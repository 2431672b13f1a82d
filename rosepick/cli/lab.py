"""The commands of `rosepick lab`, and `rosepick demo`. See docs/lab.md.

Dependencies of the extra `lab` are imported only when one of its commands runs.
"""

from __future__ import annotations

from typing import Annotated

import typer

from . import lab_drills, lab_experiments, lab_results
from .common import require_extra


def demo(
    seconds: Annotated[int, typer.Option(min=10, max=600, help="Duration of the traffic in seconds.")] = 60,
) -> None:
    """Run a small fleet on this machine and show its behavior.

    The fleet has one router and a slow node, and a node restarts.
    """
    with require_extra("lab"):
        from ..lab.demo import run_demo

        raise typer.Exit(run_demo(seconds))


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    lab = typer.Typer(no_args_is_help=True, help="Experiments on a model of the fleet.")
    for commands in (lab_experiments, lab_results, lab_drills):
        commands.add(lab)
    app.add_typer(lab, name="lab")
    app.command()(demo)
