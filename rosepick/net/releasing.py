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

from ..fleet.carrier import Blame, Ready
from ..fleet.release import BUILD, SETTINGS, Thing
from ..logs import say
from .kept import Keep

log = logging.getLogger(__name__)
HOST, VERSION = 4, 5  # how a fetch ends: nothing of the version is known, or it is no good
LONGEST = 120.0  # seconds for a fetch
TRIED_FOR = 1.5  # seconds that a trial start has to last
ENDS_IN = 10.0  # and to end in when it is told to
LONGEST_WHY = 120
SKIPPED = ("__pycache__",)
# not by PYTHONPATH, which the version's check and trial would take over, and try this program in its place
ENTRY = "import sys; sys.path.insert(0, sys.argv.pop(1)); from rosepick.net.releasing import main; main()"


def digest_of(path: Path) -> str:
    """Of a file, or of all files below a folder: their places, whether they can be run, and what they hold.
    OSError if it cannot be read.
    """
    found = blake2b(digest_size=8)
    if path.is_file():
        found.update(path.read_bytes())
        return found.hexdigest()
    for one in _files(path):
        mode = one.lstat().st_mode & 0o100
        held = os.readlink(one).encode() if one.is_symlink() else one.read_bytes()
        for part in (str(one.relative_to(path)).encode(), bytes([mode > 0]), held):
            found.update(len(part).to_bytes(8, "big") + part)
    return found.hexdigest()


def _files(folder: Path) -> Iterable[Path]:
    if not folder.is_dir():
        raise FileNotFoundError(2, "no such folder", str(folder))
    found = []
    for top, folders, files in os.walk(folder):
        folders[:] = [name for name in folders if name not in SKIPPED]
        found += [Path(top, name) for name in files]
        found += [Path(top, name) for name in folders if Path(top, name).is_symlink()]
    return sorted(found)


def composed(base: Path, settings: Path | None) -> str:
    """A router's configuration: its own file, with the fleet's settings in it. OSError, ValueError."""
    told = json.loads(base.read_text("utf-8"))
    if settings is not None:
        told["settings"] = json.loads(settings.read_text("utf-8"))
    return json.dumps(told)


def filled(command: Iterable[str], build: Path | str) -> list[str]:
    """A command with the place of a build in it."""
    return [word.replace("{build}", str(build)) for word in command]


class Failed(Exception):
    """A fetch has failed; `status` says whose fault it is."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def fetch(source: Path, digest: str, place: Path, told: dict[str, Any]) -> None:
    """Have a version in its place on this host, checked and tried. Failed if it is not to be had.

    `told`: `config` (the router's own file), `check` and `command` (words, `{build}` in them), `settings` (a
    file of settings that a build is tried with, or none).
    """
    try:
        if not (place.exists() and digest_of(place) == digest):
            _copy(source, digest, place)
    except OSError as problem:
        raise Failed(HOST, f"{problem.strerror}: {problem.filename}") from None
    if told["kind"] == SETTINGS:
        _check(told, told["build"], place)
    else:
        held = told["settings"]
        _check(told, str(place), Path(held) if held else None)
        if told["config"]:  # without it there is no telling it other ports than those of the running one
            _try(told, place)
    place.with_name(f"{place.name}.ready").write_text(digest, "ascii")


def _copy(source: Path, digest: str, place: Path) -> None:
    beside = place.with_name(f".{place.name}.{os.getpid()}")
    for old in (beside, place):
        shutil.rmtree(old) if old.is_dir() else old.unlink(missing_ok=True)
    try:
        if source.is_dir():
            shutil.copytree(source, beside, symlinks=True, ignore=shutil.ignore_patterns(*SKIPPED))
        else:
            shutil.copy2(source, beside)
        found = digest_of(beside)
        if found != digest:
            raise Failed(HOST, f"{source} is another one here: {found}")
        os.sync()
        beside.rename(place)
    except shutil.Error as problem:
        raise Failed(HOST, str(problem.args[0][0][-1] if problem.args[0] else problem)) from None
    finally:
        shutil.rmtree(beside, ignore_errors=True) if beside.is_dir() else beside.unlink(missing_ok=True)


def _environment(told: dict[str, Any], settings: Path | None, place: Path, own: bool) -> dict[str, str]:
    """What a check or a trial runs with: a configuration beside the place. `own`: on ports of its own."""
    if not told["config"]:
        return dict(os.environ)
    try:
        config = json.loads(composed(Path(told["config"]), settings))
    except (OSError, ValueError) as problem:
        raise Failed(VERSION if settings else HOST, f"no configuration: {problem}") from None
    if own:
        config["listen"] = f"{str(config['listen']).rpartition(':')[0]}:0"
        config.pop("ops", None)
    path = place.with_name(f".{place.name}.json")
    path.write_text(json.dumps(config), "utf-8")
    return {**os.environ, "GW_CONFIG": str(path)}


def _check(told: dict[str, Any], build: str, settings: Path | None) -> None:
    """Ask the version itself."""
    if not told["check"]:
        return
    place = Path(told["scratch"])
    done = subprocess.run(
        filled(told["check"], build), env=_environment(told, settings, place, False),
        stdin=subprocess.DEVNULL, capture_output=True, text=True, timeout=LONGEST, check=False,
    )  # fmt: skip
    if done.returncode:
        said = (done.stderr or done.stdout).strip().splitlines()
        raise Failed(VERSION, f"its check ends with {done.returncode}: {said[-1] if said else ''}")


def _try(told: dict[str, Any], build: Path) -> None:
    """Start it on a port of its own: it has to stay, and to end when it is told to."""
    settings = Path(told["settings"]) if told["settings"] else None
    environment = _environment(told, settings, Path(told["scratch"]), True)
    try:
        process = subprocess.Popen(
            filled(told["command"], build), env=environment, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, start_new_session=True,
        )  # fmt: skip
    except OSError as problem:
        raise Failed(VERSION, f"a trial start: {problem.strerror}") from None
    try:
        with contextlib.suppress(subprocess.TimeoutExpired):
            raise Failed(VERSION, f"a trial start ends with {process.wait(TRIED_FOR)}")
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(ENDS_IN)
        except subprocess.TimeoutExpired:
            raise Failed(VERSION, "a trial start does not end when it is told to") from None
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)


class Versions:
    """The versions on this host, and the files that the member is started with."""

    def __init__(
        self, kept: Keep, folder: Path, build: Path | None, config: Path | None, check: list[str],
        command: list[str],
    ) -> None:  # fmt: skip
        """`build`: what stands here before any release; `config`: the member's own GW_CONFIG."""
        self._kept, self.folder, self._config = kept, folder / "versions", config
        self._check, self._command = check, command
        self.folder.mkdir(exist_ok=True)
        self.live = folder / "config.json"  # what the member is started with
        self._jobs: dict[str, tuple[subprocess.Popen[bytes], float]] = {}
        self.reload: Callable[[], None] = lambda: None
        self.runs: Callable[[], dict[str, str]] = lambda: {}
        first = kept.get("first")
        if build is not None and (not isinstance(first, list) or first[1] != str(build)):
            first = [digest_of(build), str(build)]
            kept.put(first=first)
        self.first: tuple[str, str] = (first[0], first[1]) if isinstance(first, list) else ("", "")

    def place(self, digest: str) -> Path:
        """Where a build or a file of settings stands."""
        return Path(self.first[1]) if digest and digest == self.first[0] else self.folder / digest

    def ready(self, kind: str, thing: Thing) -> Ready:
        """How far it is; whatever is missing is begun."""
        digest = thing.digest
        if not digest or (digest == self.first[0] and Path(self.first[1]).exists()):
            return Ready(True)
        if self.place(digest).exists() and self.folder.joinpath(f"{digest}.ready").exists():
            self._jobs.pop(digest, None)
            return Ready(True)
        job = self._jobs.get(digest)
        if job is None:
            self._jobs[digest] = self._begin(kind, thing), time.monotonic()
            return Ready()
        process, since = job
        if process.poll() is None:
            if time.monotonic() - since > LONGEST:
                process.kill()
            return Ready()
        del self._jobs[digest]
        why = (process.stderr.read().decode("utf-8", "replace") if process.stderr else "").strip()
        why = " ".join(why.splitlines()[-1:])[:LONGEST_WHY]
        blame = Blame.VERSION if process.returncode == VERSION else Blame.HOST
        say(
            log,
            logging.WARNING,
            "version_refused",
            name=thing.name,
            digest=digest,
            blame=blame.value,
            why=why,
        )
        return Ready(False, blame, why or f"the fetch ended with {process.returncode}")

    def _begin(self, kind: str, thing: Thing) -> subprocess.Popen[bytes]:
        settings = self.runs().get(SETTINGS, "")
        told = {
            "kind": kind,
            "config": str(self._config.absolute()) if self._config else "",
            "check": self._check,
            "command": self._command,
            "build": str(self.place(self.runs().get(BUILD, "")).absolute()),
            "settings": str(self.place(settings).absolute()) if settings else "",
            "scratch": str((self.folder / "trial").absolute()),
        }
        say(log, logging.INFO, "version_fetched", name=thing.name, digest=thing.digest)
        place = str((self.folder / thing.digest).absolute())
        given = [thing.source, thing.digest, place, json.dumps(told)]
        return subprocess.Popen(
            [sys.executable, "-c", ENTRY, str(Path(__file__).parents[2]), *given],
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE,
        )  # fmt: skip

    def compose(self) -> None:
        """Write what the member is started with: its own file and the settings that are in force. One that
        cannot be read leaves what is there.
        """
        if self._config is None:
            return
        digest = self.runs().get(SETTINGS, "")
        try:
            text = composed(self._config, self.place(digest) if digest else None)
            beside = self.live.with_suffix(".new")
            beside.write_text(text, "utf-8")
            beside.replace(self.live)
        except (OSError, ValueError) as problem:
            say(log, logging.ERROR, "settings_not_written", digest=digest, text=problem)

    def apply(self, kind: str, digest: str) -> None:
        """Have the member run these settings from now on."""
        self.compose()
        self.reload()

    def environment(self) -> dict[str, str]:
        """What the member is started with."""
        return {} if self._config is None else {"GW_CONFIG": str(self.live.absolute())}

    def forget(self, needed: Iterable[str]) -> None:
        """Remove versions that nobody goes back to."""
        keep = {*needed, "trial"}
        for path in self.folder.iterdir():
            if path.name.split(".")[0] not in keep and not path.name.startswith(".") and not self._jobs:
                shutil.rmtree(path, ignore_errors=True) if path.is_dir() else path.unlink(missing_ok=True)


def main() -> None:
    """Fetch one version: SOURCE DIGEST PLACE TOLD."""
    source, digest, place, told = sys.argv[1:]
    try:
        fetch(Path(source), digest, Path(place), json.loads(told))
    except Failed as problem:
        print(problem, file=sys.stderr)
        raise SystemExit(problem.status) from None
    except (OSError, subprocess.SubprocessError) as problem:
        print(problem, file=sys.stderr)
        raise SystemExit(HOST) from None
