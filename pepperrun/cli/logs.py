"""Log lines of the tools, by structlog: text for people, JSON for programs, on standard error."""

from __future__ import annotations

import logging
import sys

import structlog


def configure(log_format: str, verbose: bool = False) -> None:
    """How the tools' lines look from now on: `text` or `json`."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG if verbose else logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
