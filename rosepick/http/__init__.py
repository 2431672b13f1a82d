"""HTTP/1.1 protocol adapters as state machines: bytes in, messages and bytes out; no sockets, no clock."""
