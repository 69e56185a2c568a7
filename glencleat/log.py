"""Structured logging with structlog to standard error: one event a line, as text or as JSON."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def configure_logging(form: str = "console", level: str = "info", **context: Any) -> Any:
    """Configures the process's logging and returns a logger that adds `context` to each event.

    `form` is "console" or "json".
    """
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
    return structlog.get_logger(**context)
