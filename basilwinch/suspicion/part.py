"""Comparison of suspected parts of prompts, and the parts that are known to be harmless."""

from basilwinch.suspicion.evidence import Evidence, is_part

__all__ = ["KnownParts", "attribute_strikes", "is_ambiguous", "list_lost_parts"]


class KnownParts:
    """Parts with which a request has made progress on this node, at most ``size`` of them.

    :param size: maximum number of parts; the oldest are dropped
    :param retention_s: time for which a part stays known, in seconds

    >>> known = KnownParts(2, 60.0)
    >>> for at, part in enumerate("abc"):
    ...     known.add(part, float(at))
    >>> known.find_progress("a", 3.0), known.find_progress("c", 3.0), known.find_progress("c", 63.0)
    (None, 2.0, None)
    """

    __slots__ = ("_size", "_retention_s", "_progress_at")

    def __init__(self, size: int, retention_s: float):
        self._size = size
        self._retention_s = retention_s
        # Time of the last progress by digest of the part, oldest first.
        self._progress_at: dict[str, float] = {}

    def __len__(self):
        return len(self._progress_at)

    def add(self, part: str, now: float) -> None:
        """Record that a request with the part made progress."""
        self._progress_at.pop(part, None)
        self._progress_at[part] = now
        while len(self._progress_at) > self._size:
            del self._progress_at[next(iter(self._progress_at))]

    def find_progress(self, part: str, now: float) -> float | None:
        """Return the time of the last progress with a part, or None if there is none lately."""
        at = self._progress_at.get(part)
        return at if at is not None and now - at <= self._retention_s else None


def attribute_strikes(suspects: dict[str, Evidence], event_s: float) -> None:
    """Record for each part which request stands behind each strike that speaks against the part.

    A strike does not if a convicted request was lost with the same server at the same time, as that
    request explains the loss. Linear in the strikes.

    :param suspects: evidence against all suspects, by digest
    :param event_s: strikes within this time belong to one loss, in seconds
    """
    requests: dict[str, str] = {}
    explained: dict[str, list[float]] = {}
    for digest, evidence in suspects.items():
        if is_part(digest):
            continue
        for id, (strike, at) in evidence.strikes.items():
            requests[id] = digest
            if evidence.convicted_at is not None and id not in evidence.cleared:
                explained.setdefault(strike.server, []).append(at)
    for digest, evidence in suspects.items():
        if is_part(digest):
            evidence.sources = {
                id: requests.get(id, id)
                for id, (strike, at) in evidence.strikes.items()
                if not any(abs(at - other) <= event_s for other in explained.get(strike.server, ()))
            }


def is_ambiguous(part: str, struck: dict[str, Evidence]) -> bool:
    """Return whether another part that is not convicted explains the same events as well.

    A known part explains them less well than an unknown one.

    :param struck: evidence against all parts with active strikes, by digest
    """
    evidence = struck[part]
    if evidence.convicted_at is not None:
        return False
    servers, unknown = evidence.lost_servers(), bool(evidence.open_strikes())
    return any(
        digest != part
        and other.convicted_at is None
        and (not unknown or other.open_strikes())
        and servers <= other.lost_servers()
        for digest, other in struck.items()
    )


def list_lost_parts(evidence: Evidence, suspects: dict[str, Evidence]) -> list[frozenset[str]]:
    """Return the unknown parts of each request that was lost with a suspected part.

    If another request on the same server had the same unknown parts and more, the smaller set is
    left out, as the larger one explains the loss as well. Linear in the suspects.

    :param evidence: evidence against the part
    :param suspects: evidence against all suspects, by digest
    """
    by_strike: dict[str, set[str]] = {strike.id: set() for strike, _ in evidence.open_strikes()}
    for digest, other in suspects.items():
        if is_part(digest):
            for strike, _ in other.open_strikes():
                if strike.id in by_strike:
                    by_strike[strike.id].add(digest)
    lost = [
        (strike.server, frozenset(by_strike[strike.id])) for strike, _ in evidence.open_strikes()
    ]
    return [
        parts
        for server, parts in lost
        if not any(server == other_server and parts < larger for other_server, larger in lost)
    ]
