"""Captured load: the requests of a gatekeeper and their results. `docs/CAPTURE.md` describes the format."""
