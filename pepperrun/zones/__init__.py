"""Failover between zones and regions: what is decided in common, and where load goes by it."""
