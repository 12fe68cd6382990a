"""Waits until a suspect may run in isolation."""

import trio

from basilwinch.exception import Failure
from basilwinch.suspicion import IsolationClaim, IsolationWait, NextAttempt, SuspectRegistry

__all__ = ["await_isolation"]


async def await_isolation(
    suspects: SuspectRegistry, digest: str, run_id: str, retry: bool, remaining
) -> bool | Failure:
    """Return whether the next attempt must be isolated, or the failure of a refused request.

    It waits for the end of another isolation of the same request, and for a free slot.

    :param digest: digest of the request
    :param run_id: id of this run of the request, unique on the node
    :param retry: whether an earlier attempt of this run has failed
    :param remaining: function that returns the seconds left for the request
    """
    asked_at = trio.current_time()
    while True:
        attempt = NextAttempt(retry, asked_at, remaining())
        decision = suspects.check_isolation(digest, run_id, attempt, trio.current_time())
        if isinstance(decision, IsolationWait):
            await trio.sleep(decision.delay_s)
        elif not isinstance(decision, IsolationClaim):
            return decision
        elif await _confirm(suspects, digest, run_id, decision.delay_s):
            return True


async def _confirm(suspects, digest: str, run_id: str, delay_s: float) -> bool:
    try:
        await trio.sleep(delay_s)
    except BaseException:
        # Release the claim also on cancellation; otherwise other nodes wait for it until it times
        # out.
        suspects.release_claim(digest, run_id)
        raise
    return suspects.confirm_claim(digest, run_id, trio.current_time())
