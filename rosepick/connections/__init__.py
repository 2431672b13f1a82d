"""Limits on connections: who holds them, which are worth a place, how many may be. No I/O, no clock."""
