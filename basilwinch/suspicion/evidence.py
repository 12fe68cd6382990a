"""Evidence against a request, or a part of its prompt, and its exchange between nodes."""

import enum
import hashlib
import json
import math
import zlib

from basilwinch.exception import MALFORMED_REQUEST, ProtocolError
from basilwinch.record import Record

__all__ = [
    "Evidence",
    "Loss",
    "Strike",
    "SuspectEntry",
    "digest_part",
    "digest_request",
    "is_part",
    "pack",
    "unpack",
]


# Enough for 64 suspects with three strikes each.
MAX_UNPACKED_BYTES = 1 << 16
# Values of a row; newer versions may add further ones after these.
_ENTRY_VALUES = 6
_STRIKE_VALUES = 7
_MAX_TEXT_CHARACTERS = 1024  # a stall names all servers of a chain, 32 at most
_MAX_STRIKES = 64  # kept per suspect; conviction needs three at most
_MIN_RESTART_S = 1.0  # a server that crashed is back after some seconds
_PART_PREFIX = "part:"
# Parts that always came together are all refused after this many events; with fewer, a request with
# only some of them can still tell them apart.
_AMBIGUOUS_EVENTS = 4


class Loss(enum.StrEnum):
    """How a server was lost while it ran a request.

    After ``DEATH`` it is gone; after ``STALL`` only the stream stopped.
    """

    DEATH = "death"
    STALL = "stall"


def digest_request(organisation: str, model: str, prompt: str) -> str:
    """Return a digest that identifies a request on all nodes, whatever its request id.

    >>> digest_request("a", "bc", "d") == digest_request("ab", "c", "d")
    False
    """
    parts = json.dumps([organisation, model, prompt]).encode()
    return hashlib.blake2b(parts, digest_size=16).hexdigest()


def digest_part(part: str) -> str:
    """Return the key of a part of a prompt; it differs from the digest of any request.

    >>> is_part(digest_part("5c1e07a2")), is_part(digest_request("a", "b", "c"))
    (True, False)
    """
    return _PART_PREFIX + part


def is_part(digest: str) -> bool:
    """Return whether a digest identifies a part of a prompt instead of a request."""
    return digest.startswith(_PART_PREFIX)


class Strike(Record):
    """Loss of one server, or for a stall of one stream, while it ran the request.

    The strikes of a request and of the parts of its prompt for one loss have the same id.

    :param id: id of the strike, unique in the fleet: name of the node and number
    :param server: name of the lost server; for a stall the names of all servers of the chain,
        joined
    :param loss: :class:`Loss`
    :param strong: whether the request had just started on the server, so that it is a likely cause
    :param isolated: whether the request ran in isolation; for a death also as the only isolated
        request on the server, for a stall also while no other request stalled recently; for a part
        whether the request was sent to try the part
    :param age_s: seconds between the loss and the export
    :param unknown: for a part, whether no request with it was known to have made progress
    """

    __slots__ = ("id", "server", "loss", "strong", "isolated", "age_s", "unknown")
    _defaults = {"unknown": False}

    @property
    def node(self) -> str:
        """Name of the node that saw the loss."""
        return self.id.rpartition("/")[0]


class SuspectEntry(Record):
    """What a node sends to other nodes about a suspect.

    :param digest: identity of the request
    :param strikes: tuple of :class:`Strike`
    :param cleared: ids of the strikes that no longer count, because the request finished later or
        many servers were lost at once
    :param left_s: seconds until the entry expires
    :param tests: tuple of (node, number, seconds left, servers) for the last isolation on each
        node; 0 seconds left means that it has ended
    :param vouched: for a part, whether a node knows a request with it that made progress before the
        strikes
    """

    __slots__ = ("digest", "strikes", "cleared", "left_s", "tests", "vouched")
    _defaults = {"cleared": (), "tests": (), "vouched": False}

    @property
    def isolating_node(self) -> str:
        """Name of the node that runs the request in isolation now, or an empty string."""
        return min((node for node, _, left_s, _ in self.tests if left_s > 0), default="")


def pack(entries: list[SuspectEntry]) -> bytes:
    """Return entries as compressed bytes, about 150 per entry with one strike.

    An empty list gives empty bytes.
    """
    if not entries:
        return b""
    rows = [
        [
            (
                [
                    [s.id, s.server, s.loss, s.strong, s.isolated, round(s.age_s, 3), s.unknown]
                    for s in value
                ]
                if name == "strikes"
                else value
            )
            for name, value in entry.to_dict().items()
        ]
        for entry in entries
    ]
    text = json.dumps(rows, separators=(",", ":"), ensure_ascii=False)
    return zlib.compress(text.encode(), 9)


def unpack(data: bytes) -> list[SuspectEntry]:
    """Return the entries that :func:`pack` wrote.

    :raises ProtocolError: on malformed bytes
    """
    try:
        return [_read_entry(*row[:_ENTRY_VALUES]) for row in _decompress(data)]
    except (ValueError, TypeError, OverflowError, RecursionError, zlib.error) as error:
        failure = MALFORMED_REQUEST.because(f"suspect entries cannot be read: {error}")
        raise ProtocolError(failure) from error


def _read_entry(digest, strikes, cleared, left_s, tests, vouched=False) -> SuspectEntry:
    """Return an entry from the values of its row; nodes of older versions send no last value."""
    return SuspectEntry(
        _read_text(digest),
        tuple(_read_strike(*row[:_STRIKE_VALUES]) for row in strikes),
        tuple(map(_read_text, cleared)),
        _read_seconds(left_s),
        tuple(
            (_read_text(node), int(number), _read_seconds(left), tuple(map(_read_text, servers)))
            for node, number, left, servers, *_ in tests
        ),
        bool(vouched),
    )


def _read_strike(id, server, loss, strong, isolated, age_s, unknown=False) -> Strike:
    seconds = _read_seconds(age_s)
    return Strike(
        _read_text(id),
        _read_text(server),
        Loss(loss),
        bool(strong),
        bool(isolated),
        seconds,
        bool(unknown),
    )


def _read_text(value) -> str:
    """Return a name or digest.

    :raises ValueError: if it is too long to be kept
    """
    text = str(value)
    if len(text) > _MAX_TEXT_CHARACTERS:
        raise ValueError(f"name has {len(text)} characters, at most {_MAX_TEXT_CHARACTERS} allowed")
    return text


def _read_seconds(value) -> float:
    """Return a duration; a negative one becomes 0.

    :raises ValueError: if it is not a finite number
    """
    seconds = float(value)
    if not math.isfinite(seconds):
        raise ValueError(f"expected a finite number of seconds, got {value!r}")
    return max(0.0, seconds)


def _decompress(data: bytes) -> list:
    """Decompress and parse entries; a size limit guards against decompression bombs.

    :raises ValueError: on truncated, oversized or malformed data
    """
    if not data:
        return []
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"data is truncated or exceeds {MAX_UNPACKED_BYTES} bytes after decompression"
        )
    return json.loads(text)


class Evidence:
    """What a node knows about one suspect. Times are in seconds of the local clock.

    Strikes and cleared ids are sets that only grow until the evidence expires, so merging is
    commutative and idempotent.

    :param until: time of expiry
    :param event_s: strikes within this time are one event
    """

    __slots__ = (
        "event_s",
        "stored_until",
        "strikes",
        "cleared",
        "until",
        "tests",
        "convicted_at",
        "vouched",
        "sources",
    )

    def __init__(self, until: float, event_s: float = 0.0):
        self.event_s = event_s
        self.strikes: dict[str, tuple[Strike, float]] = {}
        self.cleared: set[str] = set()
        self.until = until
        #: Last isolation on each node: its number, its latest end, and its servers.
        self.tests: dict[str, tuple[int, float, tuple[str, ...]]] = {}
        self.convicted_at: float | None = None
        #: For a part, whether a node knows a request with it that made progress before the strikes.
        self.vouched = False
        #: Time until which a conviction in the store applies.
        self.stored_until = -math.inf
        #: For a part, the request of each strike that speaks against the part, by id of the strike.
        self.sources: dict[str, str] = {}

    def active_strike_span_s(self) -> float:
        """Return the seconds between the first and the last active strike."""
        times = self._active_times()
        return max(times) - min(times) if times else 0.0

    def severity(self) -> tuple:
        """Return a key that orders suspects by how much the other nodes need to know of them."""
        active = self.active_strikes()
        strong = sum(strike.strong for strike in active)
        return self.convicted_at is not None, len(self.open_strikes()), strong, len(active)

    def active_strikes(self) -> list[Strike]:
        """Return the strikes that are not cleared."""
        return [strike for id, (strike, _) in self.strikes.items() if id not in self.cleared]

    def needs_isolation(self, resent: bool) -> bool:
        """Return whether the next attempt must be isolated.

        One weak strike does not isolate a retry: in a batch of 30, 29 requests did not cause the
        crash. It does isolate a request that its caller sent again, because its earlier run did not
        finish.

        :param resent: whether this is the first attempt of a run, i.e. the caller has sent the
            request again
        """
        active = self.active_strikes()
        return len(active) >= 2 or any(s.strong for s in active) or bool(active and resent)

    def open_strikes(self) -> list[tuple[Strike, float]]:
        """Return the attributed strikes against an unknown part, with their times.

        There are none once a node vouches for the part.
        """
        if self.vouched:
            return []
        return [
            (strike, self.strikes[strike.id][1])
            for strike in self.attributed_strikes()
            if strike.unknown
        ]

    def attributed_strikes(self) -> list[Strike]:
        """Return the active strikes against a part that no convicted request explains."""
        return [strike for strike in self.active_strikes() if strike.id in self.sources]

    def is_part_convicted(self, ambiguous: bool) -> bool:
        """Return whether the evidence suffices to refuse all requests with the part.

        Counted are only events with different requests, as one request that crashes several servers
        explains that by itself; see :func:`~basilwinch.suspicion.part.attribute_strikes`.

        Requests that make progress clear the strikes of their parts, so a harmless part that is in
        use keeps none for long. It takes three events, or two if the part was unknown or on trial.

        :param ambiguous: whether another part explains the same events as well
        """
        active = self.attributed_strikes()
        events = self._count_independent_events(active)
        if ambiguous:
            return events >= _AMBIGUOUS_EVENTS
        tried = any(strike.isolated for strike in active)
        open_strikes = [strike for strike, _ in self.open_strikes()]
        return (
            events >= 3
            or (tried and events >= 2)
            or self._count_independent_events(open_strikes) >= 2
        )

    def _count_independent_events(self, strikes) -> int:
        """Return the number of events, at most the number of requests that were lost in them."""
        requests = {self.sources[strike.id] for strike in strikes}
        return min(len(requests), self._count_events(strikes))

    def lost_servers(self) -> set[str]:
        """Return the servers of the attributed strikes."""
        return {strike.server for strike in self.attributed_strikes()}

    def _count_events(self, strikes) -> int:
        """Return the number of events at which strikes occurred.

        Strikes for one server within the time in which it can't be back are one event, too.
        """
        count, event_at = 0, -math.inf
        lost_at: dict[str, float] = {}
        for at, server in sorted((self.strikes[s.id][1], s.server) for s in strikes):
            is_new_loss = at - lost_at.get(server, -math.inf) > _MIN_RESTART_S
            lost_at[server] = at
            if is_new_loss and at - event_at > self.event_s:
                count, event_at = count + 1, at
        return count

    def _active_times(self) -> list[float]:
        return [at for id, (_, at) in self.strikes.items() if id not in self.cleared]

    def is_convicted(self, conviction_deaths: int = 3) -> bool:
        """Return whether the evidence suffices to refuse the request.

        It does after ``conviction_deaths``, or after two of which one was in isolation. A stall may
        be congestion, so with stalls it takes three strikes, at least one of them in isolation.
        """
        active = self.active_strikes()
        deaths = self._count_events(s for s in active if s.loss is Loss.DEATH)
        if deaths >= conviction_deaths:
            return True
        isolated_strikes = [strike for strike in active if strike.isolated]
        if deaths >= 2 and any(strike.loss is Loss.DEATH for strike in isolated_strikes):
            return True
        return len(active) >= 3 and bool(isolated_strikes)

    def merge(self, entry: SuspectEntry, now: float) -> None:
        """Merge an entry of another node."""
        for strike in entry.strikes:
            if strike.id in self.strikes or len(self.strikes) < _MAX_STRIKES:
                self.strikes.setdefault(strike.id, (strike, now - strike.age_s))
        self.vouched = self.vouched or entry.vouched
        self.cleared.update(id for id in entry.cleared if id in self.strikes)
        self.until = max(self.until, now + entry.left_s)
        for node, number, left_s, servers in entry.tests:
            known, until, _ = self.tests.get(node, (0, 0.0, ()))
            ends_at = now + left_s if left_s > 0 else 0.0
            if number > known:
                self.tests[node] = (number, ends_at, servers)
            elif number == known:
                # The earlier end is right, as other nodes may relay outdated entries.
                self.tests[node] = (number, min(until, ends_at), servers)

    def isolating_node(self, now: float) -> str:
        """Return the node that runs the request in isolation now, or an empty string.

        If two nodes claimed it at the same time, the one whose name sorts first keeps it.
        """
        return min((node for node, test in self.tests.items() if now < test[1]), default="")

    def begin_isolation(self, node: str, until: float, servers: tuple[str, ...] = ()) -> None:
        """Record that a node claims or starts an isolated attempt."""
        number = self.tests.get(node, (0, 0.0, ()))[0] + 1
        self.tests[node] = (number, until, servers)

    def end_isolation(self, node: str) -> None:
        """Record that the isolation on a node has ended."""
        self.tests[node] = (self.tests[node][0], 0.0, ())

    def to_entry(self, digest: str, now: float) -> SuspectEntry:
        """Return the entry to send to other nodes."""
        strikes = tuple(strike.replace(age_s=now - at) for strike, at in self.strikes.values())
        tests = tuple(
            (node, number, max(0.0, until - now), servers)
            for node, (number, until, servers) in self.tests.items()
        )
        cleared = tuple(sorted(self.cleared))
        return SuspectEntry(digest, strikes, cleared, self.until - now, tests, self.vouched)
