"""Admission, scheduling and routing logic. It does no I/O and reads no clock: events carry the time.

A `gateway` makes the decisions of one gatekeeper process: whether, when and where it sends each request.
"Core" means this decision logic in each gatekeeper, not the control nodes, which are in `pepperrun.control`.
"""
