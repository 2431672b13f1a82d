"""The command `rosepick mget`, which sends one batch of reads."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Annotated

import typer

from ..settings import config
from ..settings.operator_file import OperatorFile
from .common import OperatorFileOption, exit_with_error, load_config_or_exit, load_operator_file_or_exit


def mget(
    keys: Annotated[
        list[str] | None, typer.Argument(help="Keys; default: standard input, one per line.")
    ] = None,
    file: OperatorFileOption = None,
    to: Annotated[str | None, typer.Option(help="host:port; default: as configured.")] = None,
    kind: Annotated[str | None, typer.Option(help="Req-Kind; default: GW_CONFIG's first class.")] = None,
    owner: Annotated[str | None, typer.Option(help="Req-Owner; default: GW_CONFIG's first tenant.")] = None,
    deadline: Annotated[float, typer.Option(help="Req-Deadline in seconds.", min=0.001)] = 1.0,
) -> None:
    """Send one batch of reads and print the response.

    Exits with 0 if all reads are served, with 1 if some are not, and with 2 without a valid response.
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
    """Return the address of the batch listener from the configuration files."""
    port = operators.optional_integer("multiget_listen")
    if loaded is None or not port:
        raise ValueError("no batch listener: use --to, or -f with a file that sets multiget_listen")
    return loaded.listen[0], port


def _first_name(names: Mapping[str, int] | None) -> str:
    return next(iter(names), "-") if names else "-"


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    app.command()(mget)
