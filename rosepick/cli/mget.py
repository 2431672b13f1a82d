"""The command `rosepick mget`: one batch of reads, sent as a client would."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Annotated

import typer

from ..settings import config
from ..settings.operator_file import OperatorFile
from .common import OperatorFileOption, exit_with_error, load_config_or_exit, load_operator_file_or_exit


def mget(
    keys: Annotated[list[str] | None, typer.Argument(help="Without any: one a line, standard input.")] = None,
    file: OperatorFileOption = None,
    to: Annotated[str | None, typer.Option(help="host:port; else as the files tell.")] = None,
    kind: Annotated[str | None, typer.Option(help="Req-Kind; else GW_CONFIG's first class.")] = None,
    owner: Annotated[str | None, typer.Option(help="Req-Owner; else GW_CONFIG's first tenant.")] = None,
    deadline: Annotated[float, typer.Option(help="Req-Deadline in seconds.", min=0.001)] = 1.0,
) -> None:
    """Send one batch of reads and print its answer.

    Ends with 0 if all was served, with 1 if a part was not, and with 2 if there is no answer.
    """
    from .batch_client import BatchError, send_batch

    loaded = load_config_or_exit() if to is None or kind is None or owner is None else None
    try:
        endpoint = (
            config.parse_address(to)
            if to is not None
            else _batch_endpoint(loaded, load_operator_file_or_exit(file))
        )
        if keys is None:
            keys = sys.stdin.read().split()
        response = send_batch(
            endpoint,
            keys,
            kind or _first_name(loaded.names.classes if loaded else None),
            owner or _first_name(loaded.names.tenants if loaded else None),
            deadline,
        )
    except (BatchError, ValueError) as error:
        exit_with_error(error, 2)
    sys.stdout.buffer.write(response.body)
    raise typer.Exit(0 if response.all_served else 1)


def _batch_endpoint(loaded: config.Config | None, operators: OperatorFile) -> tuple[str, int]:
    """Return the batch listener's address, as the files state it."""
    port = operators.optional_integer("multiget_listen")
    if loaded is None or not port:
        raise ValueError("no door for batches: name one by --to, or by -f a file that sets multiget_listen")
    return loaded.listen[0], port


def _first_name(names: Mapping[str, int] | None) -> str:
    return next(iter(names), "-") if names else "-"


def add(app: typer.Typer) -> None:
    """Add the commands of this group."""
    app.command()(mget)
