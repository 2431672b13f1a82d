"""Client connections: their records, the limits on them, and which ones are closed. No I/O, no clock."""
