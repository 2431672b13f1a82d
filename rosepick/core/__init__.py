"""The protocol-neutral core: requests, attempts, the endpoint list, body streams and invariants. No I/O."""
