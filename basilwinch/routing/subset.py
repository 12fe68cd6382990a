"""Subset of the stages of a large fleet that one node uses."""

from collections import defaultdict
from hashlib import blake2b

from basilwinch.pipeline import Stage

__all__ = ["choose_subset", "rendezvous_score"]


def rendezvous_score(node: str, server: str) -> int:
    """Return the score of a server for a node; the servers with the highest scores are used.

    Notes: highest random weight hashing (Thaler and Ravishankar 1998). A server that joins or
    leaves changes the subsets of few nodes.
    """
    return int.from_bytes(blake2b(f"{node}\0{server}".encode(), digest_size=8).digest(), "big")


def choose_subset(node: str, stages, target_size: int, scores: dict[str, int]) -> list[Stage]:
    """Return about ``target_size`` stages, the same share of each layer range.

    Linear in the stages, apart from a sort within each layer range.

    :param stages: stages of one model
    :param target_size: target number of stages; rounding and the minimum of one stage per layer
        range may exceed it
    :param scores: cache of the scores by server
    :returns: the subset, or all stages if there are no more than ``target_size``
    """
    stages = list(stages)
    if len(stages) <= target_size:
        return stages
    ranges = defaultdict(list)
    for stage in stages:
        if stage.server not in scores:
            scores[stage.server] = rendezvous_score(node, stage.server)
        ranges[stage.first, stage.end].append(stage)
    share = target_size / len(stages)
    chosen = []
    for members in ranges.values():
        members.sort(key=lambda stage: scores[stage.server], reverse=True)
        chosen.extend(members[: max(1, round(len(members) * share))])
    return chosen
