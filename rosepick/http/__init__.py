"""HTTP/1.1 as state machines: fed bytes, returning events and bytes; they know no socket and no clock."""
