"""The command of agents: `rosepick agent run`. See docs/drains.md.

Dependencies of the extra `fleet` are imported only when the command runs.
"""

from __future__ import annotations

import shlex
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from .common import exit_with_error
from .fleet_session import disruption_budget_of
from .quorum_session import DEFAULT_FLEET_FILE, FleetFileOption, connect_quorum

if TYPE_CHECKING:
    from ..coordination.agent_driver import AgentDriver
    from ..coordination.agent_driver_config import AgentDriverConfig
    from ..coordination.agent_state_file import AgentStateFile
    from ..coordination.artifact_store import LocalArtifactStore, MemberProgram
    from ..coordination.quorum_client import QuorumClient
    from ..coordination.quorum_connection import SocketAddress
    from ..fleet.deployer import Deployer
    from ..fleet.fleet_state import MemberKind
    from ..fleet.rollout_leader import RolloutPolicy
    from ..net.event_loop import EventLoop
    from ..settings.fleet_file import FleetFile, ReleaseSettings

agent = typer.Typer(no_args_is_help=True, help="Agents: one for each router or cache node, on the same host.")

WeightOption = Annotated[
    int, typer.Option(min=1, max=1_000_000, help="Weight relative to members of its kind.")
]
BuildOption = Annotated[
    Path | None, typer.Option(help="The installed build; {build} in COMMAND stands for its path.")
]
ConfigOption = Annotated[
    Path | None, typer.Option(help="The member's GW_CONFIG file; releases change its settings.")
]
EXIT_UNUSABLE_FOLDER = 3
LEASE_RELEASE_TIME_MS = 300.0  # time to release the lease before the process exits
MEMBER_LOG_NAME = "member.log"


@dataclass(frozen=True, slots=True)
class AgentOptions:
    """The validated options of `agent run`."""

    name: str
    kind: MemberKind
    zone: str
    weight: int
    folder: Path
    admin_endpoint: SocketAddress
    command: list[str]
    program: MemberProgram | None  # None if the member takes no part in releases


@agent.command("run")
def run_agent(
    name: Annotated[str, typer.Argument(help="The member's name.")],
    command: Annotated[list[str], typer.Argument(help="After --: the command that starts the member.")],
    folder: Annotated[Path, typer.Option(help="Folder for the agent's state; not shared with other agents.")],
    zone: Annotated[str, typer.Option(help="The member's zone.")],
    endpoint: Annotated[str, typer.Option("--door", help="host:port of the member's admin listener.")],
    kind: Annotated[str, typer.Option(help="router or cache.")] = "router",
    weight: WeightOption = 1000,
    build: BuildOption = None,
    config: ConfigOption = None,
    check: Annotated[str, typer.Option(help="Command that checks a version; {build}: its path.")] = "",
    fleet: FleetFileOption = DEFAULT_FLEET_FILE,
) -> None:
    """Run the agent of one router or cache node in the foreground until SIGTERM.

    The member keeps running when its agent ends. With --build or --config it takes part in releases
    (docs/releases.md).
    """
    if kind not in ("router", "cache"):
        exit_with_error(f"--kind {kind}: router or cache", 2)
    admin_endpoint = _parse_endpoint(endpoint)
    client, fleet_file = connect_quorum(fleet)
    from .. import logs
    from ..coordination.artifact_store import MemberProgram
    from ..fleet.fleet_state import MemberKind

    logs.configure_logging()
    takes_part = build is not None or config is not None
    options = AgentOptions(
        name,
        MemberKind.ROUTER if kind == "router" else MemberKind.CACHE,
        zone,
        weight,
        folder,
        admin_endpoint,
        command,
        MemberProgram(build, config, shlex.split(check), command) if takes_part else None,
    )
    _run_until_signal(options, client, fleet_file)


def _parse_endpoint(endpoint: str) -> SocketAddress:
    host, _, port = endpoint.rpartition(":")
    if not host or not port.isdecimal():
        exit_with_error(f"--door {endpoint} is not host:port", 2)
    return host, int(port)


def _run_until_signal(options: AgentOptions, client: QuorumClient, fleet_file: FleetFile) -> None:
    import signal

    from ..coordination.acceptor_store import StoreError
    from ..coordination.agent_state_file import AgentStateFile
    from ..net.event_loop import EventLoop

    loop = client.loop
    assert isinstance(loop, EventLoop)
    try:
        state_file = AgentStateFile(options.folder)
    except (StoreError, OSError) as error:
        exit_with_error(error, EXIT_UNUSABLE_FOLDER)
    driver = _make_driver(options, client, loop, fleet_file, state_file)

    def stop() -> None:
        driver.release_lease()
        loop.call_after(LEASE_RELEASE_TIME_MS, loop.stop)

    loop.add_signal_handlers({signal.SIGTERM: stop, signal.SIGINT: stop})
    loop.run()
    state_file.close()


def _make_driver(
    options: AgentOptions,
    client: QuorumClient,
    loop: EventLoop,
    fleet_file: FleetFile,
    state_file: AgentStateFile,
) -> AgentDriver:
    """Return the driver of a new agent, its member process and its deployer."""
    from ..coordination.agent_driver import AgentDriver
    from ..coordination.supervised_process import MemberProcessConfig, SupervisedProcess
    from ..fleet.agent import Agent, AgentPolicy
    from ..leases.fencing import FencingGuard

    drains = fleet_file.drains
    try:
        artifacts, deployer = make_deployer(options, state_file, fleet_file.releases)
    except OSError as error:
        exit_with_error(error, EXIT_UNUSABLE_FOLDER)
    process_config = MemberProcessConfig(
        options.kind,
        options.admin_endpoint,
        options.command,
        options.folder / MEMBER_LOG_NAME,
        drains.halt_above,
    )
    process = SupervisedProcess(loop, process_config, state_file, artifacts)
    policy = AgentPolicy(partition_timeout_ms=1000.0 * drains.lonely, min_serving_ms=1000.0 * drains.steady)
    budget = disruption_budget_of(fleet_file)
    machine = Agent(options.name, options.kind, options.zone, options.weight, budget, policy, state_file)
    machine.deployer = deployer
    if deployer is not None:
        process.set_active_digests(lambda: deployer.active_digests)
    guard = FencingGuard(state_file.tokens)
    return AgentDriver(client, machine, process, guard, _driver_config(fleet_file))


def _driver_config(fleet_file: FleetFile) -> AgentDriverConfig:
    from ..coordination.agent_driver_config import AgentDriverConfig
    from ..fleet.failure_detector import FailureDetectorPolicy
    from ..leases.lease_client import LeaseConfig

    drains = fleet_file.drains
    return AgentDriverConfig(
        drains.group,
        LeaseConfig(fleet_file.leases.ttl * 1000.0, fleet_file.leases.drift),
        FailureDetectorPolicy(report_timeout_ms=1000.0 * drains.silent),
        1000.0 * drains.beat,
        rollout_policy_of(fleet_file.releases),
    )


def rollout_policy_of(release_settings: ReleaseSettings) -> RolloutPolicy:
    """Return the rollout policy from the settings in the fleet file."""
    from ..fleet.rollout_leader import RolloutPolicy

    return RolloutPolicy(
        min_watch_ms=1000.0 * release_settings.watch,
        max_watch_ms=1000.0 * release_settings.patience,
        final_watch_ms=1000.0 * release_settings.after,
        lost_timeout_ms=1000.0 * release_settings.lost_for,
        interval_ms=1000.0 * release_settings.pool,
        max_failed_share=release_settings.failing,
        false_alarm_probability=release_settings.alarm,
        max_loss_share=release_settings.line,
        asks_operator=release_settings.unsure == "ask",
        rolls_back_automatically=release_settings.auto_back,
    )


def make_deployer(
    options: AgentOptions, state_file: AgentStateFile, release_settings: ReleaseSettings
) -> tuple[LocalArtifactStore, Deployer] | tuple[None, None]:
    """Return a member's artifact store and deployer; None for both if it takes no part in releases.

    Raises:
        OSError: the build cannot be read, or a folder cannot be created.
    """
    from ..coordination.artifact_store import LocalArtifactStore
    from ..fleet.deployer import Deployer, DeployPolicy
    from ..fleet.rollout_state import BUILD, SETTINGS

    program = options.program
    if program is None:
        return None, None
    artifacts = LocalArtifactStore(state_file, options.folder, program)
    digests = {BUILD: artifacts.installed_build.digest} if program.build is not None else {}
    digests |= {SETTINGS: ""} if program.config is not None else {}
    policy = DeployPolicy(1000.0 * release_settings.settle, 1000.0 * release_settings.probation)
    return artifacts, Deployer(options.name, state_file, artifacts, policy, digests)


def add(app: typer.Typer) -> None:
    """Add the commands of this group to the application."""
    app.add_typer(agent, name="agent")
