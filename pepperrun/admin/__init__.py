"""The second address: where operators ask a running gatekeeper whether it serves, and for its figures."""
