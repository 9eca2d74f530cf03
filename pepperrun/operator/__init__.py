"""Operators' tools: checks of files, calls to the core, what a process holds, a local cluster."""
