"""Versions on a host: brought here, checked, tried, kept beside the running one until a release is closed.

The work is done by a process of its own (`fetch`), so that an agent that brings a version here goes on with
what it is there for.
"""

from __future__ import annotations

import contextlib
import json
import logging
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from hashlib import blake2b
from pathlib import Path
from typing import Any

from ..fleet.deployer import ArtifactStatus, FailureCause
from ..fleet.rollout_state import BUILD, SETTINGS, Artifact
from ..logs import log_event
from .agent_state_file import AgentStateFile

logger = logging.getLogger(__name__)
EXIT_HOST_FAULT, EXIT_ARTIFACT_FAULT = (
    4,
    5,
)  # how a fetch ends: nothing of the version is known, or it is no good
FETCH_TIMEOUT_S = 120.0  # seconds for a fetch
TRIAL_RUN_S = 1.5  # seconds that a trial start has to last
TRIAL_STOP_TIMEOUT_S = 10.0  # and to end in when it is told to
MAX_REASON_LENGTH = 120
SKIPPED_FOLDERS = ("__pycache__",)
# not by PYTHONPATH, which the version's check and trial would take over, and try this program in its place
FETCH_ENTRY_POINT = (
    "import sys; sys.path.insert(0, sys.argv.pop(1)); "
    "from rosepick.coordination.artifact_store import main; main()"
)


def digest_of(path: Path) -> str:
    """Of a file, or of all files below a folder: their places, whether they can be run, and what they hold.
    OSError if it cannot be read.
    """
    found = blake2b(digest_size=8)
    if path.is_file():
        found.update(path.read_bytes())
        return found.hexdigest()
    for one in _files_below(path):
        mode = one.lstat().st_mode & 0o100
        held = os.readlink(one).encode() if one.is_symlink() else one.read_bytes()
        for part in (str(one.relative_to(path)).encode(), bytes([mode > 0]), held):
            found.update(len(part).to_bytes(8, "big") + part)
    return found.hexdigest()


def _files_below(folder: Path) -> Iterable[Path]:
    if not folder.is_dir():
        raise FileNotFoundError(2, "no such folder", str(folder))
    found = []
    for top, folders, files in os.walk(folder):
        folders[:] = [name for name in folders if name not in SKIPPED_FOLDERS]
        found += [Path(top, name) for name in files]
        found += [Path(top, name) for name in folders if Path(top, name).is_symlink()]
    return sorted(found)


def compose_config(base: Path, settings: Path | None) -> str:
    """A router's configuration: its own file, with the fleet's settings in it. OSError, ValueError."""
    told = json.loads(base.read_text("utf-8"))
    if settings is not None:
        told["settings"] = json.loads(settings.read_text("utf-8"))
    return json.dumps(told)


def fill_command(command: Iterable[str], build: Path | str) -> list[str]:
    """A command with the place of a build in it."""
    return [word.replace("{build}", str(build)) for word in command]


class FetchError(Exception):
    """A fetch has failed; `status` says whose fault it is."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def fetch_artifact(source: Path, digest: str, target: Path, options: dict[str, Any]) -> None:
    """Have a version in its place on this host, checked and tried. Failed if it is not to be had.

    `options`: `config` (the router's own file), `check` and `command` (words, `{build}` in them), `settings`
    (a file of settings that a build is tried with, or none).
    """
    try:
        if not (target.exists() and digest_of(target) == digest):
            _copy_artifact(source, digest, target)
    except OSError as problem:
        raise FetchError(EXIT_HOST_FAULT, f"{problem.strerror}: {problem.filename}") from None
    if options["kind"] == SETTINGS:
        _run_check(options, options["build"], target)
    else:
        held = options["settings"]
        _run_check(options, str(target), Path(held) if held else None)
        if options["config"]:  # without it there is no telling it other ports than those of the running one
            _run_trial(options, target)
    target.with_name(f"{target.name}.ready").write_text(digest, "ascii")


def _copy_artifact(source: Path, digest: str, target: Path) -> None:
    beside = target.with_name(f".{target.name}.{os.getpid()}")
    for old in (beside, target):
        shutil.rmtree(old) if old.is_dir() else old.unlink(missing_ok=True)
    try:
        if source.is_dir():
            shutil.copytree(source, beside, symlinks=True, ignore=shutil.ignore_patterns(*SKIPPED_FOLDERS))
        else:
            shutil.copy2(source, beside)
        found = digest_of(beside)
        if found != digest:
            raise FetchError(EXIT_HOST_FAULT, f"{source} is another one here: {found}")
        os.sync()
        beside.rename(target)
    except shutil.Error as problem:
        raise FetchError(
            EXIT_HOST_FAULT, str(problem.args[0][0][-1] if problem.args[0] else problem)
        ) from None
    finally:
        shutil.rmtree(beside, ignore_errors=True) if beside.is_dir() else beside.unlink(missing_ok=True)


def _trial_environment(
    options: dict[str, Any], settings: Path | None, scratch: Path, uses_own_ports: bool
) -> dict[str, str]:
    """What a check or a trial runs with: a configuration beside the place. `uses_own_ports`: on ports of its
    own.
    """
    if not options["config"]:
        return dict(os.environ)
    try:
        config = json.loads(compose_config(Path(options["config"]), settings))
    except (OSError, ValueError) as problem:
        raise FetchError(
            EXIT_ARTIFACT_FAULT if settings else EXIT_HOST_FAULT, f"no configuration: {problem}"
        ) from None
    if uses_own_ports:
        config["listen"] = f"{str(config['listen']).rpartition(':')[0]}:0"
        config.pop("ops", None)
    path = scratch.with_name(f".{scratch.name}.json")
    path.write_text(json.dumps(config), "utf-8")
    return {**os.environ, "GW_CONFIG": str(path)}


def _run_check(options: dict[str, Any], build: str, settings: Path | None) -> None:
    """Ask the version itself."""
    if not options["check"]:
        return
    place = Path(options["scratch"])
    done = subprocess.run(
        fill_command(options["check"], build),
        env=_trial_environment(options, settings, place, False),
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=FETCH_TIMEOUT_S,
        check=False,
    )
    if done.returncode:
        said = (done.stderr or done.stdout).strip().splitlines()
        raise FetchError(
            EXIT_ARTIFACT_FAULT, f"its check ends with {done.returncode}: {said[-1] if said else ''}"
        )


def _run_trial(options: dict[str, Any], build: Path) -> None:
    """Start it on a port of its own: it has to stay, and to end when it is told to."""
    settings = Path(options["settings"]) if options["settings"] else None
    environment = _trial_environment(options, settings, Path(options["scratch"]), True)
    try:
        process = subprocess.Popen(
            fill_command(options["command"], build),
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,
        )
    except OSError as problem:
        raise FetchError(EXIT_ARTIFACT_FAULT, f"a trial start: {problem.strerror}") from None
    try:
        with contextlib.suppress(subprocess.TimeoutExpired):
            raise FetchError(EXIT_ARTIFACT_FAULT, f"a trial start ends with {process.wait(TRIAL_RUN_S)}")
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(TRIAL_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            raise FetchError(EXIT_ARTIFACT_FAULT, "a trial start does not end when it is told to") from None
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)


class LocalArtifactStore:
    """The versions on this host, and the files that the member is started with."""

    def __init__(
        self,
        state_file: AgentStateFile,
        folder: Path,
        build: Path | None,
        config: Path | None,
        check: list[str],
        command: list[str],
    ) -> None:
        """`build`: what stands here before any release; `config`: the member's own GW_CONFIG."""
        self._state_file, self.folder, self._config = state_file, folder / "versions", config
        self._check, self._command = check, command
        self.folder.mkdir(exist_ok=True)
        self.live_config = folder / "config.json"  # what the member is started with
        self._fetches: dict[str, tuple[subprocess.Popen[bytes], float]] = {}
        self.reload_member: Callable[[], None] = lambda: None
        self.active_digests: Callable[[], dict[str, str]] = lambda: {}
        first = state_file.get("first")
        if build is not None and (not isinstance(first, list) or first[1] != str(build)):
            first = [digest_of(build), str(build)]
            state_file.put(first=first)
        self.installed: tuple[str, str] = (first[0], first[1]) if isinstance(first, list) else ("", "")

    def path_of(self, digest: str) -> Path:
        """Where a build or a file of settings stands."""
        return Path(self.installed[1]) if digest and digest == self.installed[0] else self.folder / digest

    def prepare(self, kind: str, artifact: Artifact) -> ArtifactStatus:
        """How far it is; whatever is missing is begun."""
        digest = artifact.digest
        if not digest or (digest == self.installed[0] and Path(self.installed[1]).exists()):
            return ArtifactStatus(True)
        if self.path_of(digest).exists() and self.folder.joinpath(f"{digest}.ready").exists():
            self._fetches.pop(digest, None)
            return ArtifactStatus(True)
        job = self._fetches.get(digest)
        if job is None:
            self._fetches[digest] = self._start_fetch(kind, artifact), time.monotonic()
            return ArtifactStatus()
        process, since = job
        if process.poll() is None:
            if time.monotonic() - since > FETCH_TIMEOUT_S:
                process.kill()
            return ArtifactStatus()
        del self._fetches[digest]
        why = (process.stderr.read().decode("utf-8", "replace") if process.stderr else "").strip()
        why = " ".join(why.splitlines()[-1:])[:MAX_REASON_LENGTH]
        blame = FailureCause.ARTIFACT if process.returncode == EXIT_ARTIFACT_FAULT else FailureCause.HOST
        log_event(
            logger,
            logging.WARNING,
            "artifact_rejected",
            name=artifact.name,
            digest=digest,
            cause=blame.value,
            reason=why,
        )
        return ArtifactStatus(False, blame, why or f"the fetch ended with {process.returncode}")

    def _start_fetch(self, kind: str, artifact: Artifact) -> subprocess.Popen[bytes]:
        settings = self.active_digests().get(SETTINGS, "")
        told = {
            "kind": kind,
            "config": str(self._config.absolute()) if self._config else "",
            "check": self._check,
            "command": self._command,
            "build": str(self.path_of(self.active_digests().get(BUILD, "")).absolute()),
            "settings": str(self.path_of(settings).absolute()) if settings else "",
            "scratch": str((self.folder / "trial").absolute()),
        }
        log_event(logger, logging.INFO, "artifact_fetched", name=artifact.name, digest=artifact.digest)
        place = str((self.folder / artifact.digest).absolute())
        given = [artifact.source, artifact.digest, place, json.dumps(told)]
        return subprocess.Popen(
            [sys.executable, "-c", FETCH_ENTRY_POINT, str(Path(__file__).parents[2]), *given],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )

    def write_config(self) -> None:
        """Write what the member is started with: its own file and the settings that are in force. One that
        cannot be read leaves what is there.
        """
        if self._config is None:
            return
        digest = self.active_digests().get(SETTINGS, "")
        try:
            text = compose_config(self._config, self.path_of(digest) if digest else None)
            beside = self.live_config.with_suffix(".new")
            beside.write_text(text, "utf-8")
            beside.replace(self.live_config)
        except (OSError, ValueError) as problem:
            log_event(logger, logging.ERROR, "settings_write_failed", digest=digest, text=problem)

    def apply_settings(self, kind: str, digest: str) -> None:
        """Have the member run these settings from now on."""
        self.write_config()
        self.reload_member()

    def environment(self) -> dict[str, str]:
        """What the member is started with."""
        return {} if self._config is None else {"GW_CONFIG": str(self.live_config.absolute())}

    def remove_except(self, needed: Iterable[str]) -> None:
        """Remove versions that nobody goes back to."""
        keep = {*needed, "trial"}
        for path in self.folder.iterdir():
            if path.name.split(".")[0] not in keep and not path.name.startswith(".") and not self._fetches:
                shutil.rmtree(path, ignore_errors=True) if path.is_dir() else path.unlink(missing_ok=True)


def main() -> None:
    """Fetch one version: SOURCE DIGEST PLACE TOLD."""
    source, digest, place, told = sys.argv[1:]
    try:
        fetch_artifact(Path(source), digest, Path(place), json.loads(told))
    except FetchError as problem:
        print(problem, file=sys.stderr)
        raise SystemExit(problem.status) from None
    except (OSError, subprocess.SubprocessError) as problem:
        print(problem, file=sys.stderr)
        raise SystemExit(EXIT_HOST_FAULT) from None
