"""Replacing the process while it serves: one gatekeeper, two processes, one of which decides at a time."""
