"""Numbered log events; `docs/events.md` is their catalogue."""

from __future__ import annotations

import enum
import json
from collections.abc import Callable

from absl import logging


class Event(enum.Enum):
    """A log event: its number, severity and text."""

    NODE_STARTED = (1001, "info", "node started")
    NODE_DRAINING = (1002, "info", "node stops accepting work and finishes requests")
    NODE_STOPPED = (1003, "info", "node stopped")
    CLIENT_REFUSED = (2001, "warning", "client connection refused")
    KEY_REVOKED = (2002, "info", "connections of a revoked key closed")
    KEYS_REFUSED = (2003, "warning", "keys may be out of date; requests refused")
    KEYS_ACCEPTED = (2004, "info", "keys are recent enough again; requests served")
    STATEMENT_FINISHED = (2005, "info", "statement finished")
    LINES_SUPPRESSED = (2006, "warning", "log lines suppressed to bound the volume")
    CLIENT_MALFORMED = (2007, "warning", "client broke the protocol")
    WORK_DISPLACED = (2008, "info", "waiting work displaced by more urgent work")
    MEMBER_UNREACHABLE = (3001, "warning", "member does not answer status polls")
    MEMBER_REACHABLE = (3002, "info", "member answers status polls again")
    PRIMARY_SUSPECTED = (3003, "warning", "primary suspected; votes requested")
    PROMOTION_STARTED = (3004, "warning", "promotion attempt started")
    PROMOTION_WON = (3005, "warning", "promotion recorded by the platform")
    PROMOTION_LOST = (3006, "info", "another promotion was recorded first")
    PROMOTION_FAILED = (3007, "warning", "promotion attempt failed")
    SWITCHOVER_STARTED = (3009, "info", "leaving primary hands over")
    PRIMARY_KNOWN = (3010, "info", "primary or term of a group changed")
    PROMOTION_ORDERED = (3011, "warning", "promotion ordered at the platform")
    MEMBER_REPORT_INVALID = (3012, "warning", "member gives no status report")
    MEMBER_REMOVED = (3013, "info", "member that is no longer listed was removed")
    PROMOTION_WITHHELD = (
        3014,
        "warning",
        "no promotion; members that may alone hold acknowledged commits are missing",
    )
    MEMBER_CAPACITY_CHANGED = (3015, "info", "learned capacity of a member changed")
    EVACUATION_STARTED = (3016, "warning", "availability zone is being evacuated")
    EVACUATION_ENDED = (3017, "info", "evacuation of an availability zone ended")
    REPLICA_SET_CHANGED = (3018, "info", "replica set of a group recorded")
    PROMOTION_DECIDED = (
        3019,
        "warning",
        "members and commits that a promotion has counted",
    )
    MEMBER_ENDED = (3020, "info", "member's process was taken for ended")
    EVIDENCE_WITHDRAWN = (3021, "info", "nodes asked to withdraw their evidence")
    MEMBER_FOLLOWS = (3008, "info", "member told to follow the primary")
    RATES_HELD = (4004, "info", "node holds the organisations' rates")
    LISTING_INVALID = (4003, "warning", "entry in the platform's store is not usable")
    PLATFORM_UNAVAILABLE = (4001, "warning", "platform does not answer")
    PLATFORM_AVAILABLE = (4002, "info", "platform answers again")
    STORE_RESTORED = (4005, "warning", "platform's store came back from an older copy")
    COPY_READ = (4006, "info", "copy of the store compared with the store")
    CONFIRMATION_DROPPED = (
        4007,
        "warning",
        "peer's confirmation is older than the copy",
    )
    RECORD_RESTORED = (4008, "warning", "record that the store has lost written again")
    CONTENT_MISSED = (4009, "warning", "peer gave no changed content of the store")
    CONTENT_TAKEN = (4010, "info", "changed content of the store taken from a peer")
    NODE_REMOVED = (1006, "warning", "record of a silent node removed")
    SETTINGS_READ = (1004, "info", "settings file read")
    SETTINGS_INVALID = (1005, "error", "settings file can not be used")
    CONFIGURATION_ACCEPTED = (5001, "info", "configuration revision in force")
    CONFIGURATION_REJECTED = (5002, "error", "configuration revision rejected")
    CONFIGURATION_COPIED = (5003, "warning", "configuration taken from peers")
    TASK_FAILED = (1090, "error", "task failed; node stops")
    BACKGROUND_FAILED = (1091, "error", "background task failed")
    LEASE_RECORD_INVALID = (4090, "error", "lease record can not be read")
    GROUP_RECORD_INVALID = (3090, "error", "group record can not be read")
    PEER_REFUSED = (6001, "warning", "peer connection refused")
    PEER_LOST = (6002, "warning", "peer connection lost")
    COPY_REJECTED = (6003, "warning", "copy from a peer is not authentic")
    ADMIN_STARTED = (7001, "info", "metrics and health endpoints listen")

    @property
    def number(self) -> int:
        """The number that identifies the event in logs and in the catalogue."""
        return self.value[0]

    @property
    def severity(self) -> str:
        """The log level: info, warning or error."""
        return self.value[1]

    @property
    def text(self) -> str:
        """The description of the event in one clause."""
        return self.value[2]


_as_json = False

_LOG_FUNCTIONS: dict[str, Callable[..., None]] = {
    "info": logging.info,
    "warning": logging.warning,
    "error": logging.error,
}


def use_json_lines(enabled: bool) -> None:
    """Choose JSON lines or text lines for all events that follow."""
    global _as_json
    _as_json = enabled


def log_event(event: Event, **fields: object) -> None:
    """Log an event with its fields, which must not contain secrets."""
    write = _LOG_FUNCTIONS[event.severity]
    if _as_json:
        record = {"event": event.number, "text": event.text, **fields}
        write("%s", json.dumps(record, default=str))
        return
    details = " ".join(f"{name}={value}" for name, value in fields.items())
    write("R%d %s %s", event.number, event.text, details)
