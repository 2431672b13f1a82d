"""Soak test: random, overlapping faults over a few dozen real processes, judged by invariants."""
