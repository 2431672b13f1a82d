"""Runs the decision module on the simulator's protocol; uses the standard library only."""
