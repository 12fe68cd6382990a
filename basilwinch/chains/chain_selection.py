"""Random selection of a planned chain, for large fleets whose nodes exchange load rarely.

If every node took the best path, they would all choose the same one until the next report, exceed
its memory and leave other chains idle.
"""

import structlog

from basilwinch.chains.layout import ChainMember
from basilwinch.chains.path import Path, Stage
from basilwinch.chains.record import decode_layout
from basilwinch.chains.zone_link import count_crossings
from basilwinch.exception import Failure

__all__ = ["ChainSelection"]


class ChainSelection:
    """Selects a planned chain at random, weighted by its free memory and its speed.

    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    :param rng: random numbers
    """

    __slots__ = ("_load", "_rng", "_layouts", "_log")

    def __init__(self, load, rng):
        self._load = load
        self._rng = rng
        self._layouts: dict[str, list[list[ChainMember]]] = {}
        self._log = structlog.get_logger("chains")

    def apply(self, service: str, value: bytes | None) -> None:
        """Replace the layout of a service.

        :param value: layout as the layout controller stores it, or None if it was deleted
        """
        if value is None:
            self._layouts.pop(service, None)
            return
        chains = decode_layout(value)
        if isinstance(chains, Failure):
            self._log.error(
                "layout cannot be decoded, keeping the previous one",
                service=service,
                reason=chains.reason,
            )
            return
        self._layouts[service] = chains

    def find(
        self,
        service: str,
        entries: dict,
        engine,
        tokens: int,
        prompt_tokens: int,
        avoid=frozenset(),
        cross_zones=True,
        avoid_heads=frozenset(),
    ):
        """Return a chain as a path, or None if no complete chain has enough free memory.

        :param service: name of the service
        :param entries: servers by id
        :param engine: :class:`~basilwinch.view.Engine`
        :param tokens: tokens of the request's KV cache
        :param prompt_tokens: tokens of the prompt, which are processed first
        :param avoid: ids of servers to leave out
        :param cross_zones: whether the chain may cross between zones
        :param avoid_heads: ids of servers that must not be the first of the chain
        :returns: :class:`~basilwinch.chains.path.Path` or None

        Notes
        -----
        Time linear in the number of servers.
        """
        paths, weights = [], []
        for chain in self._layouts.get(service, ()):
            if chain[0].server in avoid_heads:
                continue
            stages = self._build_stages(chain, entries, engine, avoid)
            if stages is None:
                continue
            free_requests = min(
                stage.free_token_layers / (tokens * stage.layer_count) for stage in stages
            )
            if free_requests < 1:
                continue
            crossings = count_crossings([stage.entry.zone for stage in stages])
            if crossings and not cross_zones:
                continue
            pass_ms = sum(stage.layer_ms * stage.layer_count for stage in stages)
            prefill_ms = (
                sum(stage.prefill_token_layer_ms * stage.layer_count for stage in stages)
                * prompt_tokens
            )
            paths.append(Path(chain, pass_ms, prefill_ms, crossings))
            weights.append(free_requests / pass_ms)
        if not paths:
            return None
        return self._rng.choices(paths, weights)[0]

    def _build_stages(self, chain, entries, engine, avoid) -> list[Stage] | None:
        """Return the stages of a chain, or None if one of them cannot serve."""
        stages = []
        for member in chain:
            entry = entries.get(member.server)
            if entry is None or entry.leaving or entry.id in avoid:
                return None
            if entry.layers != (member.first, member.end) or self._load.is_suspect(entry.id):
                return None
            kind = engine.kinds.get(entry.kind)
            if kind is None:
                return None
            stages.append(Stage(entry, kind, engine, self._load))
        return stages
