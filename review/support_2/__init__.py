"""Support of the scripts of the second review: a small deployment on loopback, and its stand-ins."""
