"""Reads the revision in effect from nodes."""

import json

import httpcore
import trio

from basilwinch.cli.arguments import split_urls
from basilwinch.exception import INVALID_SETTING, NOT_IN_EFFECT, Failure

__all__ = ["parse_nodes", "read_revisions", "wait_for_revision"]

_READ_TIMEOUT_S = 2.0
_POLL_INTERVAL_S = 0.25
_MAX_PARALLEL_READS = 32


def parse_nodes(text: str) -> list[str] | Failure:
    """Return the URLs in the setting ``--nodes``, or ``INVALID_SETTING`` if there are none."""
    urls = split_urls(text)
    if not urls:
        return INVALID_SETTING.because(
            "--nodes or BASILWINCH_NODES: expected at least one address or URL, got none"
        )
    return urls


async def read_revisions(urls: list[str]) -> dict[str, int | None]:
    """Return the revision in effect on each node, None for a node without a valid response."""
    revisions: dict[str, int | None] = {}
    limiter = trio.CapacityLimiter(_MAX_PARALLEL_READS)
    async with httpcore.AsyncConnectionPool() as pool, trio.open_nursery() as nursery:

        async def read(url: str):
            async with limiter:
                revisions[url] = await _read_revision(pool, url)

        for url in urls:
            nursery.start_soon(read, url)
    return {url: revisions[url] for url in urls}


async def wait_for_revision(urls: list[str], revision: int, timeout_s: float) -> dict | Failure:
    """Wait until every node has a revision in effect.

    :param urls: URLs of the nodes
    :param revision: number of the revision; a later one in effect counts too
    :param timeout_s: maximum wait in seconds
    :returns: the revision of each node, or ``NOT_IN_EFFECT`` with the revisions of all nodes
    """
    deadline = trio.current_time() + timeout_s
    while True:
        revisions = await read_revisions(urls)
        lagging = [
            url for url, current in revisions.items() if current is None or current < revision
        ]
        if not lagging:
            return revisions
        if trio.current_time() + _POLL_INTERVAL_S > deadline:
            reason = (
                f"revision {revision} is not in effect on all nodes after {timeout_s:g} s; "
                f"up to 5 of those without it: {', '.join(lagging[:5])}"
            )
            return NOT_IN_EFFECT.because(reason, revision=revision, nodes=revisions)
        await trio.sleep(_POLL_INTERVAL_S)


async def _read_revision(pool, url: str) -> int | None:
    try:
        with trio.fail_after(_READ_TIMEOUT_S):
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
