"""Control state: records of workers and gatekeepers by zone, the configuration and its checks."""
