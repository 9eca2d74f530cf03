"""Decisions of an admission gateway for a service sold by plan.

The decisions are loaded when they are first asked for: a core machine, which decides nothing of the kind,
starts without them, and after a loss of all machines nobody is served before the core machines are back.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pepperrun.core.gateway import Gateway
    from pepperrun.core.interface import Settings

__all__ = ["Gateway", "Settings"]


def __getattr__(name: str) -> Any:
    """`Gateway` and `Settings`, once they are wanted."""
    if name not in __all__:
        raise AttributeError(name)
    from pepperrun.core.gateway import Gateway
    from pepperrun.core.interface import Settings

    return {"Gateway": Gateway, "Settings": Settings}[name]
