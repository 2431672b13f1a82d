"""Plays an experiment on sockets: real routers, and stand-ins for all that is around them. Loopback only."""
