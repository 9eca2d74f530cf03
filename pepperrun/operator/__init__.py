"""Operators' tools: file checks, calls to control nodes, state of processes and disks, a local cluster."""
