"""Storage layouts of order claims: single keys, grouped keys, and pages of shards."""

import json
import random

import trio
import trio.testing

from basilwinch.observability import DecisionLog
from basilwinch.order import OrderConfig, OrderRequest, OrderRunner
from basilwinch.server import ServiceCall, ServiceReply
from basilwinch.standin import MemoryKeyValueStore
from basilwinch.store import Compare, KeyValue

__all__ = ["LAYOUTS", "measure_layout"]

START_UNIX_S = 1_800_000_000.0
SHARDS = 64
#: Size of one record in a page: digest, state, time and node.
RECORD_BYTES = 40


class RateLimitedStore:
    """A key-value service that handles one call at a time, up to 600 writes/s or 2,000 reads/s.

    Writes also take time by size, at 50 MB/s, for the log and the replication of the service.
    """

    def __init__(self):
        self.store = MemoryKeyValueStore(latency_s=0.002)
        self.writes = self.reads = self.bytes = 0
        self._free_at = 0.0

    async def _wait(self, seconds):
        now = trio.current_time()
        self._free_at = max(now, self._free_at) + seconds
        await trio.sleep_until(self._free_at)

    async def get(self, key):
        """Read a key."""
        self.reads += 1
        await self._wait(1 / 2000)
        return await self.store.get(key)

    async def grant(self, ttl_s):
        """Take a lease."""
        self.writes += 1
        await self._wait(1 / 600)
        return await self.store.grant(ttl_s)

    async def transact(self, compares, puts, deletes=()):
        """Write."""
        size = sum(len(put.value) for put in puts)
        self.writes += 1
        self.bytes += size
        await self._wait(1 / 600 + size / 50e6)
        return await self.store.transact(compares, puts, deletes)


class SingleKeys:
    """One write for each claim and one for each outcome."""

    def __init__(self, store, node_number, records):
        self._store = store

    async def run(self, order_id):
        """Claim an order and record its outcome; return the time of the claim."""
        key = f"orders/{order_id}"
        await self._store.transact([Compare(key, 0)], [KeyValue(key, bytes(150), 0)])
        claimed_at = trio.current_time()
        await self._store.transact([], [KeyValue(key, bytes(250), 0)])
        return claimed_at

    async def maintain(self):
        """Do nothing."""


class GroupedKeys:
    """The order package: one key for each order, many claims and outcomes in one write."""

    def __init__(self, store, node_number, records):
        self._runner = OrderRunner.from_config(
            OrderConfig(f"n{node_number}"),
            store,
            self,
            random.Random(node_number),
            DecisionLog.for_benchmark(),
            clock=lambda: START_UNIX_S + trio.current_time(),
        )
        self._claimed_at = {}

    async def call(self, server, call):
        """Record when a claim became durable; the runner calls the server right after it."""
        self._claimed_at[call.path] = trio.current_time()
        return ServiceReply(200)

    async def run(self, order_id):
        """Run an order; return the time of its claim."""
        call = ServiceCall("POST", f"/{order_id}")
        order_id = f"{START_UNIX_S + trio.current_time():.3f}-{order_id}"
        await self._runner.run(OrderRequest("org", order_id, "depozit", ("p",), call))
        return self._claimed_at.pop(call.path)

    async def maintain(self):
        """Write the outcomes that no write of a claim has included."""
        await self._runner.maintain()


class GroupedPages:
    """One page for each shard; all entries that wait for a page share a compare-and-swap.

    The pages hold the ``records`` orders of the retention time in equal parts.
    """

    def __init__(self, store, node_number, records):
        self._store = store
        self._size = RECORD_BYTES * records // SHARDS
        self._revisions = {}
        self._waiting = {}
        self._rng = random.Random(node_number)

    async def run(self, order_id):
        """Claim an order and write its outcome 0.5 s later, when a claim may share the write."""
        shard = self._rng.randrange(SHARDS)
        await self._write(shard, order_id)
        claimed_at = trio.current_time()
        await trio.sleep(0.5)
        await self._write(shard, order_id)
        return claimed_at

    async def _write(self, shard, order_id):
        entry = (order_id, trio.Event())
        queue = self._waiting.setdefault(shard, [])
        queue.append(entry)
        if len(queue) > 1:
            await entry[1].wait()
            return
        key = f"pages/{shard:03d}"
        value = json.dumps(order_id).encode().ljust(self._size)
        while True:
            revision = self._revisions.get(shard)
            if revision is None:
                found = await self._store.get(key)
                revision = found.mod_revision if found else 0
            group = list(queue)
            result = await self._store.transact([Compare(key, revision)], [KeyValue(key, value, 0)])
            if result.succeeded:
                self._revisions[shard] = result.revision
                break
            self._revisions[shard] = None
        del queue[: len(group)]
        for _, event in group:
            event.set()
        if queue:
            # Callers that queued during the write are released too; their entries are not written.
            rest = list(queue)
            queue.clear()
            for _, event in rest:
                event.set()

    async def maintain(self):
        """Do nothing."""


LAYOUTS = {"single keys": SingleKeys, "grouped keys": GroupedKeys, "shard pages": GroupedPages}


def measure_layout(name: str, nodes: int, rate: float, seed: int, duration_s: float = 10.0) -> dict:
    """Run orders and return writes, reads and kB per order, and the latencies of their claims.

    :param rate: orders per second over all nodes
    """
    store = RateLimitedStore()
    rng = random.Random(f"{seed}/claims")
    latencies = []

    async def run_order(claimer, number):
        started_at = trio.current_time()
        claimed_at = await claimer.run(f"o{number}")
        latencies.append(claimed_at - started_at)

    async def main():
        async with trio.open_nursery() as nursery:
            # Pages are as full as after an hour at this rate.
            claimers = [LAYOUTS[name](store, index, int(rate * 3600)) for index in range(nodes)]
            for claimer in claimers:
                nursery.start_soon(claimer.maintain)
            await trio.sleep(5.0)
            store.writes = store.reads = store.bytes = 0
            with trio.move_on_after(3 * duration_s):
                async with trio.open_nursery() as callers:
                    end, number = trio.current_time() + duration_s, 0
                    while trio.current_time() < end:
                        number += 1
                        callers.start_soon(run_order, rng.choice(claimers), number)
                        await trio.sleep(rng.expovariate(rate))
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    latencies.sort()
    count = max(1, len(latencies))
    return {
        "orders": len(latencies),
        "writes_per_order": store.writes / count,
        "writes_per_s": store.writes / duration_s,
        "reads_per_order": store.reads / count,
        "kb_per_order": store.bytes / count / 1000,
        "p50_ms": latencies[len(latencies) // 2] * 1000 if latencies else None,
        "p99_ms": latencies[int(len(latencies) * 0.99)] * 1000 if latencies else None,
    }
