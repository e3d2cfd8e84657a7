"""Structured log lines: one JSON object per line.

Modules log through ``logbook.Logger``; fields that identify what a line is
about, such as ``root`` and ``incarnation``, go into the record's ``extra``::

    log = Logger("egress")
    log.warning("answer dropped", extra={"root": root})

Nothing on the path of a call logs above ``debug`` for each call, so the
default level writes no line per call.
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
OWN_FIELDS = frozenset({"time", "level", "channel", "message", "error"})


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
        """Return the line of a record, without the line end."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "channel": record.channel,
            "message": record.message,
        }
        extra = {**self.fields, **record.extra}
        for name, value in extra.items():
            # An extra field must not replace one that readers rely on.
            line[f"extra_{name}" if name in OWN_FIELDS else name] = value
        if record.formatted_exception:
            line["error"] = record.formatted_exception
        return json.dumps(line, default=str)


class TwistedObserver:
    """Passes warnings and errors of twisted's own log on to ``logbook``.

    Without it, an error in a Deferred that nobody handles is not written.
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
