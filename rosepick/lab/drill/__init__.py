"""Drills: many processes, faults between them, and a judge of what they do. See docs/drills.md."""
