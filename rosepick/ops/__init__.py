"""What operators ask a running router: the admin protocol and the telemetry document. No I/O."""
