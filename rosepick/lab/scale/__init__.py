"""Real routers beside thousands of stand-in cache nodes: does each request get its final answer in time?

Nodes share a few listening sockets, as a machine has not room for thousands of processes. What a router does
for each node is the same: its own entry in the list, its own connections, its own state.
"""
