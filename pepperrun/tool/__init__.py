"""Writes the configuration of an application's gatekeepers from one file, and checks configurations."""
