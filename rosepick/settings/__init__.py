"""Readers and validators of the configuration, the operators' file and the fleet file."""
