"""Does the I/O of the control plane: quorum connections, replicas, leases, agents and artifacts."""
