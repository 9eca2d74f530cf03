"""Storage of a control node's durable state on disk, synced before any message that depends on it is sent."""
