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


class WholeChains:
    """Takes a planned chain with a chance in proportion to its free memory and its speed.

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

    def find(
        self,
        service: str,
        entries: dict,
        engine,
        tokens: int,
        prompt: int,
        avoid=frozenset(),
        across=True,
    ):
        """Return a chain as a path, or None if no whole chain has room.

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
        choices, weights = [], []
        for chain in self._layouts.get(service, ()):
            stages = self._stages(chain, entries, engine, avoid)
            if stages is None:
                continue
            free = min(stage.room / (tokens * stage.held) for stage in stages)
            if free < 1:
                continue
            crossings = count_crossings([stage.entry.zone for stage in stages])
            if crossings and not across:
                continue
            pass_ms = sum(stage.layer_ms * stage.held for stage in stages)
            read_ms = sum(stage.read_layer_ms * stage.held for stage in stages) * prompt
            choices.append(PathChoice(chain, pass_ms, read_ms, crossings))
            weights.append(free / pass_ms)
        if not choices:
            return None
        return self._rng.choices(choices, weights)[0]

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
