"""Upgrade of a router from one process to the next: shares of limits and state transfer, without I/O."""
