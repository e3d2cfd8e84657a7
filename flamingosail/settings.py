"""Settings of a node, read from an INI file.

Every key is a field of one of the section classes below; a key without a
default is required. ``docs/node.ini`` is a documented example.
"""

import re
from collections.abc import Callable
from configparser import ConfigParser
from configparser import Error as ConfigError
from dataclasses import dataclass
from dataclasses import Field
from dataclasses import field
from dataclasses import fields
from dataclasses import MISSING
from ipaddress import ip_address
from math import isfinite
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from flamingosail.errors import SettingsError

__all__ = [
    "Address",
    "AdmissionSettings",
    "ListenSettings",
    "LoggingSettings",
    "LogSettings",
    "MetricsSettings",
    "NodeSettings",
    "parse_settings",
    "PeersSettings",
    "read_settings",
    "RoutingSettings",
    "Settings",
]

# Without dots and tildes, which separate the parts of keys and incarnations.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
PREFIX_PATTERN = re.compile(r"[A-Za-z0-9_.-]*")
LOG_LEVELS = ("debug", "info", "notice", "warning", "error", "critical")
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port; port 0 lets the operating system choose."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address written as ``ip:port`` or ``[ipv6]:port``.

        :raises ValueError: if the text has another form.
        """
        host, separator, port = text.rpartition(":")
        if not separator:
            raise ValueError("is not of the form ip:port")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        elif ":" in host:
            raise ValueError("has an IPv6 address without brackets")
        if "%" in host:
            raise ValueError("has an IPv6 address with a scope")
        return cls(host=str(ip_address(host)), port=parse_port(port))


def parse_port(text: str) -> int:
    """Return a port number from 0 to 65535."""
    if not (text.isascii() and text.isdigit() and int(text) <= MAX_PORT):
        raise ValueError(f"port is not a number from 0 to {MAX_PORT}")
    return int(text)


def parse_name(text: str) -> str:
    """Return the name of a node, failure domain or region."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(
            "is not 1 to 63 letters, digits, '-' or '_', "
            "starting with a letter or digit"
        )
    return text


def parse_positive(text: str) -> float:
    """Return a finite number above 0."""
    number = parse_number(text)
    if number <= 0:
        raise ValueError("is not above 0")
    return number


def parse_distance(text: str) -> float:
    """Return a finite number of 0 or more."""
    number = parse_number(text)
    if number < 0:
        raise ValueError("is below 0")
    return number


def parse_number(text: str) -> float:
    """Return a finite number."""
    try:
        number = float(text)
    except ValueError:
        raise ValueError("is not a number") from None
    if not isfinite(number):
        raise ValueError("is not a finite number")
    return number


def parse_advertised_address(text: str) -> Address:
    """Return an address that the node can advertise to other nodes."""
    address = Address.parse(text)
    if ip_address(address.host).is_unspecified:
        raise ValueError("is announced to other nodes, so it must be specific")
    return address


def parse_loopback(text: str) -> Address:
    """Return a loopback address."""
    address = Address.parse(text)
    if not ip_address(address.host).is_loopback:
        raise ValueError("is not a loopback address")
    return address


def parse_seeds(text: str) -> tuple[Address, ...]:
    """Return comma-separated addresses; empty text gives none."""
    if not text:
        return ()
    return tuple(parse_seed(part.strip()) for part in text.split(","))


def parse_seed(text: str) -> Address:
    """Return the advertised address of a peer; port 0 is rejected."""
    try:
        address = parse_advertised_address(text)
    except ValueError as error:
        raise ValueError(f"seed {text!r}: {error}") from None
    if address.port == 0:
        raise ValueError(f"seed {text!r}: port 0 cannot be reached")
    return address


def parse_url(text: str) -> str:
    """Return an HTTP URL whose host is an IP address."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("is not an http or https URL")
    ip_address(parts.hostname)
    if parts.port == 0:
        raise ValueError("port 0 cannot be reached")
    return text.rstrip("/")


def parse_host(text: str) -> str | None:
    """Return an IP address; empty text gives None."""
    return str(ip_address(text)) if text else None


def parse_destination_port(text: str) -> int:
    """Return the port of a destination; port 0 is rejected."""
    port = parse_port(text)
    if port == 0:
        raise ValueError("port 0 cannot be reached")
    return port


def parse_prefix(text: str) -> str:
    """Return the first part of metric names, possibly empty."""
    if not PREFIX_PATTERN.fullmatch(text):
        raise ValueError("is not letters, digits, '.', '-' or '_'")
    return text.rstrip(".")


def parse_level(text: str) -> str:
    """Return the name of a log level in lower case."""
    if text.lower() not in LOG_LEVELS:
        raise ValueError(f"is not one of {', '.join(LOG_LEVELS)}")
    return text.lower()


def setting(parse: Callable[[str], Any], default: Any = MISSING) -> Any:
    """Return a dataclass field that is read from a key of the file.

    ``parse`` returns the value or raises a ValueError, whose text ends the
    message ``[section] key = 'text': ...``.
    """
    return field(default=default, metadata={"parse": parse})


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Section ``[node]``."""

    name: str = setting(parse_name)
    failure_domain: str = setting(parse_name)
    region: str = setting(parse_name)
    stop_timeout_seconds: float = setting(parse_positive, 30.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenSettings:
    """Section ``[listen]``: where the node accepts connections."""

    peers: Address = setting(parse_advertised_address)
    callers: Address = setting(Address.parse)
    backend: Address = setting(parse_loopback)
    control: Address = setting(Address.parse)


@dataclass(frozen=True, slots=True, kw_only=True)
class PeersSettings:
    """Section ``[peers]``: ``[listen] peers`` addresses of other nodes."""

    seeds: tuple[Address, ...] = setting(parse_seeds, ())


@dataclass(frozen=True, slots=True, kw_only=True)
class LogSettings:
    """Section ``[log]``: the platform's log service, not log messages."""

    url: str = setting(parse_url)
    retention_seconds: float = setting(parse_positive)


@dataclass(frozen=True, slots=True, kw_only=True)
class MetricsSettings:
    """Section ``[metrics]``: statsd server; without a host, none is used."""

    statsd_host: str | None = setting(parse_host, None)
    statsd_port: int = setting(parse_destination_port, 8125)
    prefix: str = setting(parse_prefix, "flamingosail")


@dataclass(frozen=True, slots=True, kw_only=True)
class LoggingSettings:
    """Section ``[logging]``: the lowest level of log messages."""

    level: str = setting(parse_level, "info")


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """Section ``[admission]``."""

    queue_delay_target_ms: float = setting(parse_positive, 20.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """Section ``[routing]``: added cost of calls to distant servers.

    A server in another region adds the region distance, one in another
    failure domain of the same region the failure domain distance. The
    defaults are the round-trip times of the deployments.
    """

    failure_domain_distance_ms: float = setting(parse_distance, 2.8)
    region_distance_ms: float = setting(parse_distance, 10.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of a node, with one field per section."""

    node: NodeSettings
    listen: ListenSettings
    peers: PeersSettings
    log: LogSettings
    metrics: MetricsSettings
    logging: LoggingSettings
    admission: AdmissionSettings
    routing: RoutingSettings


def read_settings(path: Path | str) -> Settings:
    """Return the settings in a file.

    :raises ExceptionGroup: with a SettingsError for each error.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise group_errors([SettingsError(f"{path}: {error}")]) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Return the settings in the text of an INI file.

    :raises ExceptionGroup: with a SettingsError for each error.
    """
    parser = parse_ini(text)
    known = {item.name: item.type for item in fields(Settings)}
    errors = [
        SettingsError(f"[{name}]: unknown section")
        for name in parser.sections()
        if name not in known
    ]
    sections = {
        name: parse_section(parser, name, section, errors)
        for name, section in known.items()
    }
    if errors:
        raise group_errors(errors)
    return Settings(**sections)


def parse_ini(text: str) -> ConfigParser:
    """Parse INI syntax; keys are case-sensitive and values are literal."""
    # A NUL cannot be a section name, so [DEFAULT] has no special meaning.
    parser = ConfigParser(interpolation=None, default_section="\0")
    parser.optionxform = str
    try:
        parser.read_string(text, source="settings")
    except ConfigError as error:
        raise group_errors([SettingsError(str(error))]) from error
    return parser


def parse_section(
    parser: ConfigParser,
    name: str,
    section: type,
    errors: list[SettingsError],
) -> Any:
    """Return one section, or None after adding its errors to ``errors``."""
    given = dict(parser[name]) if parser.has_section(name) else {}
    before = len(errors)
    values = {}
    for item in fields(section):
        if item.name in given:
            parse_key(name, item, given.pop(item.name), values, errors)
        elif item.default is MISSING:
            errors.append(
                SettingsError(f"[{name}] {item.name}: required key is missing")
            )
    for unknown, value in given.items():
        errors.append(
            SettingsError(f"[{name}] {unknown} = {value!r}: unknown key")
        )
    return section(**values) if len(errors) == before else None


def parse_key(
    section: str,
    item: Field,
    text: str,
    values: dict[str, Any],
    errors: list[SettingsError],
):
    """Add the value of one key to ``values``, or its error to ``errors``."""
    try:
        values[item.name] = item.metadata["parse"](text)
    except ValueError as error:
        errors.append(
            SettingsError(f"[{section}] {item.name} = {text!r}: {error}")
        )


def group_errors(errors: list[SettingsError]) -> ExceptionGroup:
    """Return an exception group of all errors in the settings."""
    return ExceptionGroup("invalid settings", errors)
