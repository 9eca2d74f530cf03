"""Decisions of an admission gateway for a service sold by plan."""

from pepperrun.gateway import Gateway
from pepperrun.interface import Settings

__all__ = ["Gateway", "Settings"]
