"""Implements fleet-wide leases on tasks: the record, the client, and fencing tokens with their guard.

Nothing in this package does I/O or reads a clock; `rosepick.coordination` drives it.
"""
