"""Named registers replicated by a quorum of acceptors (CASPaxos): messages and state machines on both sides.

Nothing in this package does I/O or reads a clock; `rosepick.coordination` drives it.
"""
