"""Objects that every sub-command uses: output, key-value service, random generator and clock."""

import random
import time
from contextlib import asynccontextmanager

from basilwinch.cli.arguments import split_urls
from basilwinch.cli.output import Output
from basilwinch.store.etcd import EtcdConfig, EtcdStore

__all__ = ["Context"]


class Context:
    """Objects that each sub-command gets as its ``context`` argument.

    :param output: :class:`~basilwinch.cli.output.Output`
    :param store: key-value service to use in place of the one in the settings, or None
    :param rng: :class:`random.Random` for note ids and retry delays, or None for a new one
    :param clock: function that returns seconds since the epoch
    """

    __slots__ = ("output", "rng", "clock", "_store")

    def __init__(self, output: Output, store=None, rng=None, clock=time.time):
        self.output = output
        self.rng = rng or random.SystemRandom()
        self.clock = clock
        self._store = store

    @asynccontextmanager
    async def store(self, args):
        """Open the key-value service that the settings name.

        :param args: parsed arguments
        """
        if self._store is not None:
            yield self._store
            return
        endpoints = tuple(split_urls(args.platform))
        async with EtcdStore.from_config(EtcdConfig(endpoints, args.timeout)) as store:
            yield store
