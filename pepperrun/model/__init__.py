"""The capacity model: gatekeepers and nodes in virtual time, with the real decision module. Does no I/O.

`pepperrun.simulation` searches for faults instead.
"""
