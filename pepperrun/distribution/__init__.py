"""Distribution of configuration and records from the control nodes to all gateways through a relay tree.

A gateway (`gateway_node`) is the process that is also called gatekeeper; `core.gateway.Gateway` is only its
decision logic.
"""
