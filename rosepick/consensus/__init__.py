"""Named registers kept by a quorum of witnesses: what they say, and the machines on both sides. No I/O, no
clock.
"""
