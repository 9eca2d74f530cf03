"""A model of what a gatekeeper serves, in virtual time and with the real decision module. No I/O."""
