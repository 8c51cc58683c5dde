"""Parse and validate experiments and targets, which are TOML files."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from typing import Any, Final, TypeVar

import attrs
from expression import Error, Ok, Result

SIGNALS: Final = ("SIGTERM", "SIGKILL", "SIGSTOP", "SIGCONT")
CARRIERS: Final = ("attribute", "comment")
PRIMARY: Final = "primary"
"""Fault target: the primary at the time of the fault."""
PREVIOUS: Final = "previous"
"""Fault target: the member that the last `PRIMARY` fault selected."""
_TABLE_NAME: Final = re.compile(r"[a-z_][a-z0-9_]{0,40}", re.ASCII)

_T = TypeVar("_T")


@attrs.define(frozen=True)
class Problem:
    """One error in a TOML text.

    Parameters
    ----------
    path : str
        Path of the value, for example ``"organisations[2].limit_per_s"``.
    reason : str
        Why it is rejected.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


def _positive() -> Any:
    return attrs.field(metadata={"above": 0})


@attrs.define(frozen=True)
class OrganisationLoad:
    """The load that one organisation offers.

    Parameters
    ----------
    name : str
        The organisation, which is also the MySQL user.
    offered_per_s : float
        Statements that it sends per second.
    limit_per_s : float
        Its rate limit; 0 for none.
    burst : float
        Capacity of its token bucket, in statements.
    sessions : int
        Number of its connections.
    """

    name: str
    offered_per_s: float = _positive()
    limit_per_s: float = 0.0
    burst: float = 0.0
    sessions: int = attrs.field(default=2, metadata={"above": 0})


@attrs.define(frozen=True)
class Mix:
    """Relative frequency of each operation; `max_age_ms` applies to aged reads."""

    booking: float = 0.0
    status: float = 0.0
    aged: float = 0.0
    session_read: float = 0.0
    receipt: float = 0.0
    max_age_ms: int = attrs.field(default=2000, metadata={"above": 0})


@attrs.define(frozen=True)
class Overload:
    """A period in which one organisation sends a multiple of its load."""

    organisation: str
    factor: float = _positive()
    end_s: float = _positive()
    start_s: float = 0.0


@attrs.define(frozen=True)
class Roaming:
    """Sessions move to another address every `every_s` seconds; 0 disables moves.

    `carrier` says how the new connection sends the session token: as a connection
    attribute or in a statement comment.
    """

    every_s: float = 0.0
    carrier: str = "attribute"


@attrs.define(frozen=True)
class Fault:
    """A fault injected into a process or through a control port.

    Parameters
    ----------
    at_s : float
        Time from the start of the load, in seconds.
    target : str
        Name of the process or control port in the targets, or `PRIMARY` or
        `PREVIOUS`.
    body : dict
        JSON body of an HTTP POST to the control port.
    signal : str
        Signal to send to the process; empty for an HTTP POST.
    """

    at_s: float
    target: str
    body: dict[str, Any] = attrs.field(factory=dict)
    signal: str = ""


@attrs.define(frozen=True)
class Experiment:
    """A load and the faults injected during it."""

    name: str
    organisations: tuple[OrganisationLoad, ...]
    mix: Mix
    duration_s: float = _positive()
    database: str = ""
    booking_table: str = "bench_booking"
    receipt_table: str = "bench_receipt"
    seed: int = 1
    statement_timeout_s: float = attrs.field(default=10.0, metadata={"above": 0})
    receipt_attempts: int = attrs.field(default=3, metadata={"above": 0})
    queue_limit: int = attrs.field(default=2000, metadata={"above": 0})
    overloads: tuple[Overload, ...] = ()
    roaming: Roaming = attrs.field(factory=Roaming)
    faults: tuple[Fault, ...] = ()


@attrs.define(frozen=True)
class Targets:
    """Addresses, logins and processes of the deployment under test.

    Parameters
    ----------
    addresses : tuple of str
        MySQL addresses as ``host:port``.
    keys : dict
        Password of each organisation.
    default_key : str
        Password of organisations without an entry in `keys`.
    user : str
        MySQL user for all organisations; empty to use the organisation's name.
    database : str
        Overrides the database of the experiment.
    controls : dict
        URL of each control port by name.
    pids : dict
        Process ID of each process by name.
    measured_pids : tuple of int
        Processes whose CPU time is reported.
    idle_s : float
        Seconds before the load in which their idle CPU time is measured.
    dump : tuple of str
        Addresses of the database members, preferably the administrative ones. The
        rows are read from the primary among them.
    dump_names : tuple of str
        Name of each of these members in `controls` and `pids`.
    dump_user, dump_password, dump_database : str
        Login for the dump.
    metrics : tuple of str
        Metrics URLs of the proxies.
    reads_metric, reads_label : str
        Counter of reads, and its label with the value ``replica`` or ``primary``.
    """

    addresses: tuple[str, ...]
    keys: dict[str, str] = attrs.field(factory=dict)
    default_key: str = ""
    user: str = ""
    database: str = ""
    controls: dict[str, str] = attrs.field(factory=dict)
    pids: dict[str, int] = attrs.field(factory=dict)
    measured_pids: tuple[int, ...] = ()
    idle_s: float = 0.0
    dump: tuple[str, ...] = ()
    dump_names: tuple[str, ...] = ()
    dump_user: str = ""
    dump_password: str = ""
    dump_database: str = ""
    metrics: tuple[str, ...] = ()
    reads_metric: str = "radishtrack_reads_total"
    reads_label: str = "role"


def parse_experiment(text: str) -> Result[Experiment, tuple[Problem, ...]]:
    """Parse and validate an experiment.

    Parameters
    ----------
    text : str
        TOML text.

    Returns
    -------
    Result
        The experiment, or all its errors.
    """
    return _parse(Experiment, text, _iterate_experiment_problems)


def parse_targets(text: str) -> Result[Targets, tuple[Problem, ...]]:
    """Parse and validate the targets."""
    return _parse(Targets, text, _iterate_target_problems)


def _parse(kind: type[_T], text: str, check: Any) -> Result[_T, tuple[Problem, ...]]:
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error((Problem("text", str(error)),))
    problems: list[Problem] = []
    value = _read(kind, table, "", problems)
    if not problems:
        problems.extend(check(value))
    return Error(tuple(problems)) if problems else Ok(value)


def _read(kind: Any, table: Any, path: str, problems: list[Problem]) -> Any:
    if not isinstance(table, dict):
        problems.append(Problem(path, "must be a table"))
        return None
    attrs.resolve_types(kind)
    fields = {field.name: field for field in attrs.fields(kind)}
    prefix = f"{path}." if path else ""
    problems.extend(
        Problem(prefix + name, "unknown key") for name in table if name not in fields
    )
    values = {}
    for name, field in fields.items():
        if name in table:
            value = _read_value(field.type, table[name], prefix + name, problems)
            limit = field.metadata.get("above")
            if limit is not None and value is not None and not value > limit:
                problems.append(Problem(prefix + name, f"must be above {limit}"))
            values[name] = value
        elif field.default is attrs.NOTHING:
            problems.append(Problem(prefix + name, "missing"))
    return None if problems else kind(**values)


def _read_value(kind: Any, value: Any, path: str, problems: list[Problem]) -> Any:
    if attrs.has(kind):
        return _read(kind, value, path, problems)
    if getattr(kind, "__origin__", None) is tuple:
        if not isinstance(value, list):
            problems.append(Problem(path, "must be a list"))
            return None
        return tuple(
            _read_value(kind.__args__[0], item, f"{path}[{index}]", problems)
            for index, item in enumerate(value)
        )
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    expected = getattr(kind, "__origin__", kind)
    if not isinstance(value, expected) or isinstance(value, bool):
        problems.append(Problem(path, f"must be a {expected.__name__}"))
        return None
    return value


def _iterate_experiment_problems(experiment: Experiment) -> Iterator[Problem]:
    names = [organisation.name for organisation in experiment.organisations]
    if not names:
        yield Problem("organisations", "at least one is needed")
    if len(set(names)) < len(names):
        yield Problem("organisations", "duplicate name")
    for index, organisation in enumerate(experiment.organisations):
        if organisation.limit_per_s < 0 or organisation.burst < 0:
            yield Problem(f"organisations[{index}]", "limits must not be negative")
    mix = experiment.mix
    weights = (mix.booking, mix.status, mix.aged, mix.session_read, mix.receipt)
    if min(weights) < 0 or sum(weights) <= 0:
        yield Problem("mix", "weights must be non-negative, and at least one positive")
    for name in (experiment.booking_table, experiment.receipt_table):
        if not _TABLE_NAME.fullmatch(name):
            yield Problem("tables", f"{name!r} is not a valid table name")
    if experiment.booking_table == experiment.receipt_table:
        yield Problem("tables", "bookings and receipts must have different tables")
    for index, overload in enumerate(experiment.overloads):
        if overload.organisation not in names:
            yield Problem(f"overloads[{index}].organisation", "unknown organisation")
        if not 0 <= overload.start_s < overload.end_s <= experiment.duration_s:
            yield Problem(f"overloads[{index}]", "must lie within the duration")
    if experiment.roaming.every_s < 0 or experiment.roaming.carrier not in CARRIERS:
        yield Problem(
            "roaming", f"every_s must be at least 0 and carrier one of {CARRIERS}"
        )
    for index, fault in enumerate(experiment.faults):
        if not 0 <= fault.at_s <= experiment.duration_s:
            yield Problem(f"faults[{index}].at_s", "must lie within the duration")
        if fault.signal and (fault.signal not in SIGNALS or fault.body):
            yield Problem(
                f"faults[{index}]", f"must have either a body or one of {SIGNALS}"
            )


def _iterate_target_problems(targets: Targets) -> Iterator[Problem]:
    if not targets.addresses:
        yield Problem("addresses", "at least one is needed")
    for index, address in enumerate((*targets.addresses, *targets.dump)):
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            yield Problem(f"address {index}", "must be host:port")
    if targets.dump_names and len(targets.dump_names) != len(targets.dump):
        yield Problem("dump_names", "must name each member of dump")
    if targets.idle_s < 0:
        yield Problem("idle_s", "must not be negative")
    for name, pid in targets.pids.items():
        if pid <= 1:
            yield Problem(f"pids.{name}", "must be above 1")


def iterate_missing_targets(
    experiment: Experiment, targets: Targets
) -> Iterator[Problem]:
    """Yield a problem for each fault whose target is not in the targets."""
    for index, fault in enumerate(experiment.faults):
        available = targets.pids if fault.signal else targets.controls
        is_by_role = fault.target in (PRIMARY, PREVIOUS)
        required = targets.dump_names if is_by_role else (fault.target,)
        if not required or not set(required) <= set(available):
            yield Problem(f"faults[{index}].target", f"no target {fault.target!r}")
