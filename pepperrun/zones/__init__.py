"""Agreement between zones and regions: a replicated register without a leader or a disk."""
