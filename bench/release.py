"""Costs of release notes by size of the state: ``python -m bench.release``.

Prints a table, then one line of JSON. Times depend on the machine; calls and bytes do not.
"""

import json
import random
import time
import tracemalloc

import trio
import trio.testing

from basilwinch.release import Publisher, Replica, load_state, read_note
from basilwinch.release.follower import Follower, FollowerConfig
from basilwinch.release.note import Item, ReleaseNote, Verb
from basilwinch.release.reinstate import compare_states
from basilwinch.standin import MemoryKeyValueStore

__all__ = ["main", "measure"]

# Servers and organisations: the present size, and steps up to the design size.
STATE_SIZES = ((36, 10), (330, 600), (3_300, 6_000), (12_000, 21_000))
CHANGE_COUNT = 50
CHANGES_PER_DAY = 53_000


def build_note(servers: int, organisations: int) -> ReleaseNote:
    """Return a first note that adds these numbers of servers and organisations."""
    items = [_make_item("service", "proofwriter", {"kind": "model"})]
    for number in range(5):
        layers = {"layers": 64, "weight_bytes_per_layer": 10**9, "kv_bytes_per_token_layer": 4096}
        items.append(_make_item("model", f"lekha-{number}", layers | {"service": "proofwriter"}))
    for number in range(servers):
        fields = {
            "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000",
            "zone": f"zone-{number % 11}",
            "region": f"region-{number % 4}",
            "accelerator": f"kind-{number % 5}",
            "accelerators": 2,
            "memory_bytes": 160 * 10**9,
            "tokens_per_s": 90_000.0,
            "service": "proofwriter",
        }
        items.append(_make_item("server", f"howrah-engine-{number:05d}", fields))
    for number in range(organisations):
        fields = {
            "key_digest": f"{number:064x}",
            "requests_per_s": 10,
            "tokens_per_s": 4000,
            "models": ["lekha-1", "lekha-2"],
        }
        items.append(_make_item("organisation", f"সংস্থা-{number:05d}", fields))
    return ReleaseNote("bench", "first", tuple(items))


def _make_item(kind: str, name: str, fields: dict) -> Item:
    return Item(Verb.ADDED, kind, name, fields, {"": 1, "name": 1})


def _make_leaving_note(number: int) -> ReleaseNote:
    return read_note(
        f'[[changed.server]]\nname = "howrah-engine-{number:05d}"\nstate = "leaving"\n'
    )


def _time_call(function, *args):
    start = time.perf_counter()
    result = function(*args)
    return result, time.perf_counter() - start


async def measure(servers: int, organisations: int) -> dict:
    """Return the costs at one size of the state."""
    store, rng = MemoryKeyValueStore(), random.Random(1)
    publisher = Publisher(store, rng, clock=lambda: 0.0)
    first = await publisher.publish(build_note(servers, organisations))
    largest = max(len(pair.value) for pair in store._pairs.values())
    calls_before = store.calls.total()
    state = await load_state(store)
    load_calls = store.calls.total() - calls_before
    await publisher.refresh()

    calls_before = store.calls.copy()
    start = time.perf_counter()
    for number in range(CHANGE_COUNT):
        # A second note on the same server is refused, as it changes nothing.
        assert await publisher.publish(_make_leaving_note(number % servers)) or number >= servers
    publish_s = (time.perf_counter() - start) / CHANGE_COUNT
    calls = store.calls - calls_before

    replica, source = Replica(), Replica()
    replica.apply_state(state)
    source.apply_state(state)
    follower = Follower(FollowerConfig(), store, source, rng, clock=lambda: 0.0)
    await follower.catch_up()
    message = source.export(first.revision.number)
    applied = source.revision - first.revision.number
    _, apply_s = _time_call(replica.apply_export, message)
    assert replica.state == source.state
    note_message = source.export(source.revision - 1)

    whole_message, export_s = _time_call(source.export, -1)
    _, export_again_s = _time_call(source.export, -1)
    tracemalloc.start()
    loaded = Replica()
    loaded.apply_export(whole_message)
    replica_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    _, apply_whole_s = _time_call(Replica().apply_export, whole_message)
    assert not compare_states(loaded.state, source.state)
    return {
        "entries": servers + organisations,
        "largest_value_bytes": largest,
        "load_calls": load_calls,
        "publish_ms": round(publish_s * 1e3, 2),
        "publish_reads": round((calls["get"] + calls["scan"]) / CHANGE_COUNT, 2),
        "publish_writes": round(calls["transact"] / CHANGE_COUNT, 2),
        "apply_note_us": round(apply_s / applied * 1e6, 1),
        "apply_core_share_percent": round(apply_s / applied * CHANGES_PER_DAY / 864, 4),
        "note_message_bytes": len(note_message),
        "whole_message_bytes": len(whole_message),
        "export_whole_ms": round(export_s * 1e3, 1),
        "export_whole_again_ms": round(export_again_s * 1e3, 1),
        "absorb_whole_ms": round(apply_whole_s * 1e3, 1),
        "replica_mb": round(replica_bytes / 1e6, 1),
        "absorb_peak_mb": round(peak_bytes / 1e6, 1),
    }


def main() -> None:
    """Measure all sizes and print them."""
    clock = trio.testing.MockClock
    columns = [trio.run(measure, *size, clock=clock(autojump_threshold=0)) for size in STATE_SIZES]
    for name in columns[0]:
        print(f"{name:<26}" + "".join(f"{column[name]:>14}" for column in columns))
    print(json.dumps({"release": columns}))


if __name__ == "__main__":
    main()
