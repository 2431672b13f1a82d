"""Writes and runs builds of the router for fault-injection tests of releases, most of them with a fault.

A build is a folder with a `member.py` that calls `main` with the kind of its fault. The program does not use
this module. The faults are injected into the decision module and the process, where a faulty change of the
program would have them.
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
from .version_fault import VersionFault

FAILED_REQUEST_SHARE = 0.3
CPU_S_PER_REQUEST = 0.003
LEAKED_BYTES_PER_REQUEST = 150_000
SHORT_LIFETIME_S = 1.6

_leaked: list[bytes] = []


def write_build(folder: Path, fault_kind: str, mark: str) -> Path:
    """Write a build; a comment with `mark` gives builds with the same kind of fault different digests."""
    folder.mkdir(parents=True)
    text = f"# {mark}\nfrom rosepick.lab.drill.versions import main\n\nmain({str(fault_kind)!r})\n"
    (folder / "member.py").write_text(text, "utf-8")
    return folder


def _intercept_requests(intercept: Callable[[api.RequestArrived], list[api.Action] | None]) -> None:
    """Call `intercept` for each request; if it returns actions, they replace those of the router."""
    original_handle: Any = Router.handle

    def handle(self: Router, now: float, event: api.Event) -> list[api.Action]:
        replacement = intercept(event) if isinstance(event, api.RequestArrived) else None
        if replacement is not None:
            return replacement
        actions: list[api.Action] = original_handle(self, now, event)
        return actions

    Router.handle = handle  # type: ignore[method-assign]


def _fail_some(event: api.RequestArrived) -> list[api.Action] | None:
    return [api.Fail(event.ref)] if random.random() < FAILED_REQUEST_SHARE else None


def _burn_cpu(_event: api.RequestArrived) -> None:
    end_at = time.thread_time() + CPU_S_PER_REQUEST
    while time.thread_time() < end_at:
        pass


def _leak_memory(_event: api.RequestArrived) -> None:
    _leaked.append(os.urandom(LEAKED_BYTES_PER_REQUEST))


def _is_in_west_zone() -> bool:
    with open(os.environ["GW_CONFIG"], encoding="utf-8") as file:
        return '"zone": 1' in file.read()


def main(fault_kind: str) -> None:
    """Run the router with a fault; an unknown kind of fault means no fault.

    Raises:
        SystemExit: the kind of fault is that the process ends at its start.
    """
    if fault_kind == VersionFault.EXITS_AT_START:
        raise SystemExit(1)
    if fault_kind == VersionFault.NEVER_SERVES:
        threading.Event().wait()
    if fault_kind == VersionFault.EXITS_SOON:
        threading.Timer(SHORT_LIFETIME_S, lambda: os._exit(3)).start()
    if fault_kind == VersionFault.FAILS_REQUESTS or (
        fault_kind == VersionFault.FAILS_IN_WEST and _is_in_west_zone()
    ):
        _intercept_requests(_fail_some)
    elif fault_kind == VersionFault.SLOW:
        _intercept_requests(_burn_cpu)
    elif fault_kind == VersionFault.LEAKS_MEMORY:
        _intercept_requests(_leak_memory)
    sys.argv = ["rosepick", *sys.argv[1:]]
    runpy.run_module("rosepick", run_name="__main__", alter_sys=True)
