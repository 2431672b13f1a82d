"""The command line."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from importlib import metadata
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from . import __version__, config, logs, operator_file
from .operator_file import OperatorFile, OperatorFileError, Operators
from .transport_map import TransportMap

app = typer.Typer(
    add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
    help="A client-side router for cache nodes.",
)


def _stop(line: object, status: int = 1) -> NoReturn:
    print(f"rosepick: {line}", file=sys.stderr)
    raise typer.Exit(status)


def _config() -> config.Config:
    try:
        return _reread()
    except config.ConfigError as problem:
        _stop(problem)


def _reread() -> config.Config:
    return config.load(os.environ)


File = Annotated[Path | None, typer.Option("-f", "--file", help="The operators' file.")]


def _operators(path: Path | None) -> OperatorFile:
    """What the operators' file says; each of its faults is a line, and the end."""
    try:
        return operator_file.load(path)
    except OperatorFileError as problem:
        _stop("\nrosepick: ".join(map(str, problem.faults)))


@app.command()
def serve(
    file: File = None,
    capture: Annotated[bool, typer.Option("--capture", help="Keep a capture; SIGUSR2 writes it.")] = False,
) -> None:
    """Run one router, configured by the file that GW_CONFIG names and by the operators' file."""
    from .net.server import Server

    reread = None if file is None else lambda: operator_file.load(file)
    operators, told = Operators(_operators(file), reread, capture), _config()
    logs.set_up()
    try:
        server = Server(told, None, _reread, operators)
    except (OSError, ValueError) as problem:
        _stop(problem)
    server.run()


@app.command()
def replay(
    files: Annotated[list[Path], typer.Argument(help="A capture, or several that follow on one another.")],
) -> None:
    """Feed a capture to the decisions, under the settings of GW_CONFIG, and print what they decide otherwise.

    Ends with 0 if nothing differs, with 1 if something does, and with 2 if the capture cannot be replayed.
    """
    from .capture.lines import BadLine, Lines
    from .capture.replay import CannotReplay, replay

    try:
        told = _reread()
        sources = [Lines(path.read_bytes(), f"{path.name} ") for path in files]
        report = replay(sources, told.settings, told.names)
    except OSError as problem:
        _stop(f"{problem.filename}: {problem.strerror}", 2)
    except (config.ConfigError, BadLine, CannotReplay) as problem:
        _stop(problem, 2)
    for line in report.lines():
        print(line)
    raise typer.Exit(1 if report.differing else 0)


@app.command()
def version() -> None:
    """Print the versions of the program and of what it runs on."""
    parts = ", ".join(f"{name} {metadata.version(name)}" for name in ("httptools", "typer"))
    print(f"rosepick {__version__} (python {sys.version.split()[0]}, {parts})")


@app.command()
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
    from .mget import NoAnswer, ask

    told = _config() if to is None or kind is None or owner is None else None
    try:
        endpoint = config.address(to) if to is not None else _batches(told, _operators(file))
        if keys is None:
            keys = sys.stdin.read().split()
        body, whole = ask(
            endpoint, keys, kind or _first(told.names.classes if told else None),
            owner or _first(told.names.tenants if told else None), deadline,
        )
    except (NoAnswer, ValueError) as problem:
        _stop(problem, 2)
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


@app.command()
def check(file: File = None) -> None:
    """Name every fault of the operators' file and of GW_CONFIG, then each value in force with its source.

    Ends with 0 if there is no fault, else with 1. Opens no socket.
    """
    from .check import check as checked

    faults, values = checked(file, os.environ)
    print("\n".join([*faults, *([""] if faults else []), *values]))
    raise typer.Exit(1 if faults else 0)


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
