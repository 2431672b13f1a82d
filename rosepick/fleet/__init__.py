"""Coordination logic of drains and rollouts: fleet state, disruption budget, agent, failure detector, leader.

This package contains state machines and pure functions without I/O and clock; `coordination` has the drivers.
"""
