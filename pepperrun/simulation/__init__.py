"""Simulation: the deciding halves in seeded worlds, and searches of what can befall them."""
