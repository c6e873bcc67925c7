"""Structured logs in JSON or for a console."""

import logging
import sys

import structlog

LOG_FORMATS = ("json", "console")


def configure_logs(*, log_format: str, level: str, **context: object) -> None:
    """Write log events to standard error, one line each.

    Parameters
    ----------
    log_format : str
        `json` or `console`.
    level : str
        Lowest level that is written: `debug`, `info`, `warning` or `error`.
    **context : object
        Fields of every event, such as the name of the node.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _add(context),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def _add(context):
    def processor(_logger, _method, event):
        return {**context, **event}

    return processor
