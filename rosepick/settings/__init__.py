"""Settings of the platform and of the operators: read, typed and checked."""
