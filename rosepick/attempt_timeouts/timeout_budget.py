"""What restarts may cost: a part of the traffic, and what those brought that were won."""

from __future__ import annotations

# restarts earned by a request: without any that is won they stay a tenth of the traffic
TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 8.0
TOKENS_PER_SUCCESS = 1.0  # a restart that was answered in time gives back what it took


class TimeoutBudget:
    """Restarts of one router. Guards against a slow fleet that is answered with restarts: where none is won
    they soon end, and where they help they pay for themselves.
    """

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def record_request(self) -> None:
        """A request came."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def has_token(self) -> bool:
        """Whether there is one left."""
        return self.tokens >= 1.0

    def spend(self) -> None:
        """One was made."""
        self.tokens -= 1.0

    def record_success(self) -> None:
        """One was answered in time."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_SUCCESS)
