"""Captured load: what a gatekeeper took and what came of it. `docs/CAPTURE.md` has the format."""
