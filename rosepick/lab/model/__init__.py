"""What routers serve, as a model: nodes, origin, discovery, network, clients. No I/O; time is what it is
told.
"""
