"""Versions of the router for drills of releases: the program itself, spoilt in one way or another.

A build is a folder with a `member.py` that calls `main` with what is wrong with it. Nothing here is
product: the faults are put into the decisions' inputs and the process, as a bad change of the program would
put them in.
"""

from __future__ import annotations

import os
import random
import runpy
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ...decisions import api
from ...decisions.decide import Router

LOST, BUSY, LEAK = 0.3, 0.003, 150_000  # part of the requests; seconds and bytes of each
SHORT = 1.6  # seconds
_leaked: list[bytes] = []


def build(folder: Path, bad: str, mark: str) -> Path:
    """Make a build; `mark` tells it from others that are bad in the same way."""
    folder.mkdir(parents=True)
    text = f"# {mark}\nfrom rosepick.lab.drill.versions import main\n\nmain({bad!r})\n"
    (folder / "member.py").write_text(text, "utf-8")
    return folder


def _each_request(spoil: Callable[[api.Request], list[api.Action] | None]) -> None:
    """Have something done with each request before it is decided on."""
    decide: Any = Router.handle

    def handle(self: Router, now: float, event: api.Event) -> list[api.Action]:
        spoilt = spoil(event) if isinstance(event, api.Request) else None
        found: list[api.Action] = decide(self, now, event) if spoilt is None else spoilt
        return found

    Router.handle = handle  # type: ignore[method-assign]


def _fails(event: api.Request) -> list[api.Action] | None:
    return [api.Fail(event.ref)] if random.random() < LOST else None


def _slow(event: api.Request) -> None:
    end = time.thread_time() + BUSY
    while time.thread_time() < end:
        pass


def _leaks(event: api.Request) -> None:
    _leaked.append(os.urandom(LEAK))


def _in_west() -> bool:
    with open(os.environ["GW_CONFIG"], encoding="utf-8") as file:
        return '"zone": 1' in file.read()


def main(bad: str) -> None:
    """Be the router, as far as it goes."""
    if bad == "dead":
        raise SystemExit(1)
    if bad == "mute":
        threading.Event().wait()
    if bad == "short":
        threading.Timer(SHORT, lambda: os._exit(3)).start()
    if bad == "fails" or (bad == "west" and _in_west()):
        _each_request(_fails)
    elif bad == "slow":
        _each_request(_slow)
    elif bad == "leaks":
        _each_request(_leaks)
    sys.argv = ["rosepick", *sys.argv[1:]]
    runpy.run_module("rosepick", run_name="__main__", alter_sys=True)
