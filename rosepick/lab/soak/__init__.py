"""Soak test: random, overlapping faults in a few dozen real processes, checked by invariants."""
