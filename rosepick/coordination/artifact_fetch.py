"""Fetches one artifact to this host: copies it, runs its check, and runs a build for a trial.

An agent runs this module in a separate process (`FETCH_ENTRY_POINT`), so that it can manage its member in the
meantime.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
from collections.abc import Iterable
from hashlib import blake2b
from pathlib import Path

import msgspec

from ..fleet.rollout_state import SETTINGS

EXIT_HOST_FAULT = 4  # exit status: the artifact could not be fetched or tried on this host
EXIT_ARTIFACT_FAULT = 5  # exit status: the artifact failed its check or trial
FETCH_TIMEOUT_S = 120.0
TRIAL_RUN_S = 1.5  # a trial process must not exit within this time
TRIAL_STOP_TIMEOUT_S = 10.0  # a trial process must exit within this time after SIGTERM
DIGEST_BYTES = 8
LENGTH_PREFIX_BYTES = 8
EXECUTABLE_BIT = 0o100
SKIPPED_FOLDERS = ("__pycache__",)
# The path is an argument, because the check and the trial would inherit PYTHONPATH and import from there.
FETCH_ENTRY_POINT = (
    "import sys; sys.path.insert(0, sys.argv.pop(1)); "
    "from rosepick.coordination.artifact_fetch import main; main()"
)


class FetchError(Exception):
    """Raised if a fetch fails; `status` is `EXIT_HOST_FAULT` or `EXIT_ARTIFACT_FAULT`."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class FetchOptions(msgspec.Struct, frozen=True):
    """Says how a fetched artifact is checked and tried; passed to the fetching process as JSON.

    `kind` is `BUILD` or `SETTINGS`. `config` is the router's own configuration file (empty: none). `check`
    and `command` are commands with `{build}` for the build's path. `build` and `settings` are the paths of
    the artifacts that the member runs now. `scratch` is the path next to which configurations are written.
    """

    kind: str
    config: str
    check: list[str]
    command: list[str]
    build: str
    settings: str
    scratch: str


def compute_digest(path: Path) -> str:
    """Return the digest of a file's content, or of all paths, executable bits and contents in a folder.

    Raises:
        OSError: The file, the folder or a file in it cannot be read.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    if path.is_file():
        digest.update(path.read_bytes())
        return digest.hexdigest()
    for file in _files_below(path):
        is_executable = bool(file.lstat().st_mode & EXECUTABLE_BIT)
        content = os.readlink(file).encode() if file.is_symlink() else file.read_bytes()
        for part in (str(file.relative_to(path)).encode(), bytes([is_executable]), content):
            digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big") + part)
    return digest.hexdigest()


def _files_below(folder: Path) -> Iterable[Path]:
    if not folder.is_dir():
        raise FileNotFoundError(2, "no such folder", str(folder))
    files: list[Path] = []
    for top, folders, names in os.walk(folder):
        folders[:] = [name for name in folders if name not in SKIPPED_FOLDERS]
        files += [Path(top, name) for name in names]
        files += [Path(top, name) for name in folders if Path(top, name).is_symlink()]
    return sorted(files)


def compose_config(base: Path, settings: Path | None) -> str:
    """Return a router's configuration as JSON: its own file `base` with the fleet's settings added.

    Raises:
        OSError: A file cannot be read.
        ValueError: A file is not valid JSON.
    """
    config = json.loads(base.read_text("utf-8"))
    if settings is not None:
        config["settings"] = json.loads(settings.read_text("utf-8"))
    return json.dumps(config)


def fill_command(command: Iterable[str], build: Path | str) -> list[str]:
    """Return a command with `{build}` replaced by the path of a build."""
    return [word.replace("{build}", str(build)) for word in command]


def fetch_artifact(source: Path, digest: str, target: Path, options: FetchOptions) -> None:
    """Copy an artifact from `source` to `target`, check it, try it, and write the file that marks it ready.

    Raises:
        FetchError: The artifact cannot be fetched, or it failed its check or trial.
    """
    try:
        if not (target.exists() and compute_digest(target) == digest):
            _copy_artifact(source, digest, target)
    except OSError as error:
        raise FetchError(EXIT_HOST_FAULT, f"{error.strerror}: {error.filename}") from None
    if options.kind == SETTINGS:
        _run_check(options, options.build, target)
    else:
        _run_check(options, str(target), Path(options.settings) if options.settings else None)
        if options.config:  # without one, a trial would listen on the ports of the running process
            _run_trial(options, target)
    target.with_name(f"{target.name}.ready").write_text(digest, "ascii")


def remove_path(path: Path, ignore_errors: bool = False) -> None:
    """Remove a file or a folder tree; `ignore_errors` skips the parts of a tree that cannot be removed."""
    if path.is_dir():
        shutil.rmtree(path, ignore_errors=ignore_errors)
    else:
        path.unlink(missing_ok=True)


def _copy_artifact(source: Path, digest: str, target: Path) -> None:
    partial = target.with_name(f".{target.name}.{os.getpid()}")
    for old in (partial, target):
        remove_path(old)
    try:
        if source.is_dir():
            shutil.copytree(source, partial, symlinks=True, ignore=shutil.ignore_patterns(*SKIPPED_FOLDERS))
        else:
            shutil.copy2(source, partial)
        actual_digest = compute_digest(partial)
        if actual_digest != digest:
            raise FetchError(EXIT_HOST_FAULT, f"{source} has another digest: {actual_digest}")
        os.sync()
        partial.rename(target)
    except shutil.Error as error:
        failures = error.args[0]
        raise FetchError(EXIT_HOST_FAULT, str(failures[0][-1] if failures else error)) from None
    finally:
        remove_path(partial, ignore_errors=True)


def _trial_environment(options: FetchOptions, settings: Path | None, uses_own_ports: bool) -> dict[str, str]:
    """Return the environment of a check or a trial, and write its configuration next to `scratch`.

    With `uses_own_ports`, the process listens on a free port and on no admin port.
    """
    if not options.config:
        return dict(os.environ)
    try:
        config = json.loads(compose_config(Path(options.config), settings))
    except (OSError, ValueError) as error:
        status = EXIT_ARTIFACT_FAULT if settings else EXIT_HOST_FAULT
        raise FetchError(status, f"cannot compose the configuration: {error}") from None
    if uses_own_ports:
        config["listen"] = f"{str(config['listen']).rpartition(':')[0]}:0"
        config.pop("ops", None)
    scratch = Path(options.scratch)
    path = scratch.with_name(f".{scratch.name}.json")
    path.write_text(json.dumps(config), "utf-8")
    return {**os.environ, "GW_CONFIG": str(path)}


def _run_check(options: FetchOptions, build: str, settings: Path | None) -> None:
    """Run the check command, if there is one; it must exit with status 0."""
    if not options.check:
        return
    completed = subprocess.run(
        fill_command(options.check, build),
        env=_trial_environment(options, settings, uses_own_ports=False),
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=FETCH_TIMEOUT_S,
        check=False,
    )
    if completed.returncode:
        lines = (completed.stderr or completed.stdout).strip().splitlines()
        last_line = lines[-1] if lines else ""
        raise FetchError(EXIT_ARTIFACT_FAULT, f"its check ends with {completed.returncode}: {last_line}")


def _run_trial(options: FetchOptions, build: Path) -> None:
    """Start a build on a free port: it must run for `TRIAL_RUN_S`, and exit after SIGTERM."""
    settings = Path(options.settings) if options.settings else None
    environment = _trial_environment(options, settings, uses_own_ports=True)
    try:
        process = subprocess.Popen(
            fill_command(options.command, build),
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,
        )
    except OSError as error:
        raise FetchError(EXIT_ARTIFACT_FAULT, f"a trial start: {error.strerror}") from None
    try:
        with contextlib.suppress(subprocess.TimeoutExpired):
            raise FetchError(EXIT_ARTIFACT_FAULT, f"a trial start ends with {process.wait(TRIAL_RUN_S)}")
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(TRIAL_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            raise FetchError(EXIT_ARTIFACT_FAULT, "a trial start does not end after SIGTERM") from None
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)


def main() -> None:
    """Fetch one artifact; the command line is SOURCE DIGEST TARGET OPTIONS (JSON of `FetchOptions`)."""
    source, digest, target, options = sys.argv[1:]
    try:
        fetch_artifact(Path(source), digest, Path(target), msgspec.convert(json.loads(options), FetchOptions))
    except FetchError as error:
        print(error, file=sys.stderr)
        raise SystemExit(error.status) from None
    except (OSError, subprocess.SubprocessError) as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_HOST_FAULT) from None
