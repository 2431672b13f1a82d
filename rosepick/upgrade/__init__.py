"""Two processes of one router during an upgrade: when to take clients, and which share to hold. No I/O."""
