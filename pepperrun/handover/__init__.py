"""Replaces a serving process without dropping connections: of the two processes, one decides at a time."""
