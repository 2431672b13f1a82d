"""The decision module on the simulator's protocol. Standard library only."""
