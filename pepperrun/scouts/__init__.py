"""Scouts (membership): gatekeepers know each other by probes, second opinions and suspicion."""
