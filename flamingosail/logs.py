"""Structured log lines: one JSON object per line.

Modules log through ``logbook.Logger``. Fields that identify the subject of a
line, such as ``root`` and ``incarnation``, go into the record's ``extra``::

    log = Logger("egress")
    log.warning("answer dropped", extra={"root": root})

Lines that are written for every call have level ``debug``, so the default
level writes no line per call.
"""

import json
import sys
from typing import Any
from typing import TextIO

from logbook import Logger
from logbook import LogRecord
from logbook import lookup_level
from logbook import StreamHandler
from twisted.logger import formatEvent
from twisted.logger import LogLevel

__all__ = ["DEFAULT_LEVEL", "JsonLinesHandler", "TwistedObserver"]

DEFAULT_LEVEL = "info"
STANDARD_FIELDS = frozenset({"time", "level", "channel", "message", "error"})


class JsonLinesHandler(StreamHandler):
    """Writes each record as a line of JSON, by default to stderr.

    A line has ``time`` (UTC, ISO 8601), ``level``, ``channel`` and
    ``message``, then ``fields`` and the extra fields of the record. A
    traceback goes into ``error``. Values that JSON cannot express are
    written as text.
    """

    def __init__(
        self,
        *,
        stream: TextIO | None = None,
        level: str = DEFAULT_LEVEL,
        fields: dict[str, Any] | None = None,
    ):
        super().__init__(
            sys.stderr if stream is None else stream,
            level=lookup_level(level.upper()),
        )
        self.fields = dict(fields or {})

    def format(self, record: LogRecord) -> str:
        """Return the line of a record, without the newline."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "channel": record.channel,
            "message": record.message,
        }
        extra = {**self.fields, **record.extra}
        for name, value in extra.items():
            # Readers rely on the standard fields: never overwrite them.
            line[f"extra_{name}" if name in STANDARD_FIELDS else name] = value
        if record.formatted_exception:
            line["error"] = record.formatted_exception
        return json.dumps(line, default=str)


class TwistedObserver:
    """Forwards warnings and errors of twisted's own log to ``logbook``.

    Without it, unhandled errors in Deferreds are not logged.
    """

    def __init__(self):
        self.log = Logger("twisted")

    def __call__(self, event: dict):
        """Log one event of ``twisted.logger``."""
        level = event.get("log_level", LogLevel.info)
        if level < LogLevel.warn:
            return
        text = formatEvent(event) or str(event.get("log_namespace"))
        failure = event.get("log_failure")
        extra = {"failure": failure.getTraceback()} if failure else {}
        if level is LogLevel.warn:
            self.log.warning("{}", text, extra=extra)
        else:
            self.log.error("{}", text, extra=extra)
