"""Data plane: accepts requests of clients, decides which workers they may go to, and forwards them.

It runs in the gateway (`gateway_node`), the process that is also called gatekeeper; `core.gateway.Gateway` is
only its decision logic.
"""
