"""Waggle (distribution): news from the core to all gatekeepers, down a tree of relays that they form."""
