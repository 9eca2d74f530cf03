"""Distribution of configuration and records from the control nodes to all gateways through a relay tree."""
