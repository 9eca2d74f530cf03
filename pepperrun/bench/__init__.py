"""Experiments with real gatekeepers on loopback. The serving path imports nothing of this."""
