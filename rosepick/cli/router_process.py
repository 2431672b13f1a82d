"""Starts one router; imports no command line library, whose memory a small router lacks for its clients."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from .. import logs
from ..settings import config, operator_file
from ..settings.operator_file import OperatorFileError, OperatorOptions

FILE_OPTIONS = ("-f", "--file")
CAPTURE_OPTION = "--capture"


class ServeArguments(NamedTuple):
    """The arguments of `rosepick serve`."""

    file: Path | None = None  # the operators' file
    capture: bool = False  # whether to record a capture


def parse_serve_arguments(arguments: Sequence[str]) -> ServeArguments | None:
    """Return the arguments of a plain `serve ...`; None for all else, for the command line library."""
    if not arguments or arguments[0] != "serve":
        return None
    parsed = ServeArguments()
    words = iter(arguments[1:])
    for word in words:
        if word == CAPTURE_OPTION:
            parsed = parsed._replace(capture=True)
            continue
        path = next(words, "") if word in FILE_OPTIONS else ""
        if not path or path.startswith("-"):
            return None
        parsed = parsed._replace(file=Path(path))
    return parsed


def run_router(arguments: ServeArguments) -> int:
    """Run one router until a signal ends it; return the exit status, 1 if it cannot start."""
    _leave_out_openssl()
    from ..net.server import RouterServer

    file = arguments.file
    try:
        operators = OperatorOptions(
            operator_file.load(file),
            None if file is None else lambda: operator_file.load(file),
            arguments.capture,
        )
    except OperatorFileError as error:
        return _report(*error.faults)
    try:
        loaded = config.load(os.environ)
    except config.ConfigError as error:
        return _report(error)
    logs.configure_logging()
    try:
        server = RouterServer(loaded, None, lambda: config.load(os.environ), operators)
    except (OSError, ValueError) as error:
        return _report(error)
    server.run()
    return 0


def _leave_out_openssl() -> None:
    """Let hashlib use Python's own functions: OpenSSL takes 3 MB, and only TLS needs it, through `ssl`."""
    sys.modules.setdefault("_hashlib", None)  # type: ignore[arg-type]


def _report(*faults: object) -> int:
    """Print each fault to standard error; return the exit status."""
    for fault in faults:
        print(f"rosepick: {fault}", file=sys.stderr)
    return 1
