"""The budget of one router: its descriptors, and the bytes of answers that it holds."""

from __future__ import annotations

from ..connections.descriptor_budget import DescriptorBudget
from ..core.body_stream import BufferBudget

STREAMED_BODIES_FRACTION = (
    1 / 16
)  # of the memory that the router is given: for bodies on their way; as much is in writing
# of the memory that the router is given: for answers that are read or not yet written
RESPONSES_FRACTION = 0.25


class ResourceBudget(DescriptorBudget):
    """Counts descriptors by part, and the bytes of answers that are held."""

    def __init__(self, limit: int, memory_mb: float = 192.0, downstream_fraction: float = 0.5) -> None:
        super().__init__(limit, downstream_fraction)
        self.buffered_bytes = 0
        self.body_buffers = BufferBudget(0)
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: float) -> None:
        """So much memory is the router's from now on."""
        self.max_buffered_bytes = int(RESPONSES_FRACTION * memory_mb * 1024 * 1024)
        self.body_buffers.total_bytes = int(STREAMED_BODIES_FRACTION * memory_mb * 1024 * 1024)
