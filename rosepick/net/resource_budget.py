"""Resource budget of one router: descriptors, and memory for requests, responses and streamed bodies."""

from __future__ import annotations

from ..connections.descriptor_budget import DescriptorBudget
from ..core.body_stream import BufferBudget
from ..core.request_budget import RequestBudget

PROCESS_MB = 27.0  # memory of the process itself with its connections, without what it holds for requests
MIN_BUFFER_MB = 4.0  # what all parts together are fractions of, if the memory is hardly more than the process
REQUESTS_FRACTION = 1 / 8  # fraction of the memory for requests that are received, queued or in progress
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
        self.requests = RequestBudget(0)
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: float) -> None:
        """Set the memory of the router, in MB.

        The parts add up to half of the memory, or to what the process itself leaves if that is less.
        """
        buffer_mb = max(MIN_BUFFER_MB, min(memory_mb, 2.0 * (memory_mb - PROCESS_MB)))
        buffer_bytes = buffer_mb * BYTES_PER_MB
        self.max_buffered_bytes = int(RESPONSES_FRACTION * buffer_bytes)
        self.body_buffers.total_bytes = int(STREAMED_BODIES_FRACTION * buffer_bytes)
        self.requests.total_bytes = int(REQUESTS_FRACTION * buffer_bytes)
