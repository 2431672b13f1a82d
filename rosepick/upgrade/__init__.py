"""Two processes of one router during an upgrade: readiness, shares of limits, transfer of state. No I/O."""
