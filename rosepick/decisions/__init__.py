"""Every decision, and the events and actions it speaks in. No I/O, no clock; standard library only."""
