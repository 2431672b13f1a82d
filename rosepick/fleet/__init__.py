"""Drains and rollouts of a fleet: fleet state, disruption budget, agents, failure detector, rollouts.

Everything here is a state machine or a pure function: no I/O, no clock. Drivers are in `coordination`.
"""
