"""Error catalogue, failures as return values, and exceptions that carry a failure."""

__all__ = [
    "FailureKind",
    "Failure",
    "BasilwinchError",
    "CallerError",
    "ConfigurationError",
    "DocumentError",
    "PlatformError",
    "ProtocolError",
    "ServerError",
    "catalogue",
]

_KINDS: dict[str, "FailureKind"] = {}


class FailureKind:
    """One entry of the error catalogue.

    :param code: stable machine-readable code
    :param status: HTTP status that a caller gets
    :param summary: one sentence for the catalogue and for callers
    :param retryable: whether the same call may succeed later without a change by the caller
    :raises ValueError: if another kind has the code

    >>> UNKNOWN_MODEL.because("no model 'x'").code
    'unknown_model'
    """

    __slots__ = ("code", "status", "summary", "retryable")

    def __init__(self, code: str, status: int, summary: str, retryable: bool = False):
        if code in _KINDS:
            raise ValueError(f"failure code {code!r} is already defined")
        self.code = code
        self.status = status
        self.summary = summary
        self.retryable = retryable
        _KINDS[code] = self

    def because(self, reason: str, retry_after: float | None = None, **detail) -> "Failure":
        """Return a failure of this kind.

        :param reason: human-readable description of what happened
        :param retry_after: seconds to wait before a retry, or None if unknown
        :param detail: further values for logs and callers, by name
        """
        return Failure(self, reason, retry_after, detail)

    def __repr__(self):
        return f"FailureKind({self.code!r})"


class Failure:
    """A falsy value that a function returns instead of its result.

    :param kind: entry of the error catalogue
    :param reason: human-readable description of what happened
    :param retry_after: seconds to wait before a retry, or None if unknown
    :param detail: further values for logs and callers, by name

    >>> bool(RATE_LIMITED.because("too fast", retry_after=0.5))
    False
    """

    __slots__ = ("kind", "reason", "retry_after", "detail")

    def __init__(
        self, kind: FailureKind, reason: str, retry_after: float | None = None, detail=None
    ):
        self.kind = kind
        self.reason = reason
        self.retry_after = retry_after
        self.detail = detail or {}

    @property
    def code(self) -> str:
        """The stable code of the kind."""
        return self.kind.code

    def to_dict(self) -> dict:
        """Return the JSON form for callers and for the command-line tool."""
        fields = {"code": self.code, "message": self.kind.summary, "reason": self.reason}
        if self.retry_after is not None:
            fields["retry_after"] = self.retry_after
        if self.detail:
            fields["detail"] = self.detail
        return fields

    def __bool__(self):
        return False

    def __repr__(self):
        return f"Failure({self.code}: {self.reason})"


class BasilwinchError(Exception):
    """Base class of all exceptions of this project; carries a :class:`Failure`.

    :param failure: the failure to carry
    """

    def __init__(self, failure: Failure):
        super().__init__(f"{failure.code}: {failure.reason}")
        self.failure = failure


class CallerError(BasilwinchError):
    """A caller sent a request that cannot be served."""


class ConfigurationError(BasilwinchError):
    """A setting or a release note is not valid."""


class DocumentError(BasilwinchError):
    """A document of another party is malformed."""


class PlatformError(BasilwinchError):
    """The platform refused a call or did not answer."""


class ProtocolError(BasilwinchError):
    """A peer sent a malformed message."""


class ServerError(BasilwinchError):
    """A backend server refused, died or did not answer."""


def catalogue() -> list[FailureKind]:
    """Return all failure kinds, ordered by code.

    :returns: the error catalogue
    """
    return [_KINDS[code] for code in sorted(_KINDS)]


# Callers.
MALFORMED_REQUEST = FailureKind("malformed_request", 400, "The request is not valid.")
BODY_TOO_LARGE = FailureKind("body_too_large", 413, "The request body is over the limit.")
REQUEST_TIMEOUT = FailureKind("request_timeout", 408, "The request body came too slowly.")
WRONG_KEY = FailureKind("wrong_key", 401, "The organisation key is missing or not known.")
NOT_FOUND = FailureKind("not_found", 404, "There is nothing under this path.")
UNKNOWN_MODEL = FailureKind("unknown_model", 404, "The model is not known.")
UNKNOWN_SERVICE = FailureKind("unknown_service", 404, "The service is not known.")
MODEL_NOT_ALLOWED = FailureKind(
    "model_not_allowed", 403, "The organisation may not use this model."
)

# Admission and routing.
RATE_LIMITED = FailureKind("rate_limited", 429, "The organisation is over its limit.", True)
QUEUE_FULL = FailureKind(
    "queue_full", 503, "The queue is full, or no capacity is expected to be free in time.", True
)
DEADLINE_UNREACHABLE = FailureKind(
    "deadline_unreachable", 503, "The answer would come after its deadline.", True
)
DEADLINE_EXCEEDED = FailureKind("deadline_exceeded", 504, "The deadline passed.", True)
NO_CHAIN = FailureKind("no_chain", 503, "No chain of servers holds every layer.", True)
BROKEN_CHAIN = FailureKind("broken_chain", 500, "The layer ranges have a gap or an overlap.")
NOT_READY = FailureKind("not_ready", 503, "The node is not ready.", True)
DRAINING = FailureKind("draining", 503, "The node is leaving.", True)
RETRIES_EXHAUSTED = FailureKind("retries_exhausted", 502, "Every attempt failed.", True)

REQUEST_QUARANTINED = FailureKind(
    "request_quarantined", 422, "The request is refused for a time because it crashed servers."
)
CRASH_SUSPECT = FailureKind(
    "crash_suspect",
    503,
    "The request, or a part of its prompt, may crash servers and is refused for a time.",
    True,
)

# Token frames.
WRONG_REQUEST = FailureKind("wrong_request", 502, "A frame belongs to another request.")
WRONG_ATTEMPT = FailureKind("wrong_attempt", 502, "A frame belongs to another attempt.")
WRONG_POSITION = FailureKind("wrong_position", 502, "A token is missing or doubled.")
WRONG_LAYERS = FailureKind("wrong_layers", 502, "Layers did not run exactly once and in order.")

# Servers.
STAGE_DIED = FailureKind("stage_died", 502, "A pipeline stage died.", True)
STREAM_LOST = FailureKind("stream_lost", 502, "The stream broke off.", True)
SERVER_REFUSED = FailureKind("server_refused", 502, "The server refused the call.", True)
SERVER_LEAVING = FailureKind("server_leaving", 503, "The server is leaving.", True)
SERVER_UNREACHABLE = FailureKind(
    "server_unreachable", 502, "No connection; the call was certainly not sent.", True
)
TUNNEL_UNAVAILABLE = FailureKind(
    "tunnel_unavailable", 503, "The node has lost its servers, and no other node carries.", True
)
NO_SERVER = FailureKind("no_server", 503, "No server of the service can take the request.", True)
NO_CONFIGURATION = FailureKind(
    "no_configuration",
    503,
    "No configuration has been read yet, and none came while the request was held (1 s at most).",
    True,
)
HISTORY_FORKED = FailureKind(
    "history_forked", 503, "The platform's store was restored from an older copy.", True
)
STALE_CONFIGURATION = FailureKind(
    "stale_configuration",
    503,
    "The configuration could not be confirmed lately, by the store or through another node.",
    True,
)
BUDGET_SPENT = FailureKind("budget_spent", 503, "The budget of repeats is spent.", True)
OUTCOME_UNKNOWN = FailureKind("outcome_unknown", 502, "The request may have run.")
FENCED = FailureKind("fenced", 409, "The fencing number is old.")

# Platform.
PLATFORM_UNAVAILABLE = FailureKind(
    "platform_unavailable", 503, "The platform did not take the call; it had no effect.", True
)
PLATFORM_AMBIGUOUS = FailureKind(
    "platform_ambiguous", 503, "The platform's answer was lost; the call may have had effect.", True
)
PLATFORM_REFUSED = FailureKind(
    "platform_refused", 500, "The platform refused the call as invalid; it had no effect."
)
HISTORY_COMPACTED = FailureKind(
    "history_compacted", 500, "The platform no longer keeps the events that a watch asked for."
)
LEASE_LOST = FailureKind("lease_lost", 409, "The lease is not held any more.")

# Documents of other parties: entries in the store, status reports.
MALFORMED_DOCUMENT = FailureKind("malformed_document", 502, "A document cannot be read.")
CONFIGURATION_INVALID = FailureKind(
    "configuration_invalid", 400, "The checks found errors in a configuration."
)

# Orders.
ORDER_NOT_CLAIMED = FailureKind(
    "order_not_claimed", 503, "The order was not run because its claim could not be written.", True
)
ORDER_ID_INVALID = FailureKind(
    "order_id_invalid", 400, "The order id is missing, too long or too old."
)
ORDER_MISMATCH = FailureKind(
    "order_mismatch", 422, "The order id was used before for a different call."
)
ORDER_NOT_SENT = FailureKind(
    "order_not_sent", 503, "The order was claimed but not sent; it was not run.", True
)

# Release notes.
NOTE_UNREADABLE = FailureKind("note_unreadable", 400, "The file of the note cannot be read.")
NOTE_SYNTAX = FailureKind("note_syntax", 400, "The note is not valid TOML in UTF-8.")
NOTE_UNKNOWN_TABLE = FailureKind("note_unknown_table", 400, "A table of the note is not known.")
NOTE_UNKNOWN_KEY = FailureKind("note_unknown_key", 400, "A key of the entry is not known.")
NOTE_MISSING_KEY = FailureKind("note_missing_key", 400, "The entry lacks a key.")
NOTE_WRONG_VALUE = FailureKind("note_wrong_value", 400, "A value of the entry is not valid.")
NOTE_WRONG_NAME = FailureKind("note_wrong_name", 400, "The name of the entry is not valid.")
NOTE_DUPLICATE = FailureKind("note_duplicate", 400, "The note names an entry twice.")
NOTE_CONFUSABLE = FailureKind("note_confusable", 400, "Two names look alike.")
NOTE_EXISTS = FailureKind("note_exists", 409, "An added entry exists already.")
NOTE_NOT_FOUND = FailureKind("note_not_found", 409, "A changed or withdrawn entry does not exist.")
NOTE_UNKNOWN_REFERENCE = FailureKind(
    "note_unknown_reference", 409, "The entry names another entry that does not exist."
)
NOTE_STILL_NEEDED = FailureKind("note_still_needed", 409, "A withdrawn entry is still needed.")
NOTE_NOT_UNIQUE = FailureKind("note_not_unique", 409, "Two entries share a value that must differ.")
NOTE_EMPTY = FailureKind("note_empty", 400, "The note changes nothing.")
NOTE_INVALID = FailureKind("note_invalid", 400, "The note has errors.")
NOTE_CONFLICT = FailureKind("note_conflict", 409, "Another note changed the same entries.")
NOTE_CONTENDED = FailureKind("note_contended", 503, "Other notes kept coming first.", True)
NOTE_UNSETTLED = FailureKind(
    "note_unsettled", 503, "Whether the note was accepted could not be found out yet.", True
)
UNKNOWN_REVISION = FailureKind("unknown_revision", 404, "The history does not hold the revision.")
RELEASE_MALFORMED = FailureKind("release_malformed", 502, "Stored or received state is malformed.")
RELEASE_GAP = FailureKind("release_gap", 409, "Changes between two revisions are missing.", True)
RELEASE_FORKED = FailureKind(
    "release_forked", 409, "A newer revision does not contain the one held."
)
NOT_IN_EFFECT = FailureKind("not_in_effect", 504, "Not every node holds the revision yet.", True)

# Placement.
TARGETS_CHANGED = FailureKind(
    "targets_changed", 409, "Another holder changed the placement targets.", True
)

# Usage reports.
MALFORMED_USAGE = FailureKind("malformed_usage", 400, "A usage report cannot be read.")

# Settings.
INVALID_SETTING = FailureKind("invalid_setting", 400, "A setting is not valid.")

# Scenarios.
SCENARIO_MALFORMED = FailureKind("scenario_malformed", 400, "The scenario cannot be read.")
EXPECTATION_FAILED = FailureKind("expectation_failed", 500, "The scenario expected otherwise.")
# Messages between nodes.
MALFORMED_PACKET = FailureKind("malformed_packet", 400, "A packet cannot be decoded.")
OVERSIZED_PACKET = FailureKind("oversized_packet", 400, "A packet is over the size limit.")
UNSUPPORTED_VERSION = FailureKind(
    "unsupported_version", 400, "A packet has another protocol version."
)
WRONG_CLUSTER = FailureKind("wrong_cluster", 400, "A packet belongs to another cluster.")
UNKNOWN_PACKET_KEY = FailureKind("unknown_packet_key", 400, "A packet is signed with no valid key.")
WRONG_MAC = FailureKind("wrong_mac", 400, "The MAC of a packet is not right.")
REPLAYED_PACKET = FailureKind("replayed_packet", 400, "A packet was seen before.")
STALE_SENDER = FailureKind("stale_sender", 400, "A packet is from a former process of its sender.")
WRONG_DESTINATION = FailureKind(
    "wrong_destination", 400, "A packet was meant for another process than this one."
)
UNKNOWN_PAYLOAD = FailureKind(
    "unknown_payload", 400, "A message carries a payload of no known kind."
)
PEER_UNREACHABLE = FailureKind("peer_unreachable", 502, "A peer does not answer a fetch.", True)
