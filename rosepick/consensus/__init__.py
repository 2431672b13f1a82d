"""Replicates named registers on a quorum of acceptors (CASPaxos): messages, acceptor and proposer.

Nothing in this package does I/O or reads a clock; `rosepick.coordination` drives it.
"""
