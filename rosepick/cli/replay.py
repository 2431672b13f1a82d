"""The command `rosepick replay`, which replays a capture under other settings."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ..settings import config
from .common import exit_with_error, load_config


def replay(
    files: Annotated[list[Path], typer.Argument(help="One capture, or several consecutive ones.")],
) -> None:
    """Replay a capture under the settings of GW_CONFIG and print the decisions that differ.

    Exits with 0 if no decision differs, with 1 if one does, and with 2 if the capture cannot be replayed.
    """
    from ..capture.record_reader import MalformedLineError, RecordReader
    from ..capture.replay import ReplayError, replay

    try:
        loaded = load_config()
        sources = [RecordReader(path.read_bytes(), f"{path.name} ") for path in files]
        report = replay(sources, loaded.settings, loaded.names)
    except OSError as error:
        exit_with_error(f"{error.filename}: {error.strerror}", 2)
    except (config.ConfigError, MalformedLineError, ReplayError) as error:
        exit_with_error(error, 2)
    for line in report.lines():
        print(line)
    raise typer.Exit(1 if report.differing else 0)


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    app.command()(replay)
