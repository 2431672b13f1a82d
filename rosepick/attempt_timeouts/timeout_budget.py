"""The budget of abandoned attempts: requests earn tokens, and abandonments that help are refunded."""

from __future__ import annotations

# Tokens that a request earns. If no abandonment helps, at most a tenth of the traffic is abandoned.
TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 8.0
TOKENS_PER_SUCCESS = 1.0  # refunded for a request that was answered in time after an abandoned attempt


class TimeoutBudget:
    """A token bucket: abandoning an attempt for another one costs a token.

    Guards against loading a slow fleet with more attempts. If none of these succeeds, the tokens soon run
    out; if they help, their tokens are refunded.
    """

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def record_request(self) -> None:
        """Add the tokens that a request earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def has_token(self) -> bool:
        """Return whether an attempt may be abandoned."""
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Take a token for an abandoned attempt."""
        self.tokens -= 1.0

    def record_success(self) -> None:
        """Refund a token: a request was answered in time after an abandoned attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_SUCCESS)
