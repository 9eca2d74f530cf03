"""Consensus: one register that a majority of the core agrees on, and who of it votes."""
