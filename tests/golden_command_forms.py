"""The command line: names of commands and options, the output of commands, and their exit statuses.

This module is a part of golden_forms and follows its rules: program names are imported only here. Commands
run in this process; fleet commands use replicas in memory in place of connections to witnesses.
"""

from __future__ import annotations

import contextlib
import json
import os
import shlex
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any
from unittest import mock

import typer
from typer.testing import CliRunner

from rosepick.cli.app import command_line
from rosepick.consensus import messages
from rosepick.consensus.acceptor import Acceptor
from rosepick.consensus.messages import Ballot, Register, RegisterState
from rosepick.coordination import quorum_client
from rosepick.fleet import fleet_state, rollout_state
from rosepick.leases import lease_record

from .golden_capture_forms import router_document
from .golden_fleet_forms import LEASE, fleet_state_value, rollout_state_value, write_register
from .golden_quorum_forms import QUORUM, replica
from .golden_support import GOLDEN, Form, as_json, temporary_folder
from .scenario import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
CONNECTIONS_TARGET = f"{quorum_client.__name__}.{quorum_client.tcp_connection_factory.__name__}"
FLEET_FILE = '[witnesses]\nw1 = "127.0.0.1:7901"\nw2 = "127.0.0.1:7902"\nw3 = "127.0.0.1:7903"\n'
BROKEN_FLEET_FILE = '[witnesses]\nw1 = "nowhere"\n'
OPERATORS_FILE = "# ours\ncapture_segments 3\nidle_timeout 1.5 s\nmultiget_listen 5003\n"
BROKEN_OPERATORS_FILE = "capture_segmets 4\ncapture_segment_kb 9000\n"

OUTPUT = (
    "check-config",
    "check",
    "check -f rosepick.conf",
    "check --fleet fleet.toml",
    "replay capture.txt",
    "witness status --json",
    "lease list --json",
    "lease list",
    "lease show job --json",
    "lease show none --json",
    "lease show job",
    "fleet status --json",
    "fleet history --json",
    "fleet history",
    "fleet rules",
    "release status --json",
    "release history --json",
    "release history",
)
"""Commands whose exit status and output are recorded."""

OUTPUT_WHEN_CHANGED = ("check-config", "replay capture.txt")
"""Commands whose exit status and output are recorded under settings that change decisions."""

STATUS = (
    "nonsense",
    "version",
    "check -f broken.conf",
    "check --fleet broken.toml",
    "replay none.txt",
    "replay --nonsense",
    "mget --to nowhere k1",
    "lease show job --fleet none.toml",
    "lease show job --fleet broken.toml",
    "lease release job",
    "lease release none --force --why x",
    "lease run '' -- true",
    "witness run w9 --folder w9",
    "witness found",
    "witness remove w9",
    "agent run r1 --folder r1 --zone e --door nowhere -- true",
    "agent run r1 --folder r1 --zone e --door 127.0.0.1:1 --kind odd -- true",
    "drain",
    "drain r1",
    "drain r9 --why x",
    "drain r2 --why x --even-below r2",
    "undrain r9",
    "fleet halt",
    "fleet resume",
    "fleet write-off r1",
    "fleet write-off r9 --why x",
    "fleet write-off r1 --back",
    "release start",
    "release start build --settings x",
    "release halt",
    "release rollback",
    "release rollback --forward --why x",
    "lab check none.toml",
    "lab report none.jsonl",
    "lab account none.log",
    "lab drill none.toml",
    "lab mutations none.toml",
)
"""Commands whose exit status alone is recorded, as their messages may be reworded."""


# ------------------------------------------------------------------------------------ names


def command_names() -> dict[str, Any]:
    """Return every command with its options by name and its arguments by position."""
    found: dict[str, Any] = {}

    def walk(command: Any, path: tuple[str, ...]) -> None:
        found[" ".join(path)] = {
            "arguments": [_parameter(one) for one in command.params if one.param_type_name == "argument"],
            "options": {
                name: _parameter(one)
                for one in command.params
                if one.param_type_name == "option"
                for name in (*one.opts, *one.secondary_opts)
            },
        }
        for name, part in getattr(command, "commands", {}).items():
            walk(part, (*path, name))

    walk(typer.main.get_command(command_line()), ())
    return found


def _parameter(one: Any) -> dict[str, object]:
    """Return the public properties of a parameter, without its name in the code."""
    default = one.default if isinstance(one.default, bool | int | float | str | None) else str(one.default)
    return {
        "kind": one.type.name,
        "range": [getattr(one.type, "min", None), getattr(one.type, "max", None)],
        "required": one.required,
        "nargs": one.nargs,
        "multiple": bool(getattr(one, "multiple", False)),
        "flag": bool(getattr(one, "is_flag", False)),
        "default": default,
        "environment": one.envvar,
    }


# ------------------------------------------------------------------------------------ output


class _MemoryConnection:
    """A connection to one replica in memory."""

    def __init__(self, loop: Any, name: str, acceptor: Acceptor, handle_reply: Callable[..., None]) -> None:
        self._loop, self._name, self._acceptor, self._handle_reply = loop, name, acceptor, handle_reply

    def send(self, request: messages.QuorumRequest) -> None:
        """Deliver the reply in the next iteration of the event loop."""
        reply, _ = self._acceptor.handle(request)
        self._loop.call_after(0.0, lambda: self._handle_reply(self._name, reply))

    def close(self) -> None:
        """Do nothing."""


def _registers() -> dict[str, RegisterState]:
    values = {
        lease_record.register_key("job"): write_register(LEASE),
        fleet_state.fleet_state_key("main"): fleet_state.encode_fleet_state(fleet_state_value()),
        rollout_state.rollout_state_key("main"): rollout_state.encode_rollout_state(rollout_state_value()),
    }
    return {
        name: RegisterState(Ballot(1, 7), Ballot(1, 7), Register(1, "a1", value))
        for name, value in values.items()
    }


def in_memory(loop: Any, witnesses: Mapping[str, object], key: bytes) -> Callable[..., Mapping[str, Any]]:
    """Return connections to three replicas in memory that hold the golden registers."""
    replicas = {one.name: replica(one.name) for one in QUORUM.members}
    for one in replicas.values():
        one.handle(messages.InstallEpochRequest(1, QUORUM, _registers()))
    return lambda handle_reply: {
        name: _MemoryConnection(loop, name, one, handle_reply) for name, one in replicas.items()
    }


def _run(app: typer.Typer, command: str) -> tuple[int, str]:
    result = CliRunner().invoke(app, shlex.split(command), env={"USER": "somebody"})
    assert result.exception is None or isinstance(result.exception, SystemExit), command
    return result.exit_code, result.stdout


def run_commands() -> dict[str, object]:
    """Run all commands in a temporary folder with their input files."""
    limits = {**SETTINGS["limits"], "max_attempts": 1}
    files = {
        "changed.json": json.dumps(router_document({**SETTINGS, "limits": limits})).encode(),
        "config.json": json.dumps(router_document(SETTINGS)).encode(),
        "fleet.toml": FLEET_FILE.encode(),
        "broken.toml": BROKEN_FLEET_FILE.encode(),
        "rosepick.conf": OPERATORS_FILE.encode(),
        "broken.conf": BROKEN_OPERATORS_FILE.encode(),
        "capture.txt": (GOLDEN / "capture-recorded.txt").read_bytes(),
    }
    environment = {"GW_CONFIG": "config.json", "ROSEPICK_FLEET": "fleet.toml"}
    with (
        temporary_folder() as folder,
        contextlib.chdir(folder),
        mock.patch.dict(os.environ, environment),
        mock.patch(CONNECTIONS_TARGET, in_memory),
    ):
        for name, data in files.items():
            (folder / name).write_bytes(data)
        app = command_line()
        output = {command: list(_run(app, command)) for command in OUTPUT}
        status = {command: _run(app, command)[0] for command in STATUS}
        with mock.patch.dict(os.environ, {"GW_CONFIG": "changed.json"}):
            changed = {command: list(_run(app, command)) for command in OUTPUT_WHEN_CHANGED}
    return {"output": output, "status": status, "changed": changed}


COMMAND_FORMS: dict[str, Form] = {
    "command-names.json": Form(command_names, as_json, grows=True),
    "commands.json": Form(run_commands, as_json),
}
