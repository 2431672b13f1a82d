"""Sets up the processes of a fault-injection test, the links between them and the files that they read."""

from __future__ import annotations

import random
import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from ...coordination.quorum_client import tcp_connection_factory
from ...net.event_loop import EventLoop
from ...net.resource_budget import ResourceBudget
from ..log_terms import line_has_event
from .drill_file import Drill
from .event_log import drill_clock
from .forwarder import Forwarder, LinkEndpoints
from .history import AnyEvent
from .instrumented_client import InstrumentedQuorumClient
from .processes import FIRST_PORT, ManagedProcess, starter_command, unique_loopback_address

STAND_INS_MODULE = "rosepick.lab.drill.stand_ins"
BUFFER_BUDGET_BYTES = 1 << 20  # shared by all links
LOOP_STEP_S = 0.02


class ProcessCluster:
    """Runs real processes in a folder of their own, with a forwarder on each link to a replica.

    `replicas` are the acceptors of the quorum and a spare one; `workers` and `runners` hold leases, the
    latter as processes of `rosepick lease run`.
    """

    def __init__(self, drill: Drill, seed: int, folder: Path) -> None:
        self.drill = drill
        self.seed = seed
        self.folder = folder
        self.rng = random.Random(seed)
        self.loop = EventLoop()
        self.host = unique_loopback_address()
        self.budget = ResourceBudget(BUFFER_BUDGET_BYTES)
        self.counts: Counter[str] = Counter()
        self.events: list[AnyEvent] = []
        settings = drill.processes
        self.replicas = [f"w{number}" for number in range(1, settings.witnesses + 2)]
        self.spare_replica = self.replicas[-1]  # runs without being a member of the quorum
        self.workers = [f"c{number}" for number in range(settings.workers)]
        self.runners = [f"r{number}" for number in range(settings.runners)]
        self.tasks = [f"t{number}" for number in range(settings.tasks)]
        self.processes: dict[str, ManagedProcess] = {}
        self.links: dict[tuple[str, str], Forwarder] = {}  # by caller and replica
        self.ports: dict[str, int] = {}  # of the replicas themselves
        self._build_topology()

    def _build_topology(self) -> None:
        callers = [*self.workers, *self.runners, *self.replicas]
        resource_port = self._build_links(callers)
        for name in [*callers, "operator", "all"]:
            self._write_fleet_file(name)
        self._add_lease_processes(f"{self.host}:{resource_port}")

    def _build_links(self, callers: list[str]) -> int:
        """Build a link from each caller to each other replica; return the first port that stays free."""
        links = [(caller, replica) for caller in callers for replica in self.replicas if caller != replica]
        first_link_port = FIRST_PORT + len(self.replicas)
        self.ports = dict(zip(self.replicas, range(FIRST_PORT, first_link_port), strict=True))
        for port, (caller, replica) in enumerate(links, first_link_port):
            rng = random.Random(self.rng.getrandbits(64))
            endpoints = LinkEndpoints(self.host, port, self.ports[replica])
            self.links[caller, replica] = Forwarder(self.loop, self.budget, endpoints, rng)
        return first_link_port + len(links)

    def _add_lease_processes(self, resource_address: str) -> None:
        for name in self.replicas:
            files = ["--folder", f"{name}.d", "--fleet", f"{name}.toml"]
            self._add_process(name, "rosepick", ["witness", "run", name, *files])
        for name in self.workers:
            files = [f"{name}.toml", f"{name}.events"]
            work = [",".join(self.tasks), str(self.seed)]
            self._add_process(name, STAND_INS_MODULE, ["worker", name, *files, resource_address, *work])
        for name in self.runners:
            python = [sys.executable, "-m", STAND_INS_MODULE]
            command = [*python, "hand", name, f"{name}.events", resource_address]
            options = ["--fleet", f"{name}.toml", "--name", "r"]  # all runners have the same name
            task = self.rng.choice(self.tasks)
            self._add_process(name, "rosepick", ["lease", "run", task, *options, "--", *command])
            self.processes[name].records_operations = True
        resource = ["resource", "resource.events", resource_address, "resource.d"]
        self._add_process("resource", STAND_INS_MODULE, resource)

    def _add_process(self, name: str, module: str, arguments: list[str]) -> None:
        """Add a process whose clock runs faster or slower by up to the rate of the drill file."""
        skew = self.drill.processes.rate
        clock_rate = 1.0 + self.rng.choice((-skew, skew, self.rng.uniform(-skew, skew)))
        self.processes[name] = ManagedProcess(name, self.folder, clock_rate, module, arguments)

    def _write_fleet_file(self, name: str) -> None:
        """Write the fleet file of a process, in which the replicas' addresses are those of its links."""
        leases = self.drill.leases
        ports = {
            replica: self.ports[replica]
            for replica in self.replicas
            if name != "operator" or replica != self.spare_replica
        }
        ports |= {
            replica: link.endpoints.listen_port
            for (caller, replica), link in self.links.items()
            if caller == name
        }
        lines = ["[witnesses]", *(f'{replica} = "{self.host}:{port}"' for replica, port in ports.items())]
        lines += ["[leases]", f"ttl = {leases.ttl}", f"drift = {leases.drift}", ""]
        (self.folder / f"{name}.toml").write_text("\n".join(lines), "utf-8")

    def start_operator_command(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a command of the program as an operator does; its output goes to operator.log."""
        command, environment = starter_command(
            1.0, "rosepick", [*arguments, "--fleet", "operator.toml"], "operator"
        )
        with (self.folder / "operator.log").open("ab") as log:
            return subprocess.Popen(
                command, stdout=log, stderr=log, cwd=self.folder, stdin=subprocess.DEVNULL, env=environment
            )

    def create_client(self, name: str, loop: EventLoop, rng: random.Random) -> InstrumentedQuorumClient:
        """Create a client of the quorum that connects to the replicas directly, without link faults."""
        endpoints = {replica: (self.host, port) for replica, port in self.ports.items()}
        connections = tcp_connection_factory(loop, endpoints, b"")
        return InstrumentedQuorumClient(name, self.events.append, drill_clock, loop, connections, rng)

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Run the event loop until a condition holds or `timeout_s` is over; return whether it holds."""
        deadline = drill_clock() + timeout_s
        while not condition() and drill_clock() < deadline:
            self.loop.step(LOOP_STEP_S)
        return condition()

    def run_for(self, duration_s: float) -> None:
        """Run the event loop for `duration_s` seconds."""
        self.run_until(lambda: False, duration_s)

    def has_logged(self, name: str, event: str, offset: int = 0) -> bool:
        """Return whether a process has logged an event after the first `offset` bytes of its log."""
        path = self.processes[name].log_path
        if not path.exists():
            return False
        lines = path.read_bytes()[offset:].decode("utf-8", "replace").splitlines()
        return any(line_has_event(line, event) for line in lines)

    def kill_processes(self) -> None:
        """Kill all processes, paused ones too."""
        for process in self.processes.values():
            process.resume()
            process.kill()

    def close(self) -> None:
        """Close the links and the event loop."""
        for link in self.links.values():
            link.close()
        self.loop.close()
