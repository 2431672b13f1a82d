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

LOST_SHARE, BUSY_S, LEAK_BYTES = 0.3, 0.003, 150_000  # part of the requests; seconds and bytes of each
SHORT_LIFETIME_S = 1.6  # seconds
_leaked: list[bytes] = []


def write_build(folder: Path, fault_kind: str, mark: str) -> Path:
    """Make a build; `mark` tells it from others that are bad in the same way."""
    folder.mkdir(parents=True)
    text = f"# {mark}\nfrom rosepick.lab.drill.versions import main\n\nmain({fault_kind!r})\n"
    (folder / "member.py").write_text(text, "utf-8")
    return folder


def _intercept_requests(spoil: Callable[[api.RequestArrived], list[api.Action] | None]) -> None:
    """Have something done with each request before it is decided on."""
    decide: Any = Router.handle

    def handle(self: Router, now: float, event: api.Event) -> list[api.Action]:
        spoilt = spoil(event) if isinstance(event, api.RequestArrived) else None
        found: list[api.Action] = decide(self, now, event) if spoilt is None else spoilt
        return found

    Router.handle = handle  # type: ignore[method-assign]


def _fail_some(event: api.RequestArrived) -> list[api.Action] | None:
    return [api.Fail(event.ref)] if random.random() < LOST_SHARE else None


def _burn_cpu(event: api.RequestArrived) -> None:
    end = time.thread_time() + BUSY_S
    while time.thread_time() < end:
        pass


def _leak_memory(event: api.RequestArrived) -> None:
    _leaked.append(os.urandom(LEAK_BYTES))


def _is_in_west_zone() -> bool:
    with open(os.environ["GW_CONFIG"], encoding="utf-8") as file:
        return '"zone": 1' in file.read()


def main(fault_kind: str) -> None:
    """Be the router, as far as it goes."""
    if fault_kind == "dead":
        raise SystemExit(1)
    if fault_kind == "mute":
        threading.Event().wait()
    if fault_kind == "short":
        threading.Timer(SHORT_LIFETIME_S, lambda: os._exit(3)).start()
    if fault_kind == "fails" or (fault_kind == "west" and _is_in_west_zone()):
        _intercept_requests(_fail_some)
    elif fault_kind == "slow":
        _intercept_requests(_burn_cpu)
    elif fault_kind == "leaks":
        _intercept_requests(_leak_memory)
    sys.argv = ["rosepick", *sys.argv[1:]]
    runpy.run_module("rosepick", run_name="__main__", alter_sys=True)
