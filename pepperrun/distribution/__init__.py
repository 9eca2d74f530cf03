"""Distribution: configuration and records from the core to all gatekeepers, down a tree of relays."""
