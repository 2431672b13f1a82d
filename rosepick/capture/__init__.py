"""The capture: a ring of what the decision module was fed and what it decided, and its replay."""
