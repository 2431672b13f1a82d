"""Who does a task of the whole fleet: leases, their tokens, and the guard of what is acted on. No I/O, no
clock.
"""
