"""Commands that ask as a client does: mget."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Annotated

import typer

from ..settings import config
from ..settings.operator_file import OperatorFile
from .common import File, configuration, operators_of, stop


def mget(
    keys: Annotated[list[str] | None, typer.Argument(help="Without any: one a line, standard input.")] = None,
    file: File = None,
    to: Annotated[str | None, typer.Option(help="host:port; else as the files tell.")] = None,
    kind: Annotated[str | None, typer.Option(help="Req-Kind; else GW_CONFIG's first class.")] = None,
    owner: Annotated[str | None, typer.Option(help="Req-Owner; else GW_CONFIG's first tenant.")] = None,
    deadline: Annotated[float, typer.Option(help="Req-Deadline in seconds.", min=0.001)] = 1.0,
) -> None:
    """Send one batch of reads and print its answer.

    Ends with 0 if all was served, with 1 if a part was not, and with 2 if there is no answer.
    """
    from .batch import NoAnswer, ask

    told = configuration() if to is None or kind is None or owner is None else None
    try:
        endpoint = config.address(to) if to is not None else _batches(told, operators_of(file))
        if keys is None:
            keys = sys.stdin.read().split()
        body, whole = ask(
            endpoint,
            keys,
            kind or _first(told.names.classes if told else None),
            owner or _first(told.names.tenants if told else None),
            deadline,
        )
    except (NoAnswer, ValueError) as problem:
        stop(problem, 2)
    sys.stdout.buffer.write(body)
    raise typer.Exit(0 if whole else 1)


def _batches(told: config.Config | None, operators: OperatorFile) -> tuple[str, int]:
    """Where batches go by the files."""
    port = operators.number("multiget_listen")
    if told is None or not port:
        raise ValueError("no door for batches: name one by --to, or by -f a file that sets multiget_listen")
    return told.listen[0], port


def _first(names: Mapping[str, int] | None) -> str:
    return next(iter(names), "-") if names else "-"


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.command()(mget)
