"""Searches for faults: runs the programs' own code in seeded virtual time and checks the rules under faults.

`pepperrun.model` is the capacity model.
"""
