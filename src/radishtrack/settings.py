"""Settings of a node's process, read from a TOML file and validated as a whole."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Final

import attrs
from expression import Error, Ok, Result

from radishtrack._validation import MISSING, REDACTED, Problem, TableReader

MAX_PORT: Final = 65_535
MIN_SECRET_CHARACTERS: Final = 16
MAX_STATEMENT_BYTES: Final = 16 * 1024 * 1024
MAX_CLIENT_CONNECTIONS: Final = 1_000_000
MAX_DURATION_MS: Final = 3_600_000

LOG_FORMATS: Final = ("text", "json")


@attrs.define(frozen=True)
class Address:
    """Host and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.define(frozen=True)
class NodeSettings:
    """Identity and location of the node."""

    id: str
    zone: str
    region: str


@attrs.define(frozen=True)
class ListenSettings:
    """Addresses that the node listens on; port 0 lets the system choose a port."""

    client_host: str
    client_port: int
    peer_host: str
    peer_port: int
    admin_host: str
    admin_port: int
    tls_certificate: str
    """Path of a PEM file; empty without TLS."""
    tls_key: str
    """Path of a PEM file; empty without TLS."""


@attrs.define(frozen=True)
class PlatformSettings:
    """Base URL of the platform's object API."""

    url: str


@attrs.define(frozen=True)
class PeerSettings:
    """Addresses and credentials for connections between nodes."""

    secret: str = attrs.field(repr=False)
    seeds: tuple[Address, ...]
    tls_ca: str
    """Path of a PEM file; empty if connections to peers do not use TLS."""


@attrs.define(frozen=True)
class DatabaseLogin:
    """The proxy's own login at the members, which never receive clients' keys."""

    user: str
    password: str = attrs.field(repr=False)


@attrs.define(frozen=True)
class LimitSettings:
    """Limits of the process."""

    max_statement_bytes: int = 1024 * 1024
    max_client_connections: int = 10_000
    request_timeout_ms: int = 5_000
    drain_timeout_ms: int = 30_000
    idle_transaction_ms: int = 60_000


@attrs.define(frozen=True)
class LogSettings:
    """Format of the log lines on standard error: ``"text"`` or ``"json"``."""

    format: str = "text"


@attrs.define(frozen=True)
class Settings:
    """All settings of a node's process."""

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    database_login: DatabaseLogin
    limits: LimitSettings
    log: LogSettings


@attrs.define(frozen=True)
class SettingsError:
    """An invalid or missing setting.

    Parameters
    ----------
    file : str
        The settings file.
    key : str
        The setting in dotted form; empty if the error concerns the whole file.
    expected : str
        Description of valid values.
    found : str
        Description of the value in the file; never contains a secret.
    """

    file: str
    key: str
    expected: str
    found: str

    def __str__(self) -> str:
        location = f"{self.file}: {self.key}" if self.key else self.file
        return f"{location}: expected {self.expected}, found {self.found}"


SettingsResult = Result[Settings, tuple[SettingsError, ...]]


def load_settings(path: str | Path) -> SettingsResult:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or Path
        A TOML file.

    Returns
    -------
    Result
        The settings, or all errors in the file.
    """
    file = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error((SettingsError(file, "", "a readable text file", str(error)),))
    return parse_settings(text, file)


def parse_settings(text: str, file: str) -> SettingsResult:
    """Parse and validate the text of a settings file; `file` is its name in errors."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error((SettingsError(file, "", "TOML", str(error)),))
    problems: list[Problem] = []
    settings = _read_settings(TableReader(document, (), problems), Path(file).parent)
    if problems:
        return Error(
            tuple(
                SettingsError(file, problem.key, problem.expected, problem.found)
                for problem in problems
            )
        )
    return Ok(settings)


def parse_address(text: str) -> Address | None:
    """Return the address in a text ``host:port``, or None if it is malformed."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isascii() or not port.isdigit():
        return None
    if not 0 < int(port) <= MAX_PORT:
        return None
    return Address(host.removeprefix("[").removesuffix("]"), int(port))


def _read_settings(root: TableReader, directory: Path) -> Settings:
    settings = Settings(
        node=_read_node(root.read_table("node")),
        listen=_read_listen(root.read_table("listen")),
        platform=_read_platform(root.read_table("platform")),
        peers=_read_peers(root.read_table("peers"), directory),
        database_login=_read_login(root.read_table("database_login")),
        limits=_read_limits(root.read_table("limits", required=False)),
        log=_read_log(root.read_table("log", required=False)),
    )
    root.reject_unknown_keys()
    return settings


def _read_node(table: TableReader) -> NodeSettings:
    node = NodeSettings(
        table.read_text("id"), table.read_text("zone"), table.read_text("region")
    )
    table.reject_unknown_keys()
    return node


def _read_listen(table: TableReader) -> ListenSettings:
    listen = ListenSettings(
        client_host=table.read_text("client_host"),
        client_port=table.read_integer("client_port", low=0, high=MAX_PORT),
        peer_host=table.read_text("peer_host"),
        peer_port=table.read_integer("peer_port", low=0, high=MAX_PORT),
        admin_host=table.read_text("admin_host"),
        admin_port=table.read_integer("admin_port", low=0, high=MAX_PORT),
        tls_certificate=table.read_text("tls_certificate", ""),
        tls_key=table.read_text("tls_key", ""),
    )
    if bool(listen.tls_certificate) != bool(listen.tls_key):
        missing_key = "tls_key" if listen.tls_certificate else "tls_certificate"
        table.add_problem(missing_key, "tls_certificate and tls_key together", MISSING)
    table.reject_unknown_keys()
    return listen


def _read_platform(table: TableReader) -> PlatformSettings:
    url = table.read_matching(
        "url",
        "a URL that begins with http:// or https://",
        lambda text: text.startswith(("http://", "https://")),
    )
    table.reject_unknown_keys()
    return PlatformSettings(url.rstrip("/"))


def _read_peers(table: TableReader, directory: Path) -> PeerSettings:
    secret = _read_secret(table, directory)
    seeds = []
    for text in table.read_texts("seeds", ()):
        address = parse_address(text)
        if address is None:
            table.add_problem("seeds", "addresses of the form host:port", repr(text))
        else:
            seeds.append(address)
    tls_ca = table.read_text("tls_ca", "")
    table.reject_unknown_keys()
    return PeerSettings(secret, tuple(seeds), tls_ca)


def _read_secret(table: TableReader, directory: Path) -> str:
    secret = table.read_text("secret", "", secret=True)
    secret_file = table.read_text("secret_file", "")
    if bool(secret) == bool(secret_file):
        found = "both" if secret else MISSING
        table.add_problem("secret", "either secret or secret_file", found)
        return ""
    key = "secret"
    if secret_file:
        key = "secret_file"
        try:
            secret = (directory / secret_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            table.add_problem(key, "a readable text file", str(error))
            return ""
    if len(secret) < MIN_SECRET_CHARACTERS:
        expected = f"a secret of at least {MIN_SECRET_CHARACTERS} characters"
        table.add_problem(key, expected, f"{len(secret)} characters")
    return secret


def _read_login(table: TableReader) -> DatabaseLogin:
    user = table.read_text("user")
    password = table.table.get("password")
    table.known_keys.append("password")
    if not isinstance(password, str):
        found = MISSING if password is None else REDACTED
        table.add_problem("password", "text, which may be empty", found)
    table.reject_unknown_keys()
    return DatabaseLogin(user, str(password))


def _read_limits(table: TableReader) -> LimitSettings:
    default = LimitSettings()
    limits = LimitSettings(
        max_statement_bytes=table.read_integer(
            "max_statement_bytes",
            default.max_statement_bytes,
            low=1024,
            high=MAX_STATEMENT_BYTES,
        ),
        max_client_connections=table.read_integer(
            "max_client_connections",
            default.max_client_connections,
            low=1,
            high=MAX_CLIENT_CONNECTIONS,
        ),
        request_timeout_ms=_read_duration(
            table, "request_timeout_ms", default.request_timeout_ms
        ),
        drain_timeout_ms=_read_duration(
            table, "drain_timeout_ms", default.drain_timeout_ms
        ),
        idle_transaction_ms=_read_duration(
            table, "idle_transaction_ms", default.idle_transaction_ms
        ),
    )
    table.reject_unknown_keys()
    return limits


def _read_duration(table: TableReader, key: str, default_ms: int) -> int:
    return table.read_integer(key, default_ms, low=1, high=MAX_DURATION_MS)


def _read_log(table: TableReader) -> LogSettings:
    log = LogSettings(table.read_choice("format", LOG_FORMATS, "text"))
    table.reject_unknown_keys()
    return log
