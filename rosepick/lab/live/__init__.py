"""Runs experiments on loopback sockets: real router processes, and simulated nodes, origin and discovery."""
