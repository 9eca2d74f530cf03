"""Soak runs: the real programs on loopback under overlapping planned work; each request is checked."""
