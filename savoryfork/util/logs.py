"""One line of key=value pairs for each event, through the standard logging module."""

from __future__ import annotations

import logging
import sys
from typing import Any

from logfmter import Logfmter


def setup(host: str, level: str = "INFO") -> None:
    """Sends every log record to standard error as one key=value line."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        Logfmter(
            keys=["at", "time", "host", "logger"],
            mapping={"at": "levelname", "time": "asctime", "logger": "name"},
        )
    )

    def add_host(record: logging.LogRecord) -> bool:
        record.host = host
        return True

    handler.addFilter(add_host)
    logging.basicConfig(handlers=[handler], level=level, force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def event(logger: logging.Logger, name: str, level: int = logging.INFO, **fields: Any) -> None:
    """Logs one event. Fields that are None are left out; prompt text and keys never go in."""
    if logger.isEnabledFor(level):
        logger.log(level, pairs_of(name, fields))


def failure(logger: logging.Logger, name: str, **fields: Any) -> None:
    """Logs the exception that is being handled, a bug, with its traceback."""
    logger.error(pairs_of(name, fields), exc_info=True)


def pairs_of(name: str, fields: dict[str, Any]) -> dict[str, Any]:
    """The pairs of one line, the event's name first."""
    return {"event": name} | {key: value for key, value in fields.items() if value is not None}
