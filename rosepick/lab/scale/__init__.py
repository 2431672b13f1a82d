"""Scale test: real routers with thousands of stand-in cache nodes must give each final answer in time.

The nodes share a few listening sockets, because one machine cannot run thousands of processes. A router still
handles each node separately, with its own entry in the endpoint list, its own connections and its own state.
"""
