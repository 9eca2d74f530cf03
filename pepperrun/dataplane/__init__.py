"""Data plane: the front for clients, where a request may go, and where not."""
