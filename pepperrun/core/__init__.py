"""Admission, scheduling and routing logic. It does no I/O and reads no clock: events carry the time."""
