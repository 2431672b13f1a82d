"""An operator takes a drain back and orders it again while the member is still on its way back."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from rig import HOST, ROOT, CannotRunError, Case, Discovery, Node, free_port, run_case, settings

MEMBERS = ("router-1", "router-2", "router-3")
DRAINED = MEMBERS[1]
WATCHED_S = 30.0  # how long the second drain is waited for; the first one takes a few seconds
OBSERVED_S = 8.0  # how long the member is observed after it
IN, OUT, BACK = 0, 3, 4  # phases, as `fleet status --json` gives them
# The document and its members are lists of values, in the order of the fields.
MEMBERS_FIELD = 7
MEMBER_FIELDS = ("kind", "zone", "weight", "phase", "permit", "lost", "drain_request", "evicted")
FLEET_PYTHON = ROOT / ".venv-dev/bin/python"


class Fleet:
    """Three replicas of the quorum, three routers with an agent each, and the operator's commands."""

    def __init__(self, case: Case, discovery: Discovery) -> None:
        self.case = case
        self.discovery = discovery
        self.file = case.folder / "fleet.toml"
        self.doors = {name: free_port() for name in MEMBERS}
        replicas = "".join(f'w{number} = "{HOST}:{free_port()}"\n' for number in (1, 2, 3))
        limits = "most = 1\nshare = 1.0\nzone_share = 1.0\nstay = 1\n"
        self.file.write_text(f"[witnesses]\n{replicas}[drains.routers]\n{limits}", "utf-8")

    async def start(self, *arguments: str, **environment: str) -> None:
        """Start a process of the fleet that runs until the end of the case."""
        with (self.case.folder / "fleet.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                FLEET_PYTHON,
                "-m",
                "rosepick",
                *arguments,
                cwd=ROOT,
                env={**os.environ, "ROSEPICK_FLEET": str(self.file), **environment},
                stdout=log,
                stderr=log,
            )
        self.case.processes.append(process)
        self.case.log(f"started: rosepick {' '.join(arguments)}")

    async def command(self, *arguments: str, is_logged: bool = True) -> tuple[int, str]:
        """Run an operator's command; return its status and output."""
        process = await asyncio.create_subprocess_exec(
            FLEET_PYTHON,
            "-m",
            "rosepick",
            *arguments,
            cwd=ROOT,
            env={**os.environ, "ROSEPICK_FLEET": str(self.file)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output = (await process.communicate())[0].decode().strip()
        assert process.returncode is not None
        if is_logged:
            self.case.log(f"rosepick {' '.join(arguments)}: status {process.returncode}: {output}")
        return process.returncode, output

    async def run(self) -> None:
        """Start all processes, and wait until all members are healthy."""
        for name in ("w1", "w2", "w3"):
            await self.start("witness", "run", name, "--folder", str(self.case.folder / name))
        status, output = await self.command("witness", "found")
        if status:
            raise CannotRunError(output)
        for name in MEMBERS:
            await self._start_agent(name)
        await self.wait_for(
            lambda members: len(members) == len(MEMBERS) and not any(map(is_away, members.values()))
        )

    async def _start_agent(self, name: str) -> None:
        folder = self.case.folder / name
        scratch = folder / "tmp"
        scratch.mkdir(parents=True)
        config = {
            "name": name,
            "listen": f"{HOST}:{free_port()}",
            "ops": f"{HOST}:{self.doors[name]}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.document(None),
            "settings": settings(),
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config), "utf-8")
        router = (
            ".venv/bin/python",
            "-O",
            "-m",
            "rosepick",
            "serve",
            "--capture",
            "-f",
            "deploy/rosepick.conf",
        )
        options = ("--zone", "east", "--folder", str(folder / "agent"), "--door", config["ops"])
        (folder / "agent").mkdir()
        environment = {"GW_CONFIG": str(path), "TMPDIR": str(scratch)}
        await self.start("agent", "run", name, *options, "--", *router, **environment)

    async def members(self) -> dict[str, dict[str, Any]]:
        """Return the members of the fleet state."""
        status, output = await self.command("fleet", "status", "--json", is_logged=False)
        if status:
            return {}
        rows = json.loads(output)[MEMBERS_FIELD]
        return {name: dict(zip(MEMBER_FIELDS, row, strict=False)) for name, row in rows.items()}

    async def wait_for(self, condition: Any, timeout_s: float = 40.0) -> None:
        """Wait until the members fulfil a condition."""
        until = self.case.now() + timeout_s
        members: dict[str, Any] = {}
        while self.case.now() < until:
            members = await self.members()
            if condition(members):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"the members are {members}")

    async def serves(self, name: str) -> bool:
        """Return whether a router answers `readyz` with OK."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection(HOST, self.doors[name])
            writer.write(b"readyz\n")
            answer = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return answer.startswith(b"OK")
        return False

    async def end_members(self) -> None:
        """End the routers, which outlive their agents."""
        for name in MEMBERS:
            with contextlib.suppress(OSError, ValueError, KeyError):
                pid = json.loads((self.case.folder / name / "agent/agent.json").read_text("utf-8"))["pid"]
                os.kill(int(pid), 9)


def is_away(member: dict[str, Any]) -> bool:
    """Return whether a member is out for any reason."""
    return member["phase"] != IN or member["lost"]


async def play(case: Case) -> str:
    """Return how an accepted drain was lost."""
    if not FLEET_PYTHON.exists():
        raise CannotRunError(f"{FLEET_PYTHON} is missing: run review/build-2.sh")
    nodes = [Node(case, "c0"), Node(case, "origin", model="origin")]
    for node in nodes:
        await node.open()
    discovery = Discovery(case, [node.row() for node in nodes])
    await discovery.open()
    fleet = Fleet(case, discovery)
    try:
        return await drain_twice(case, fleet)
    finally:
        case.kill_processes()  # the agents first, which would start their members again
        await fleet.end_members()


async def drain_twice(case: Case, fleet: Fleet) -> str:
    """Drain a member, take that back, and drain it again; return how the second drain was lost."""
    await fleet.run()
    await fleet.command("drain", DRAINED, "--why", "kernel")
    await fleet.wait_for(lambda members: members[DRAINED]["phase"] == OUT)
    await fleet.command("undrain", DRAINED)
    phase = BACK if case.trouble else IN
    await fleet.wait_for(
        lambda members: members[DRAINED]["phase"] == phase and not members[DRAINED]["drain_request"]
    )
    command = case.start(fleet.command("drain", DRAINED, "--why", "kernel, again", "--wait"))
    done, _ = await asyncio.wait([command], timeout=WATCHED_S)
    if not done:
        raise CannotRunError(f"the drain has not ended after {WATCHED_S:.0f} s")
    status, _ = command.result()
    if status:
        raise CannotRunError(f"the drain was refused with status {status}")
    ended_at = case.now()
    times_served = 0
    while case.now() - ended_at < OBSERVED_S:
        serving = await fleet.serves(DRAINED)
        times_served += serving
        case.log(f"{DRAINED}: serves={serving}")
        await asyncio.sleep(0.5)
    await fleet.command("fleet", "history")
    members = await fleet.members()
    case.log(f"members: {members}")
    if not times_served:
        return ""
    return (
        f"`drain {DRAINED} --wait` ended with status 0 and the member serves ({times_served} answers to "
        f"readyz in {OBSERVED_S:.0f} s); nobody has cancelled the drain, and its request is "
        f"{members[DRAINED]['drain_request']}"
    )


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
