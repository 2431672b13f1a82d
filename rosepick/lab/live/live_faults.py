"""Injectors of the faults that only sockets have, by their names in an experiment's file."""

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
        """The node servers by the number of their node."""

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
    """Affect a share of the responses of some nodes; of all nodes and the origin if none is named."""

    def inject(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
        servers = _node_servers_of(simulation, choose_nodes_or_all(simulation, fault))
        for server in servers:
            shares_of(server).append(fault.share)

        def revert() -> None:
            for server in servers:
                shares_of(server).remove(fault.share)

        return InjectedFault(format_node_names([server.node for server in servers]), revert)

    return inject


def _turn_calls_away(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    """Have discovery turn a share of all calls away at once, as for too many callers."""
    discovery = cast(HasNodeServers, simulation).discovery_server
    discovery.busy_shares.append(fault.share)
    return InjectedFault(f"{fault.share:.0%} of calls", lambda: discovery.busy_shares.remove(fault.share))


def _delay_answers(simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    """Have discovery answer first calls of a watch, which do not wait, so many seconds later."""
    discovery = cast(HasNodeServers, simulation).discovery_server
    discovery.extra_answer_delays_ms.append(1000.0 * fault.by)
    return InjectedFault(
        f"{fault.by:g} s", lambda: discovery.extra_answer_delays_ms.remove(1000.0 * fault.by)
    )


def _signal_routers(_simulation: Simulation, fault: FaultConfig) -> InjectedFault:
    """Nothing to inject here: the process that started the routers signals them."""
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
    "discovery_busy": _turn_calls_away,
    "discovery_slow": _delay_answers,
}
