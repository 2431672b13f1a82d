"""The loop, and thin drivers that read and write sockets for the state machines."""
