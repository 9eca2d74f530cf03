"""Decisions of an admission gateway for a service sold by plan."""

from sillpoint.gateway import Gateway
from sillpoint.interface import Settings

__all__ = ["Gateway", "Settings"]
