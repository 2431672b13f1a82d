"""A deterministic model of what routers serve: nodes, origin, discovery, network and clients.

It does no I/O and reads no clock: all time is simulated, in milliseconds.
"""
