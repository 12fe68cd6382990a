"""Reads from nodes which revision they have in effect."""

import json

import httpcore
import trio

from basilwinch.cli.arguments import split_urls
from basilwinch.exception import INVALID_SETTING, NOT_IN_EFFECT, Failure

__all__ = ["parse_nodes", "read_revisions", "wait_for_revision"]

_TIMEOUT_S = 2.0
_POLL_S = 0.25
_PARALLEL_READS = 32


def parse_nodes(text: str) -> list[str] | Failure:
    """Return the URLs of a setting, or ``INVALID_SETTING`` if there are none."""
    urls = split_urls(text)
    if not urls:
        return INVALID_SETTING.because("name the nodes with --nodes or BASILWINCH_NODES")
    return urls


async def read_revisions(urls: list[str]) -> dict[str, int | None]:
    """Return the revision in effect on each node, None for a node that does not respond."""
    revisions: dict[str, int | None] = {}
    limiter = trio.CapacityLimiter(_PARALLEL_READS)
    async with httpcore.AsyncConnectionPool() as pool, trio.open_nursery() as nursery:

        async def read(url: str):
            async with limiter:
                revisions[url] = await _read_revision(pool, url)

        for url in urls:
            nursery.start_soon(read, url)
    return {url: revisions[url] for url in urls}


async def wait_for_revision(urls: list[str], revision: int, timeout_s: float) -> dict | Failure:
    """Wait until every node has a revision in effect.

    :returns: the revision of each node, or ``NOT_IN_EFFECT`` with the nodes that lack it
    """
    deadline = trio.current_time() + timeout_s
    while True:
        revisions = await read_revisions(urls)
        late = [url for url, held in revisions.items() if held is None or held < revision]
        if not late:
            return revisions
        if trio.current_time() + _POLL_S > deadline:
            reason = f"revision {revision} is not in effect on {', '.join(late[:5])}"
            return NOT_IN_EFFECT.because(reason, revision=revision, nodes=revisions)
        await trio.sleep(_POLL_S)


async def _read_revision(pool, url: str) -> int | None:
    try:
        with trio.fail_after(_TIMEOUT_S):
            response = await pool.request("GET", f"{url}/admin/state")
        return int(json.loads(response.content)["revision"]) if response.status == 200 else None
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        httpcore.UnsupportedProtocol,
        trio.TooSlowError,
        OSError,
        ValueError,
        KeyError,
        TypeError,
    ):
        return None
