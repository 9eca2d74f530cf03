"""Control plane: the registry of workers and gatekeepers, the configuration, its validation and its API."""
