"""The event loop, and drivers that connect sockets with the protocol state machines."""
