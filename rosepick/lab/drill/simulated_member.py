"""A simulated router or cache node, with the status that its agent and the clients observe."""

from __future__ import annotations

import errno
import os
from functools import partial

from ...fleet.agent import MemberAction, MemberStatus
from ...fleet.failure_detector import HealthReport
from ...fleet.fleet_state import MemberKind
from .history import AvailabilityChanged
from .simulated_lease_client import InMemoryTokenStore
from .simulation import Simulation

INITIAL_STARTS_UNTIL_S = 1.0  # starts before this time succeed at once, with warm caches
SHUTDOWN_TIME_S = (0.2, 1.2)  # from a stop signal until the process exits
START_TIME_S = (0.2, 0.8)  # from the start of a process until it serves
WARM_UP_TIME_S = (0.5, 2.5)  # until a cache node is warm, added to the longest start time
START_FAILURE_PROBABILITY = 0.15
IDLE_AFTER_S = 1.0  # a draining member has no requests in flight after this time
SERVED_PER_REPORT = 10.0  # requests


class SimulatedMember:
    """A member's process, which keeps running when its agent dies.

    `exempt_from_budget` means that the disruption budget does not apply, since an operator requested an
    immediate drain.
    """

    def __init__(self, simulation: Simulation, name: str, kind: MemberKind, zone: str) -> None:
        self.simulation = simulation
        self.name = name
        self.kind = kind
        self.zone = zone
        self.incarnation = 0
        self.running = False
        self.serving = False
        self.draining = False
        self.ending = False
        self.warm = True
        self.exempt_from_budget = False
        self.draining_changed_at = 0.0  # when draining last started or ended
        self._recorded_up: bool | None = None

    @property
    def is_serving(self) -> bool:
        """Whether the member accepts new requests, warm or not."""
        return self.running and self.serving and not self.draining and not self.ending

    def record_availability(self, cause: str) -> None:
        """Record an event if the member went out of service or came back, with its cause."""
        up = self.is_serving and self.warm
        if up != self._recorded_up or (not up and cause == "program"):
            self._recorded_up = up
            kind = "routers" if self.kind is MemberKind.ROUTER else "caches"
            self.simulation.record_event(
                AvailabilityChanged(
                    self.name, self.simulation.now, kind, self.zone, up, cause, self.exempt_from_budget
                )
            )

    def start(self) -> None:
        """Start the member unless it is running; some starts fail."""
        if self.running:
            return
        simulation = self.simulation
        rng = simulation.rng
        is_initial = simulation.now < INITIAL_STARTS_UNTIL_S
        self.incarnation += 1
        self.running = True
        self.serving = False
        self.draining = False
        self.ending = False
        self.warm = self.kind is MemberKind.ROUTER or is_initial
        incarnation = self.incarnation
        if rng.random() < START_FAILURE_PROBABILITY and simulation.now > INITIAL_STARTS_UNTIL_S:
            simulation.schedule_in(rng.uniform(*START_TIME_S), partial(self._exit, incarnation, "fault"))
            return
        start_time_s = 0.0 if is_initial else rng.uniform(*START_TIME_S)
        simulation.schedule_in(start_time_s, partial(self._serve, incarnation))
        warm_up_time_s = rng.uniform(*WARM_UP_TIME_S) + START_TIME_S[1]
        simulation.schedule_in(warm_up_time_s, partial(self._finish_warm_up, incarnation))

    def _serve(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.serving = True
            self.record_availability("")

    def _finish_warm_up(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.warm = True
            self.record_availability("")

    def stop(self) -> None:
        """Start a graceful shutdown, as SIGTERM does."""
        if self.running and not self.ending:
            self.ending = True
            self.record_availability("program")
            shutdown_time_s = self.simulation.rng.uniform(*SHUTDOWN_TIME_S)
            self.simulation.schedule_in(shutdown_time_s, partial(self._exit, self.incarnation, "program"))

    def _exit(self, incarnation: int, cause: str) -> None:
        if incarnation == self.incarnation:
            self.running = False
            self.serving = False
            self.draining = False
            self.ending = False
            self.incarnation += 1
            self.record_availability(cause)

    def crash(self) -> None:
        """End the process at once, as a fault does."""
        if self.running:
            self._exit(self.incarnation, "fault")

    def set_draining(self, draining: bool) -> None:
        """Start or end draining."""
        if self.running and self.draining is not draining:
            self.draining = draining
            self.draining_changed_at = self.simulation.now
            self.record_availability("program" if draining else "")


class MemberObserver:
    """Reads the status of a member and controls it, for its agent."""

    def __init__(self, member: SimulatedMember) -> None:
        self._member = member

    def read_status(self) -> MemberStatus:
        """Return the member's status."""
        member = self._member
        idle = member.draining and member.simulation.now - member.draining_changed_at > IDLE_AFTER_S
        return MemberStatus(
            member.running, member.is_serving, member.draining, member.ending, idle, member.warm
        )

    def apply_action(self, action: MemberAction) -> None:
        """Start, stop, drain or undrain the member."""
        if action is MemberAction.START:
            self._member.start()
        elif action is MemberAction.STOP:
            self._member.stop()
        elif action in (MemberAction.DRAIN, MemberAction.UNDRAIN):
            self._member.set_draining(action is MemberAction.DRAIN)

    def make_report(self, run_id: int, sequence: int) -> HealthReport:
        """Return the member's health report."""
        status = self.read_status()
        served = SERVED_PER_REPORT * status.serving
        return HealthReport(run_id, sequence, status.serving, status.warm, served=served)


class InMemoryAgentState:
    """The stored state of an agent, in memory; it survives restarts of the agent."""

    def __init__(self) -> None:
        self.tokens = InMemoryTokenStore()
        self._phase_and_permit = (0, 0)
        self._values: dict[str, object] = {}
        self.active_write_faults = 0  # active faults that make writes fail

    def load(self) -> tuple[int, int]:
        """Return the stored phase and permit."""
        return self._phase_and_permit

    def save(self, phase: int, permit: int) -> None:
        """Store phase and permit.

        Raises:
            OSError: the disk is full.
        """
        self._check_writable()
        self._phase_and_permit = phase, permit

    def get(self, name: str) -> object:
        """Return the value stored under a name, or None."""
        return self._values.get(name)

    def put(self, **values: object) -> None:
        """Store values under names.

        Raises:
            OSError: the disk is full.
        """
        self._check_writable()
        self._values |= values

    def _check_writable(self) -> None:
        if self.active_write_faults:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
