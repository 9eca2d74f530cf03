"""The admin address: operators query a running gatekeeper's readiness, metrics and membership there."""
