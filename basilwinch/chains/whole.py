"""Choice among whole chains at random, for fleets whose nodes see each other's load late.

Answers the load pattern of many nodes with rare reports: if each took the best path, all would
crowd it until the next report, overfill its memory and leave the others idle.
"""

import json

import structlog

from basilwinch.chains.layout import Member
from basilwinch.chains.path import PathChoice, Stage
from basilwinch.chains.pipe import count_crossings

__all__ = ["WholeChains"]


_LEAST_RESPONSE_S = 0.1  # of a request of few tokens; keeps the estimate of its rate finite


# Time of a response, relative to its passes: at each member it waits for half of a running pass.
_WAIT_FACTOR = 1.5


class Offer:
    """A chain that has room.

    :param choice: the chain as a path
    :param weight: its chance, relative to others, if all had memory enough
    :param room: requests for which it has room now
    :param ending_per_s: requests that end there in a second
    """

    __slots__ = ("choice", "weight", "room", "ending_per_s")

    def __init__(self, choice, weight: float, room: float, ending_per_s: float):
        self.choice = choice
        self.weight = weight
        self.room = room
        self.ending_per_s = ending_per_s


def limit_chances(offers: list[Offer], expected: float, interval_s: float) -> list[float]:
    """Return the chance of each chain; they add up to 1 at most.

    The chance of a chain is cut to what it can take until the next reports, and the rest is left to
    the others. What no chain can take is held back.

    :param offers: chains with room
    :param expected: requests of all nodes until the next reports
    :param interval_s: time between reports

    >>> full = Offer(None, 1.0, 1.0, 10.0)
    >>> empty = Offer(None, 30.0, 30.0, 0.0)
    >>> [round(chance, 2) for chance in limit_chances([full, full, empty], 50.0, 1.0)]
    [0.2, 0.2, 0.6]
    >>> [round(chance, 2) for chance in limit_chances([full, full, empty], 100.0, 1.0)]
    [0.11, 0.11, 0.3]

    Notes
    -----
    Time quadratic in the number of chains at the worst.
    """
    most = [(o.room + o.ending_per_s * interval_s) / max(expected, 1.0) for o in offers]
    chances = [0.0] * len(offers)
    rows = set(range(len(offers)))
    left = 1.0
    while rows:
        total = sum(offers[row].weight for row in rows)
        over = [row for row in rows if left * offers[row].weight / total > most[row]]
        for row in over or rows:
            chances[row] = most[row] if over else left * offers[row].weight / total
        if not over:
            break
        left -= sum(most[row] for row in over)
        rows.difference_update(over)
    return chances


class WholeChains:
    """Takes a planned chain with a chance in proportion to its free memory and its speed.

    All nodes see the same load until the next reports. So that they don't overfill a chain in that
    time, as one that returns empty beside full ones, its chance is limited to the requests for
    which it has room by then, and requests beyond that are held back.

    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    :param rng: random numbers
    """

    __slots__ = ("_load", "_rng", "_layouts", "_log")

    def __init__(self, load, rng):
        self._load = load
        self._rng = rng
        self._layouts: dict[str, list[list[Member]]] = {}
        self._log = structlog.get_logger("chains")

    def apply(self, service: str, value: bytes | None) -> None:
        """Take over the layout of a service."""
        if value is None:
            self._layouts.pop(service, None)
            return
        try:
            rows = json.loads(value)
            self._layouts[service] = [[Member(*fields) for fields in chain] for chain in rows]
        except (ValueError, TypeError) as error:
            self._log.error("layout unreadable", service=service, error=repr(error))

    def find_offers(
        self,
        service: str,
        entries: dict,
        engine,
        tokens: int,
        prompt: int,
        avoid=frozenset(),
        across=True,
    ):
        """Return the whole chains with room.

        :param service: name of the service
        :param entries: servers by id
        :param tokens: tokens of the request's KV cache
        :param prompt: tokens to read first
        :param avoid: ids of servers to leave out
        :param across: whether the chain may cross between zones

        Notes
        -----
        Time linear in the number of servers.
        """
        offers = []
        for chain in self._layouts.get(service, ()):
            stages = self._stages(chain, entries, engine, avoid)
            if stages is None:
                continue
            free = min(stage.room / (tokens * stage.held) for stage in stages)
            if free < 1:
                continue
            used = max(stage.requests for stage in stages)
            crossings = count_crossings([stage.entry.zone for stage in stages])
            if crossings and not across:
                continue
            pass_ms = sum(stage.layer_ms * stage.held for stage in stages)
            read_ms = sum(stage.read_layer_ms * stage.held for stage in stages) * prompt
            choice = PathChoice(chain, pass_ms, read_ms, crossings)
            response_s = _WAIT_FACTOR * (tokens - prompt) / engine.stride * pass_ms / 1000
            ending = used / max(response_s, _LEAST_RESPONSE_S)
            offers.append(Offer(choice, free / pass_ms, free, ending))
        return offers

    def choose(self, offers: list[Offer]) -> PathChoice | None:
        """Return a path drawn from offers, or None if the request is held back."""
        interval_s = self._load.interval_s
        expected = self._load.demand_per_s * interval_s
        drawn = self._rng.random()
        for offer, chance in zip(offers, limit_chances(offers, expected, interval_s), strict=True):
            drawn -= chance
            if drawn < 0:
                return offer.choice
        return None

    def _stages(self, chain, entries, engine, avoid) -> list[Stage] | None:
        """Return the stages of a chain, or None unless each of them can serve."""
        stages = []
        for member in chain:
            entry = entries.get(member.server)
            if entry is None or entry.leaving or entry.id in avoid:
                return None
            if entry.layers != (member.first, member.end) or self._load.is_suspect(entry.id):
                return None
            stages.append(Stage(entry, engine.kinds[entry.kind], engine, self._load))
        return stages
