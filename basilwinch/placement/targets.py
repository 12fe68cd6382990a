"""Storage of the placement targets in the key-value service."""

import json
import zlib

from basilwinch.exception import PLATFORM_AMBIGUOUS, TARGETS_CHANGED, Failure, PlatformError
from basilwinch.pipeline import Placement
from basilwinch.placement.group import Group
from basilwinch.placement.planner import Plan
from basilwinch.store import Compare, KeyValue, KeyValueStore

__all__ = ["TargetStore", "decode_plan", "encode_plan"]


def encode_plan(plan: Plan, fence: int) -> bytes:
    """Return the stored form of a plan.

    :param fence: fencing token of the writer, so that equal plans of two writers differ
    """
    fields = {
        "fence": fence,
        "placements": [placement.to_json_dict() for placement in plan.placements.values()],
        "groups": [group.to_dict() for group in plan.groups],
        "rates": plan.rates,
    }
    return zlib.compress(json.dumps(fields, separators=(",", ":"), sort_keys=True).encode())


def decode_plan(data: bytes) -> Plan:
    """Return the plan of a stored form.

    :raises ValueError, KeyError, TypeError: on malformed data
    """
    fields = json.loads(zlib.decompress(data))
    placements = map(Placement.from_json_dict, fields["placements"])
    groups = tuple(map(Group.from_json_dict, fields["groups"]))
    return Plan({entry.model: entry for entry in placements}, groups, fields["rates"])


class TargetStore:
    """Reads and writes the targets by compare-and-swap.

    :param store: key-value service
    :param key: key of the targets; the value takes about 100 KB at 12,000 servers
    """

    __slots__ = ("_store", "_key")

    def __init__(self, store: KeyValueStore, key: str = "placement/targets"):
        self._store = store
        self._key = key

    async def read(self) -> tuple[Plan | None, int]:
        """Return the targets and the store revision of their last change, 0 if there are none.

        :raises PlatformError: if the key-value service does not answer
        """
        found = await self._store.get(self._key)
        if found is None:
            return None, 0
        return decode_plan(found.value), found.mod_revision

    async def write(self, plan: Plan, fence: int, mod_revision: int) -> int | Failure:
        """Replace the targets if they have not changed since ``mod_revision``.

        :param mod_revision: store revision of their last change, 0 if there are none
        :returns: the new store revision, or ``TARGETS_CHANGED``. After a lost response the key is
            read to find out whether the write took effect.
        :raises PlatformError: if the key-value service does not answer, or if the key does not show
            that the write took effect, so that it can be repeated
        """
        value = encode_plan(plan, fence)
        compares = [Compare(self._key, mod_revision)]
        try:
            outcome = await self._store.transact(compares, [KeyValue(self._key, value, 0)])
            if outcome.succeeded:
                return outcome.revision
        except PlatformError as error:
            if error.failure.kind is not PLATFORM_AMBIGUOUS:
                raise
        found = await self._store.get(self._key)
        if found is not None and found.mod_revision > mod_revision and found.value == value:
            return found.mod_revision
        if found is not None and found.mod_revision != mod_revision:
            return TARGETS_CHANGED.because(
                f"expected targets of store revision {mod_revision}, found {found.mod_revision}"
            )
        # The key holds neither this write nor a newer one, so the caller may try again.
        raise PlatformError(
            PLATFORM_AMBIGUOUS.because(
                f"targets not written: {self._key} is missing or still at store revision"
                f" {mod_revision}"
            )
        )
