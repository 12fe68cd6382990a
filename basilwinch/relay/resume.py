"""Choice between prefix replay and KV import to resume a response on another chain."""

import enum

from basilwinch.catalog import Catalog, Model
from basilwinch.exception import SERVER_UNREACHABLE, ServerError
from basilwinch.pipeline import Chain
from basilwinch.record import Record
from basilwinch.relay.request import RelayConfig

__all__ = ["ResumeKind", "ResumePlan", "choose_resume", "import_kv"]


class ResumeKind(enum.StrEnum):
    """How the new chain gets the KV cache of the delivered tokens."""

    REPLAY = "replay"
    IMPORT = "import"


class ResumePlan(Record):
    """The cheaper kind, and the estimated cost of both in seconds; infinity if impossible."""

    __slots__ = ("kind", "replay_s", "import_s")


def choose_resume(
    config: RelayConfig,
    model: Model | None,
    previous: Chain,
    new: Chain,
    tokens: int,
    lost: frozenset[str],
) -> ResumePlan:
    """Compare prefix replay with KV import.

    A replay runs all ``tokens`` through the new chain at the prefill rate. The estimate
    of an import counts the KV cache of the stages whose server changes. An import is possible only
    if both chains have the same layer ranges and no server of the previous chain is lost: the cache
    of lost layers can only be computed again from the layers before them, which is a replay. Linear
    in the stages.

    :param config: gives the rates
    :param model: sizes of the model; None if unknown, which gives a replay
    :param previous: chain of the failed attempt
    :param new: chain of the next attempt
    :param tokens: tokens of the prompt and of the response so far
    :param lost: names of servers that are dead, silent or unreachable
    :returns: the cheaper plan
    """
    replay_s = tokens / config.prefill_tokens_per_s
    import_s = float("inf")
    same_ranges = [(s.first, s.end) for s in previous.stages] == [
        (s.first, s.end) for s in new.stages
    ]
    if model is not None and same_ranges and not lost.intersection(previous.servers):
        moved_layers = sum(
            target.end - target.first
            for source, target in zip(previous.stages, new.stages, strict=True)
            if source.server != target.server
        )
        size_bytes = tokens * moved_layers * model.kv_bytes_per_token_layer
        import_s = config.kv_setup_s + size_bytes / config.kv_bytes_per_s
    kind = ResumeKind.IMPORT if import_s < replay_s else ResumeKind.REPLAY
    return ResumePlan(kind, replay_s, import_s)


async def import_kv(client, catalog: Catalog, request: str, previous: Chain, new: Chain) -> None:
    """Export the KV cache of each stage of a chain and import it into the same stage of another.

    :param client: engine client with ``export_kv`` and ``import_kv``
    :param catalog: gives the servers
    :param request: id of the request
    :param previous: chain of the failed attempt
    :param new: chain of the next attempt
    :raises ServerError: if a server refuses or cannot be reached; a replay is still possible
    """
    for source, target in zip(previous.stages, new.stages, strict=True):
        servers = [catalog.servers.get(stage.server) for stage in (source, target)]
        if None in servers:
            raise ServerError(
                SERVER_UNREACHABLE.because(
                    f"KV cache not moved from {source.server} to {target.server}: "
                    "not both servers are in the catalog"
                )
            )
        block = await client.export_kv(servers[0], request)
        await client.import_kv(servers[1], block)
