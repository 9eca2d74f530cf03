"""Simulation of gatekeepers and nodes in virtual time, with the real decision module. Does no I/O."""
