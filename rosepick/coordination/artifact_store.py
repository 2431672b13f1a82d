"""Stores the artifacts on this host (builds and settings), which separate processes fetch."""

from __future__ import annotations

import json
import logging
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ..fleet.deployer import ArtifactStatus, FailureCause
from ..fleet.rollout_state import BUILD, SETTINGS, Artifact
from ..logs import log_event
from .agent_state_file import AgentStateFile
from .artifact_fetch import (
    EXIT_ARTIFACT_FAULT,
    FETCH_ENTRY_POINT,
    FETCH_TIMEOUT_S,
    FetchOptions,
    compose_config,
    compute_digest,
    remove_path,
)

logger = logging.getLogger(__name__)
MAX_REASON_LENGTH = 120  # characters of a fetch's message that are reported
SCRATCH_NAME = "trial"
PROGRAM_ROOT = Path(__file__).parents[2]  # the folder from which `rosepick` is imported


@dataclass(frozen=True, slots=True)
class MemberProgram:
    """Holds what a member is started with before any rollout.

    `build` is the path of the installed build. `config` is the member's own configuration file, GW_CONFIG
    (None: it has none). `check` and `command` are commands with `{build}` for a build's path.
    """

    build: Path | None
    config: Path | None
    check: list[str]
    command: list[str]


@dataclass(frozen=True, slots=True)
class InstalledBuild:
    """Identifies the build on the host before any rollout; both fields are empty if there is none."""

    digest: str = ""
    path: str = ""


@dataclass(frozen=True, slots=True)
class RunningFetch:
    """Holds a process that fetches an artifact, and its start time (seconds of the monotonic clock)."""

    process: subprocess.Popen[bytes]
    started_at_s: float


class LocalArtifactStore:
    """Stores the artifacts on this host, and the configuration file that the member is started with.

    `active_digests` returns the digest of the active artifact by kind. `reload_member` makes the running
    member reload its configuration.

    Raises:
        OSError: The folder cannot be created, or the installed build cannot be read.
    """

    def __init__(self, state_file: AgentStateFile, folder: Path, program: MemberProgram) -> None:
        self.folder = folder / "versions"
        self.live_config = folder / "config.json"  # the member's own configuration with the active settings
        self._program = program
        self.folder.mkdir(exist_ok=True)
        self._fetches: dict[str, RunningFetch] = {}
        self.reload_member: Callable[[], None] = lambda: None
        self.active_digests: Callable[[], dict[str, str]] = lambda: {}
        self.installed_build = _installed_build(state_file, program.build)

    def path_of(self, digest: str) -> Path:
        """Return the path of a build or of a settings file."""
        if digest and digest == self.installed_build.digest:
            return Path(self.installed_build.path)
        return self.folder / digest

    def prepare(self, kind: str, artifact: Artifact) -> ArtifactStatus:
        """Return the status of an artifact; start to fetch it if it is missing."""
        digest = artifact.digest
        if not digest or (digest == self.installed_build.digest and Path(self.installed_build.path).exists()):
            return ArtifactStatus(True)
        if self.path_of(digest).exists() and self.folder.joinpath(f"{digest}.ready").exists():
            self._fetches.pop(digest, None)
            return ArtifactStatus(True)
        fetch = self._fetches.get(digest)
        if fetch is None:
            self._fetches[digest] = RunningFetch(self._start_fetch(kind, artifact), time.monotonic())
            return ArtifactStatus()
        if fetch.process.poll() is None:
            if time.monotonic() - fetch.started_at_s > FETCH_TIMEOUT_S:
                fetch.process.kill()
            return ArtifactStatus()
        del self._fetches[digest]
        return _failed_status(artifact, fetch.process)

    def _start_fetch(self, kind: str, artifact: Artifact) -> subprocess.Popen[bytes]:
        program = self._program
        active_digests = self.active_digests()
        settings = active_digests.get(SETTINGS, "")
        options = FetchOptions(
            kind=kind,
            config=str(program.config.absolute()) if program.config else "",
            check=program.check,
            command=program.command,
            build=str(self.path_of(active_digests.get(BUILD, "")).absolute()),
            settings=str(self.path_of(settings).absolute()) if settings else "",
            scratch=str((self.folder / SCRATCH_NAME).absolute()),
        )
        log_event(logger, logging.INFO, "artifact_fetched", name=artifact.name, digest=artifact.digest)
        target = str((self.folder / artifact.digest).absolute())
        arguments = [artifact.source, artifact.digest, target, json.dumps(msgspec.structs.asdict(options))]
        return subprocess.Popen(
            [sys.executable, "-c", FETCH_ENTRY_POINT, str(PROGRAM_ROOT), *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )

    def write_config(self) -> None:
        """Write the configuration for the member's next start: its own file with the active settings.

        If either cannot be read, the file is not changed and an error is logged.
        """
        if self._program.config is None:
            return
        digest = self.active_digests().get(SETTINGS, "")
        try:
            text = compose_config(self._program.config, self.path_of(digest) if digest else None)
            new_file = self.live_config.with_suffix(".new")
            new_file.write_text(text, "utf-8")
            new_file.replace(self.live_config)
        except (OSError, ValueError) as error:
            log_event(logger, logging.ERROR, "settings_write_failed", digest=digest, text=error)

    def apply_settings(self, _kind: str, _digest: str) -> None:
        """Make the running member reload its configuration with the active settings."""
        self.write_config()
        self.reload_member()

    def environment(self) -> dict[str, str]:
        """Return the additional environment variables that the member is started with."""
        return {} if self._program.config is None else {"GW_CONFIG": str(self.live_config.absolute())}

    def remove_except(self, needed: Iterable[str]) -> None:
        """Remove all artifacts except those with the given digests; remove none while a fetch runs."""
        needed_names = {*needed, SCRATCH_NAME}
        for path in self.folder.iterdir():
            is_needed = path.name.split(".")[0] in needed_names or path.name.startswith(".")
            if not is_needed and not self._fetches:
                remove_path(path, ignore_errors=True)


def _installed_build(state_file: AgentStateFile, build: Path | None) -> InstalledBuild:
    """Return the installed build; its digest is computed once for each path and stored."""
    stored = state_file.get("first")
    if build is not None and (not isinstance(stored, list) or stored[1] != str(build)):
        stored = [compute_digest(build), str(build)]
        state_file.put(first=stored)
    return InstalledBuild(stored[0], stored[1]) if isinstance(stored, list) else InstalledBuild()


def _failed_status(artifact: Artifact, process: subprocess.Popen[bytes]) -> ArtifactStatus:
    """Log why a fetch has failed, and return the status with the cause and the reason."""
    message = process.stderr.read().decode("utf-8", "replace").strip() if process.stderr else ""
    reason = " ".join(message.splitlines()[-1:])[:MAX_REASON_LENGTH]
    is_artifact_fault = process.returncode == EXIT_ARTIFACT_FAULT
    cause = FailureCause.ARTIFACT if is_artifact_fault else FailureCause.HOST
    log_event(
        logger,
        logging.WARNING,
        "artifact_rejected",
        name=artifact.name,
        digest=artifact.digest,
        cause=cause.value,
        reason=reason,
    )
    return ArtifactStatus(False, cause, reason or f"the fetch exited with status {process.returncode}")
