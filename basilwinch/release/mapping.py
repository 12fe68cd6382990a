"""Immutable mapping by name whose changed copies share the unchanged entries."""

import zlib
from collections.abc import Mapping

__all__ = ["BUCKETS", "BucketMapping", "bucket_of"]

BUCKETS = 256
# Shared by all empty buckets, so it must not be changed.
_EMPTY: dict = {}


def bucket_of(name: str) -> int:
    """Return the bucket index of a name, which unlike :func:`hash` is equal in all processes.

    >>> 0 <= bucket_of("server-1") < BUCKETS
    True
    """
    return zlib.crc32(name.encode()) % BUCKETS


class BucketMapping(Mapping):
    """A mapping by name, split into buckets (dicts); a changed copy shares unchanged buckets.

    A copy of a plain dict takes time proportional to all entries. Here a change copies only the
    buckets of changed names and a list of ``BUCKETS`` references.

    :param entries: initial entries by name

    >>> old = BucketMapping({"a": 1, "b": 2})
    >>> new = old.with_changes({"a": 3}, ["b"])
    >>> dict(old), dict(new), len(new)
    ({'a': 1, 'b': 2}, {'a': 3}, 1)
    """

    __slots__ = ("_buckets", "_size")

    def __init__(self, entries: Mapping | None = None):
        self._buckets = [_EMPTY] * BUCKETS
        self._size = 0
        for name, entry in (entries or {}).items():
            self._put(name, entry)

    def _put(self, name, entry):
        index = bucket_of(name)
        if self._buckets[index] is _EMPTY:
            self._buckets[index] = {}
        self._buckets[index][name] = entry
        self._size += 1

    @classmethod
    def from_buckets(cls, buckets: list[dict]) -> "BucketMapping":
        """Build a mapping that uses the given buckets, without a copy."""
        mapping = cls()
        mapping._buckets = [bucket or _EMPTY for bucket in buckets]
        mapping._size = sum(map(len, buckets))
        return mapping

    def bucket(self, index: int) -> dict:
        """Return one bucket, which must not be changed."""
        return self._buckets[index]

    def with_changes(self, puts: Mapping, deletes=()) -> "BucketMapping":
        """Return a changed copy.

        :param puts: entries by name to add or replace
        :param deletes: names to remove; unknown ones are ignored
        """
        copy = BucketMapping()
        copy._buckets = buckets = self._buckets.copy()
        copy._size = self._size
        copied = set()
        for name in (*deletes, *puts):
            index = bucket_of(name)
            if index not in copied:
                copied.add(index)
                buckets[index] = buckets[index].copy()
            copy._size -= buckets[index].pop(name, None) is not None
        for name, entry in puts.items():
            buckets[bucket_of(name)][name] = entry
        copy._size += len(puts)
        return copy

    def __getitem__(self, name):
        try:
            return self._buckets[zlib.crc32(name.encode()) % BUCKETS][name]
        except AttributeError:
            raise KeyError(name) from None

    def __iter__(self):
        for bucket in self._buckets:
            yield from bucket

    def __len__(self):
        return self._size

    def __repr__(self):
        return f"BucketMapping({dict(self)!r})"
