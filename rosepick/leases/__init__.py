"""Leases on tasks of the whole fleet: the record, the client, fencing tokens and the guard that checks them.

Nothing in this package does I/O or reads a clock; `rosepick.coordination` drives it.
"""
