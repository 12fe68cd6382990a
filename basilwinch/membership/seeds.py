"""Addresses of seed nodes, from the settings and the platform's list of VMs."""

from random import Random

import trio

from basilwinch.exception import PlatformError
from basilwinch.membership.config import MembershipConfig
from basilwinch.store import VmList, VmState

__all__ = ["Seeds"]


class Seeds:
    """Addresses that may belong to nodes. The VM list lags and may name VMs that are not nodes, so
    an address is only pinged, and a node is added once it answers.

    :param config: :class:`MembershipConfig`
    :param vm_list: :class:`~basilwinch.store.VmList` or None
    :param rng: source of randomness
    """

    __slots__ = ("_config", "_listed", "_rng", "_vm_list")

    def __init__(self, config: MembershipConfig, vm_list: VmList | None, rng: Random):
        self._config = config
        self._vm_list = vm_list
        self._rng = rng
        self._listed: tuple = ()

    async def run(self) -> None:
        """Read the VM list at random intervals until cancelled."""
        while self._vm_list:
            try:
                with trio.move_on_after(self._config.platform_timeout_s):
                    entries = await self._vm_list.snapshot()
                    self._listed = tuple(
                        entry.address for entry in entries if entry.state == VmState.LIVE
                    )
            except PlatformError:
                pass  # The list of the last successful read stays in use.
            await trio.sleep(self._config.vm_list_interval_s * (0.5 + self._rng.random()))

    def choose(self, known: set, count: int) -> list[str]:
        """Return random addresses to ping. Takes time linear in the number of addresses.

        :param known: addresses of known nodes, which need no ping
        :param count: maximum number of addresses
        """
        candidates = {*self._config.peers, *self._listed} - known - {self._config.address}
        return self._rng.sample(sorted(candidates), min(count, len(candidates)))
