"""Fronts: each converts requests of clients to exchanges, and final answers to responses."""
