"""The command `pepperrun` beside the gatekeeper itself: tools for people, on click and structlog."""
