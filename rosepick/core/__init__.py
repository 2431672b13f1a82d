"""What every front goes through: envelopes, delivery attempts, the transport map, what must hold. No I/O."""
