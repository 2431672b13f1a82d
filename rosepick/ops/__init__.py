"""What operators ask a running router: the line protocol and the telemetry document. No I/O."""
