"""Simulated processes that hold leases, and the guarded resource that they act on."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from functools import partial

from ...consensus import messages as m
from ...coordination.lease_holder import LeaseHolder
from ...leases.fencing import FencingGuard
from ...leases.lease_client import LeaseConfig, LeaseState
from .history import GuardedEffect, LeaseCheckPassed, LeaseStateChanged
from .instrumented_client import InstrumentedQuorumClient
from .simulated_network import SimulatedNetwork, SimulatedServer
from .simulation import SimulatedProcess, Simulation, SimulationConfig

REQUEST_DELAY_TTLS = (
    0.1,
    0.5,
)  # until a lost or ended lease is requested again, in multiples of its time to live
MAX_HOLDING_TIMES_TTLS = (0.6, 2.0, 20.0)  # upper bounds of holding times, one drawn for each lease
NAMED_SUCCESSOR_PROBABILITY = 0.2  # that a release names the next holder
LATE_EFFECT_PROBABILITY = 0.01  # that an effect arrives after the lease may have expired
LATE_EFFECT_DELAY_TTLS = (1.0, 2.5)
MAX_EFFECT_DELAY_S = 0.004
WORK_INTERVAL_JITTER = (0.5, 1.5)


class InMemoryTokenStore:
    """A store of fencing tokens in memory."""

    def __init__(self) -> None:
        self._highest_by_task: dict[str, int] = {}

    def highest_token(self, task: str) -> int:
        """Return the highest token accepted for a task, or 0 if there is none."""
        return self._highest_by_task.get(task, 0)

    def save_token(self, task: str, token: int) -> None:
        """Store the highest token accepted for a task."""
        self._highest_by_task[task] = token


class GuardedResource:
    """The resource that lease holders act on, behind a fencing guard."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._guard = FencingGuard(InMemoryTokenStore())

    def apply_effect(self, name: str, task: str, token: int, owner: int) -> None:
        """Record an effect of the process `name`, and whether the guard accepted it."""
        accepted = self._guard.accepts(task, token)
        self._simulation.record_event(GuardedEffect(name, self._simulation.now, task, token, owner, accepted))


class LeaseSimulation(Simulation):
    """A simulation with a network and a guarded resource, in which lease clients run."""

    def __init__(self, config: SimulationConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.network = SimulatedNetwork(self)
        self.resource = GuardedResource(self)
        self.client_names = [f"c{number}" for number in range(config.clients)]


class SimulatedQuorumConnection:
    """A process's connection to one replica."""

    def __init__(
        self,
        process: SimulatedProcess,
        server: SimulatedServer,
        network: SimulatedNetwork,
        on_reply: Callable[[str, m.QuorumReply], None],
    ) -> None:
        self._process = process
        self._server = server
        self._network = network
        self._on_reply = on_reply

    def send(self, request: m.QuorumRequest) -> None:
        """Send a request."""
        self._network.send_request(self._process, self._server, request, self._on_reply)

    def close(self) -> None:
        """Do nothing, as the connection has no state."""


class SimulatedLeaseClient(SimulatedProcess):
    """A process that requests leases, acts on the resource while it holds them, and releases some."""

    def __init__(self, simulation: LeaseSimulation, name: str, clock_rate: float, tasks: list[str]) -> None:
        super().__init__(simulation, name, clock_rate)
        self.lease_simulation = simulation
        self.tasks = tasks
        self.client: InstrumentedQuorumClient | None = None
        self.lease_holders: dict[str, LeaseHolder] = {}

    def start(self) -> None:
        """Start with a new quorum client, and request a lease for each task."""
        super().start()
        simulation = self.lease_simulation
        rng = random.Random(simulation.rng.getrandbits(64))
        self.client = InstrumentedQuorumClient(
            self.name, simulation.record_event, lambda: simulation.now, self, self._connect, rng
        )
        for task in self.tasks:
            self._request_lease(task)
            self._work_step(task)

    def _connect(
        self, on_reply: Callable[[str, m.QuorumReply], None]
    ) -> Mapping[str, SimulatedQuorumConnection]:
        network = self.lease_simulation.network
        return {
            name: SimulatedQuorumConnection(self, server, network, on_reply)
            for name, server in network.servers.items()
        }

    def kill(self) -> None:
        """End the process at once; its unfinished operations are recorded as open."""
        super().kill()
        self.record_open_operations()

    def record_open_operations(self) -> None:
        """Record the unfinished operations, whose outcomes this process will not see."""
        if self.client is not None:
            for operation in self.client.open_operations.values():
                self.simulation.record_event(operation)
            self.client.open_operations.clear()

    def _request_lease(self, task: str) -> None:
        assert self.client is not None
        config = self.simulation.config
        lease_config = LeaseConfig(config.lease_ttl_s * 1000.0, config.drift)
        on_change = partial(self._on_lease_change, task)
        self.lease_holders[task] = LeaseHolder(self.client, task, self.name, lease_config, on_change)

    def _on_lease_change(self, task: str, change: str) -> None:
        holder = self.lease_holders.get(task)
        if holder is None or change == "doubt":
            return
        simulation = self.simulation
        rng = simulation.rng
        lease = holder.lease_client
        simulation.record_event(
            LeaseStateChanged(self.name, simulation.now, task, lease.token, lease.owner_id, change)
        )
        if lease.state in (LeaseState.LOST, LeaseState.ENDED):
            delay_ms = 1000.0 * rng.uniform(*REQUEST_DELAY_TTLS) * simulation.config.lease_ttl_s
            self.call_after(delay_ms, partial(self._request_lease, task))
        elif lease.state is LeaseState.HELD:
            max_ttls = rng.choice(MAX_HOLDING_TIMES_TTLS)
            holding_ms = 1000.0 * max_ttls * simulation.config.lease_ttl_s * rng.random()
            self.call_after(holding_ms, partial(self._release_lease, holder))

    def _release_lease(self, holder: LeaseHolder) -> None:
        if holder.lease_client.state is not LeaseState.HELD:
            return
        rng = self.simulation.rng
        names_successor = rng.random() < NAMED_SUCCESSOR_PROBABILITY
        holder.release(rng.choice(self.lease_simulation.client_names) if names_successor else "")

    def _work_step(self, task: str) -> None:
        simulation = self.simulation
        rng = simulation.rng
        holder = self.lease_holders[task]
        if holder.may_act():
            self._apply_effect(task, holder)
        jitter = rng.uniform(*WORK_INTERVAL_JITTER)
        interval_ms = 1000.0 * simulation.config.work_interval_s * jitter
        self.call_after(interval_ms, partial(self._work_step, task))

    def _apply_effect(self, task: str, holder: LeaseHolder) -> None:
        """Apply an effect; a few arrive after the lease expired, when only the guard can reject them."""
        simulation = self.lease_simulation
        rng = simulation.rng
        token = holder.lease_client.token
        owner = holder.lease_client.owner_id
        simulation.record_event(
            LeaseCheckPassed(self.name, simulation.now, simulation.now, task, token, owner)
        )
        ttl_s = simulation.config.lease_ttl_s
        is_late = rng.random() < LATE_EFFECT_PROBABILITY
        delay_s = ttl_s * rng.uniform(*LATE_EFFECT_DELAY_TTLS) if is_late else 0.0
        at = simulation.now + delay_s + rng.uniform(0.0, MAX_EFFECT_DELAY_S)
        apply_effect = simulation.resource.apply_effect
        simulation.schedule(at, None, partial(apply_effect, self.name, task, token, owner))
