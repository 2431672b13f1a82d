"""Timer kinds of a baseline policy. The low bits of a timer's token are the number of a request."""

ATTEMPT_TIMER = 1 << 60  # timeout of an attempt
DEADLINE_TIMER = 2 << 60  # deadline of a request
DISCOVERY_TIMER = 3 << 60  # next subscription to discovery
TIMER_KIND_MASK = 3 << 60  # the bits that hold the kind
