"""The decisions and what they stand on: no wire, socket or clock of their own."""
