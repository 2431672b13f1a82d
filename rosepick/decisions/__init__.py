"""All routing decisions, with their events and actions. No I/O, no clock; standard library only."""
