"""Defines what the servers of a live run require from the run, so that they do not depend on its class."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from ...decisions.api import Result
from ...net.event_loop import EventLoop
from ...net.resource_budget import ResourceBudget
from ..experiment import Experiment
from ..model.kernel import Kernel
from ..model.network import SimulatedNetwork
from ..model.nodes import NodeRequest, ReplyCallback, SimulatedNode
from .controllable_listener import ControllableListener
from .real_time_kernel import RealTimeKernel
from .request_reader import HttpRequest
from .run_records import NodeAttemptRecord


class NodeAddresses(Protocol):
    """A node and its listeners, one for each zone of routers."""

    @property
    def node(self) -> SimulatedNode:
        """The node of the model."""

    @property
    def listeners(self) -> Sequence[ControllableListener]:
        """The listeners by zone."""


class LiveContext(Protocol):
    """The interface of a live run to its servers. Times are milliseconds."""

    loop: EventLoop
    budget: ResourceBudget
    experiment: Experiment
    seed: int
    kernel: Kernel
    network: SimulatedNetwork
    real_time_kernel: RealTimeKernel
    unix_start_ms: float

    @property
    def node_servers(self) -> Mapping[int, NodeAddresses]:
        """The node servers by node number."""

    def call_after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_ms` milliseconds of the run."""

    def record_attempt(
        self, node: SimulatedNode, zone: int, name: str, first_byte_at: float
    ) -> NodeAttemptRecord:
        """Record that a request from a router in `zone` has arrived completely at a node."""

    def to_node_request(
        self, node: SimulatedNode, message: HttpRequest, name: str, reply: ReplyCallback
    ) -> NodeRequest:
        """Return the model's request for an HTTP request."""

    def on_node_reply(
        self, node: SimulatedNode, node_request: NodeRequest, result: Result, cache_status: int
    ) -> None:
        """Record a node's answer."""
