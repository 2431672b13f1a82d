"""The decisions on the simulator's wire. Standard library only."""
