"""Kinds of timers of a baseline policy. The low bits of a timer's token are the number of a request."""

ATTEMPT_TIMER = 1 << 60  # an attempt has had its time
DEADLINE_TIMER = 2 << 60  # a request has reached its deadline
DISCOVERY_TIMER = 3 << 60  # it is time to subscribe
TIMER_KIND_MASK = 3 << 60
