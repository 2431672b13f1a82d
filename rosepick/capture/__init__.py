"""Records the events and decisions of the decision module in a ring buffer, and replays the records."""
