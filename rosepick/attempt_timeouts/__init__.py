"""Adaptive timeouts of attempts and connects. No I/O, no clock, no randomness; standard library only."""
