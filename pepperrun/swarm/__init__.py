"""Swarm (model and drills): the deciding halves in seeded worlds, and searches of what can befall them."""
