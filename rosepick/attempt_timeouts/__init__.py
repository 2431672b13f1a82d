"""When to stop waiting for an attempt. No I/O, no clock, no randomness; standard library only."""
