"""Adaptive timeouts of attempts and connects; no I/O, no clock, no randomness, standard library only."""
