"""Resource budget of one router: descriptors, and memory for responses and streamed bodies."""

from __future__ import annotations

from ..connections.descriptor_budget import DescriptorBudget
from ..core.body_stream import BufferBudget

# Fraction of the memory for buffers of streamed bodies. Data that is being written needs the same amount
# again.
STREAMED_BODIES_FRACTION = 1 / 16
RESPONSES_FRACTION = 0.25  # fraction of the memory for responses that are being read or written
BYTES_PER_MB = 1024 * 1024


class ResourceBudget(DescriptorBudget):
    """Counts descriptors by use, and the bytes of buffered responses and bodies."""

    def __init__(self, limit: int, memory_mb: float = 192.0, downstream_fraction: float = 0.5) -> None:
        super().__init__(limit, downstream_fraction)
        self.buffered_bytes = 0
        self.body_buffers = BufferBudget(0)
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: float) -> None:
        """Set the memory of the router, in MB."""
        self.max_buffered_bytes = int(RESPONSES_FRACTION * memory_mb * BYTES_PER_MB)
        self.body_buffers.total_bytes = int(STREAMED_BODIES_FRACTION * memory_mb * BYTES_PER_MB)
