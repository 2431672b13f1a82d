"""Admin protocol and telemetry document of a running router, without I/O."""
