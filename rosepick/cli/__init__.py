"""The command line, by groups of commands."""
