"""The capture: what the module was fed and what it decided, as lines in a ring of bytes, and their replay."""
