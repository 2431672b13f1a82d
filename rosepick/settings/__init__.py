"""What the platform and what the operators tell: read, typed, checked."""
