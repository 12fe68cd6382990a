"""Costs of the ways to resume a response on another chain."""

import enum

from basilwinch.catalog import Catalog, Model
from basilwinch.exception import SERVER_UNREACHABLE, ServerError
from basilwinch.pipeline import Chain
from basilwinch.record import Record
from basilwinch.relay.request import RelayConfig

__all__ = ["ResumeKind", "ResumePlan", "choose_resume", "import_kv"]


class ResumeKind(enum.StrEnum):
    """How the KV cache of the delivered tokens reaches the new chain."""

    REPLAY = "replay"
    IMPORT = "import"


class ResumePlan(Record):
    """The way chosen, with the estimated costs of both ways in seconds; infinity if impossible."""

    __slots__ = ("kind", "replay_s", "import_s")


def choose_resume(
    config: RelayConfig,
    model: Model | None,
    old: Chain,
    new: Chain,
    tokens: int,
    lost: frozenset[str],
) -> ResumePlan:
    """Compare prefix replay with KV import.

    Replay runs all ``tokens`` through the new chain at the prefill rate. Import moves the KV cache
    of each stage whose server changes. It is possible only if the layer ranges agree and no old
    stage is lost: the cache of lost layers can only be computed again from the layers before them,
    which is a replay.

    :param model: sizes of the model, None if unknown (then replay)
    :param old: chain of the failed attempt
    :param new: chain of the next attempt
    :param tokens: tokens of the prompt and of the response so far
    :param lost: servers that are dead, silent or unreachable
    :returns: the cheaper way. Linear in the stages.
    """
    replay_s = tokens / config.prefill_tokens_per_s
    import_s = float("inf")
    same_ranges = [(s.first, s.end) for s in old.stages] == [(s.first, s.end) for s in new.stages]
    if model is not None and same_ranges and not lost.intersection(old.servers):
        moved = sum(
            to.end - to.first
            for source, to in zip(old.stages, new.stages, strict=True)
            if source.server != to.server
        )
        size = tokens * moved * model.kv_bytes_per_token_layer
        import_s = config.kv_setup_s + size / config.kv_bytes_per_s
    kind = ResumeKind.IMPORT if import_s < replay_s else ResumeKind.REPLAY
    return ResumePlan(kind, replay_s, import_s)


async def import_kv(client, catalog: Catalog, request: str, old: Chain, new: Chain) -> None:
    """Move the KV cache of a request from the servers of one chain to those of another.

    :param client: engine client with ``export_kv`` and ``import_kv``
    :param catalog: gives the servers
    :param request: id of the request
    :raises ServerError: if a server refuses or cannot be reached; a replay is still possible
    """
    for source, target in zip(old.stages, new.stages, strict=True):
        servers = [catalog.servers.get(stage.server) for stage in (source, target)]
        if None in servers:
            raise ServerError(SERVER_UNREACHABLE.because("a server has left the catalog"))
        block = await client.export_kv(servers[0], request)
        await client.import_kv(servers[1], block)
