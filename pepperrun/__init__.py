"""Decisions of an admission gateway for a service sold by plan."""

from pepperrun.core.gateway import Gateway
from pepperrun.core.interface import Settings

__all__ = ["Gateway", "Settings"]
