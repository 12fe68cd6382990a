"""Evidence against a request that may crash servers, and its exchange between nodes."""

import enum
import hashlib
import json
import zlib

from basilwinch.exception import MALFORMED_REQUEST, ProtocolError
from basilwinch.record import Record

__all__ = ["Evidence", "Loss", "Strike", "SuspectEntry", "digest_request", "pack", "unpack"]


# Entries of 64 suspects with three strikes each stay below this.
MAX_TEXT_BYTES = 1 << 16


class Loss(enum.StrEnum):
    """How a server was lost while it ran a request."""

    DEATH = "death"
    STALL = "stall"


def digest_request(organisation: str, model: str, prompt: str) -> str:
    """Return the identity of a request across nodes, attempts and request ids.

    >>> digest_request("a", "bc", "d") == digest_request("ab", "c", "d")
    False
    """
    parts = json.dumps([organisation, model, prompt]).encode()
    return hashlib.blake2b(parts, digest_size=16).hexdigest()


class Strike(Record):
    """One loss of a server that ran the request.

    :param id: unique in the fleet: node and number
    :param server: server lost; for a stall the chain's servers, joined
    :param loss: :class:`Loss`
    :param strong: whether the request had just started there, so that it is a likely cause
    :param isolated: whether it ran there in isolation, and no other isolated request did
    :param age_s: seconds since the loss, at the time of the export
    """

    __slots__ = ("id", "server", "loss", "strong", "isolated", "age_s")


class SuspectEntry(Record):
    """What a node tells others about a suspect.

    :param digest: identity of the request
    :param strikes: tuple of :class:`Strike`
    :param cleared: ids of the strikes that the request did not cause
    :param left_s: seconds until the entry expires
    :param tests: tuple of (node, number, seconds left, servers), the last isolated run of each
        node; no seconds are left of one that has ended
    """

    __slots__ = ("digest", "strikes", "cleared", "left_s", "tests")
    _defaults = {"cleared": (), "tests": ()}

    @property
    def tester(self) -> str:
        """Name of the node that runs it in isolation now, or an empty string."""
        return min((node for node, _, left_s, _ in self.tests if left_s > 0), default="")


def pack(entries: list[SuspectEntry]) -> bytes:
    """Return entries as compressed bytes, about 150 for an entry with one strike.

    An empty list gives no bytes.
    """
    if not entries:
        return b""
    rows = [
        [
            (
                [[s.id, s.server, s.loss, s.strong, s.isolated, round(s.age_s, 3)] for s in value]
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
        entries = []
        for digest, strikes, cleared, left_s, tests in _load(data):
            strikes = tuple(
                Strike(str(i), str(s), Loss(k), bool(g), bool(o), max(0.0, float(a)))
                for i, s, k, g, o, a in strikes
            )
            entries.append(
                SuspectEntry(
                    str(digest),
                    strikes,
                    tuple(map(str, cleared)),
                    float(left_s),
                    tuple(
                        (str(node), int(number), float(left), tuple(map(str, servers)))
                        for node, number, left, servers in tests
                    ),
                )
            )
    except (ValueError, TypeError, zlib.error) as error:
        failure = MALFORMED_REQUEST.because(f"suspect entries cannot be read: {error}")
        raise ProtocolError(failure) from error
    return entries


def _load(data: bytes) -> list:
    """Decompress and parse; the limit keeps a small packet from filling the memory."""
    if not data:
        return []
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_TEXT_BYTES)
    if not decompressor.eof:
        raise ValueError("too long or cut off")
    return json.loads(text)


class Evidence:
    """All that a node knows about one suspect. Times are local seconds.

    Strikes and clearances are sets that only grow until the record expires, so records merge in any
    order and any number of times to the same state.

    :param until: time of expiry
    """

    __slots__ = ("strikes", "cleared", "until", "tests", "convicted_at")

    def __init__(self, until: float):
        self.strikes: dict[str, tuple[Strike, float]] = {}
        self.cleared: set[str] = set()
        self.until = until
        #: Last isolated run of each node: its number, when it ends at the latest, its servers.
        self.tests: dict[str, tuple[int, float, tuple[str, ...]]] = {}
        self.convicted_at: float | None = None

    def spans(self) -> float:
        """Return the seconds between the first and the last strike that is not cleared."""
        times = [at for id, (_, at) in self.strikes.items() if id not in self.cleared]
        return max(times) - min(times) if times else 0.0

    def weight(self) -> tuple[int, int]:
        """Return how much speaks against the request: strong strikes, then all strikes."""
        active = self.active()
        return sum(strike.strong for strike in active), len(active)

    def active(self) -> list[Strike]:
        """Return the strikes that are not cleared."""
        return [strike for id, (strike, _) in self.strikes.items() if id not in self.cleared]

    def needs_isolation(self, resent: bool) -> bool:
        """Return whether the next run must be isolated.

        One weak strike is not enough for a retry: in a batch of 30, 29 are innocent. A request that
        was sent again with a strike on it is isolated, because its first run was not retried to the
        end.
        """
        active = self.active()
        return len(active) >= 2 or any(s.strong for s in active) or bool(active and resent)

    def is_convicted(self) -> bool:
        """Return whether the request is held to crash servers.

        Either a server died while it ran there alone and one more died before, or three died. A
        stall may be congestion, so it convicts only as the third strike and in isolation.
        """
        active = self.active()
        deaths = sum(strike.loss is Loss.DEATH for strike in active)
        if deaths >= 3:
            return True
        alone = [strike for strike in active if strike.isolated]
        if deaths >= 2 and any(strike.loss is Loss.DEATH for strike in alone):
            return True
        return len(active) >= 3 and bool(alone)

    def merge(self, entry: SuspectEntry, now: float) -> None:
        """Take over what another node knows."""
        for strike in entry.strikes:
            self.strikes.setdefault(strike.id, (strike, now - strike.age_s))
        self.cleared.update(entry.cleared)
        self.until = max(self.until, now + entry.left_s)
        for node, number, left_s, servers in entry.tests:
            known, until, _ = self.tests.get(node, (0, 0.0, ()))
            ends = now + left_s if left_s > 0 else 0.0
            if number > known:
                self.tests[node] = (number, ends, servers)
            elif number == known:
                # The earlier end is right: entries come back late over other nodes.
                self.tests[node] = (number, min(until, ends), servers)

    def tester(self, now: float) -> str:
        """Return the node that runs the request in isolation now, or an empty string.

        If two nodes started at once, the one whose name comes first goes on.
        """
        return min((node for node, test in self.tests.items() if now < test[1]), default="")

    def begin_test(self, node: str, until: float, servers: tuple[str, ...] = ()) -> None:
        """Note that a node starts an isolated run."""
        number = self.tests.get(node, (0, 0.0, ()))[0] + 1
        self.tests[node] = (number, until, servers)

    def end_test(self, node: str) -> None:
        """Note that a node's isolated run has ended."""
        self.tests[node] = (self.tests[node][0], 0.0, ())

    def to_entry(self, digest: str, now: float) -> SuspectEntry:
        """Return the form for other nodes."""
        strikes = tuple(strike.replace(age_s=now - at) for strike, at in self.strikes.values())
        tests = tuple(
            (node, number, max(0.0, until - now), servers)
            for node, (number, until, servers) in self.tests.items()
        )
        return SuspectEntry(digest, strikes, tuple(sorted(self.cleared)), self.until - now, tests)
