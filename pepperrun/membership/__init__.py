"""Group membership after SWIM: failure detection, gossip, views, and quota behaviour during partitions.

Only `service` and `gateway_probe_service` do I/O. A generation is one start of a member's process; an
incarnation is SWIM's counter within a generation, which a member raises to refute a suspicion.
"""
