"""A deterministic model of a router's environment: nodes, origin, discovery, network and clients.

The model does no I/O and reads no clock: all time is simulated, in milliseconds.
"""
