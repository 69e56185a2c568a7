"""Structured logging by structlog: one event a line on standard error, for people or as JSON."""

from __future__ import annotations

import logging
import sys

import structlog
from structlog.typing import FilteringBoundLogger, Processor

LEVEL_BY_NAME = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logging(
    log_format: str = "console", level: str = "info", **context: object
) -> FilteringBoundLogger:
    """Configure the logging of the process, and return a logger.

    `log_format` is "console" or "json", `level` a name of `LEVEL_BY_NAME`; `context` goes into each line.
    """
    renderer: Processor = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVEL_BY_NAME[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
    logger: FilteringBoundLogger = structlog.get_logger(**context)
    return logger
