"""Injects the faults that exist only on sockets, by their names in experiment files."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol, cast

from ..experiment_config import FaultConfig
from ..model.fault_schedule import (
    InjectedFault,
    InjectFault,
    choose_cache_nodes,
    choose_nodes_or_all,
    format_node_names,
    no_revert,
)
from ..model.nodes import SimulatedNode
from ..model.simulation import Simulation
from .discovery_server import DiscoveryServer
from .node_server import NodeServer


class HasNodeServers(Protocol):
    """A simulation whose nodes have servers."""

    @property
    def node_servers(self) -> Mapping[int, NodeServer]:
        """The node servers by node number."""

    @property
    def discovery_server(self) -> DiscoveryServer:
        """The discovery service."""


def _refuse_connections(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    servers = _node_servers_of(simulation, choose_cache_nodes(simulation, fault))

    def change_refusals(by: int) -> None:
        for server in servers:
            server.refusal_count += by
            server.update_listeners()

    change_refusals(1)
    return InjectedFault(format_node_names([server.node for server in servers]), lambda: change_refusals(-1))


def _response_share_fault(shares_of: Callable[[NodeServer], list[float]]) -> InjectFault:
    """Return an injector for a share of the responses of the named nodes, or of all nodes and the origin."""

    def inject(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
        servers = _node_servers_of(simulation, choose_nodes_or_all(simulation, fault))
        for server in servers:
            shares_of(server).append(fault.share)

        def revert() -> None:
            for server in servers:
                shares_of(server).remove(fault.share)

        return InjectedFault(format_node_names([server.node for server in servers]), revert)

    return inject


def _reject_calls(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    """Make discovery reject a share of all calls at once, as with too many callers."""
    discovery = cast(HasNodeServers, simulation).discovery_server
    discovery.rejection_shares.append(fault.share)
    return InjectedFault(
        f"{fault.share:.0%} of calls", lambda: discovery.rejection_shares.remove(fault.share)
    )


def _delay_answers(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    """Make discovery delay its answers to calls that do not wait, the first calls of a watch."""
    discovery = cast(HasNodeServers, simulation).discovery_server
    discovery.extra_answer_delays_ms.append(1000.0 * fault.by)
    return InjectedFault(
        f"{fault.by:g} s", lambda: discovery.extra_answer_delays_ms.remove(1000.0 * fault.by)
    )


def _signal_routers(_simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    """Inject nothing here, as the process that started the routers sends the signals."""
    return InjectedFault(f"{fault.routers or 'all'} routers", no_revert)


def _node_servers_of(simulation: Simulation, nodes: Sequence[SimulatedNode]) -> list[NodeServer]:
    servers = cast(HasNodeServers, simulation).node_servers
    return [servers[node.number] for node in nodes]


LIVE_FAULT_INJECTORS: dict[str, InjectFault] = {
    "refuse": _refuse_connections,
    "garbage": _response_share_fault(lambda server: server.garbage_shares),
    "drip": _response_share_fault(lambda server: server.drip_shares),
    "reload": _signal_routers,
    "router_pause": _signal_routers,
    "discovery_busy": _reject_calls,
    "discovery_slow": _delay_answers,
}
