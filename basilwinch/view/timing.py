"""Intervals of the watcher, derived from the bounds of a deployment.

A node that follows the store through a reader must notice in time that the reader is cut off from
the store, or dead, and then read the store itself. With ``apply_s`` as the time in which a change
must be in force:

* the reader confirms a position at least each ``check_interval_s``, and tells it as soon as it has
  applied all changes up to there, which takes a batch pause at most;
* the node asks again once its proof is ``ask_age_s`` old, so that an answer that does not come
  within ``answer_timeout_s`` is missed before ``max_reader_age_s``;
* a proof older than ``max_reader_age_s`` is not accepted, and ``apply_s`` less that age is left to
  read the store.

A server that lives renews its entry at each heartbeat, and the entry expires after some of them.
Only an outage of the store of ``min_outage_s`` or longer can make such an entry expire. So an entry
that is gone after a shorter time without the store is that of a server that has left.
"""

from basilwinch.record import Record

__all__ = ["WatchTiming"]

# Shares of the bound. The rest, an eighth, is left for a call to the store, at times on a new
# connection, and for applying what it returns.
_CHECK_SHARE = 0.65
_READER_AGE_SHARE = 0.875
_ANSWER_SHARE = 0.15
_RETRY_SHARE = 0.5
_BATCH_SHARE = 0.125
_STABLE_SHARE = 2 / 3
# In heartbeats of servers. An entry was renewed at most one before an outage, and expires three
# after that; the rest is left for late heartbeats. Calls that show the store reachable come more
# often than that.
_MIN_OUTAGE_HEARTBEATS = 1.5
_CHECK_HEARTBEATS = 1.2
# Where the bound is generous, these hold instead.
#
# Together with a slow answer a check interval uses less than half of the time after which keys are
# refused; the rest is left for an outage of the store.
_MAX_CHECK_INTERVAL_S = 1.3
_MAX_PROOF_DELAY_S = 0.45  # a batch pause, and a call to a store that is 50 times slower than usual
_MAX_ANSWER_TIMEOUT_S = 0.3  # a round trip within a zone takes under 2 ms
_MAX_RETRY_PAUSE_S = 1.0
_MAX_BATCH_PAUSE_S = 0.25
_MAX_REREGISTER_S = 2.0  # servers whose entries have expired are back within this time
_FOLLOWER_PAUSE_S = 0.1  # between a reader's changes and those of the nodes that ask it


class WatchTiming(Record):
    """Intervals in seconds.

    :param apply_s: time after which a change of the store must be in force
    :param check_interval_s: between queries of the store's revision, of a node that is a reader or
        has few beside it
    :param batch_pause_s: after changes, so that a series of them takes few calls; of the same nodes
    :param max_retry_pause_s: between failed calls
    :param ask_age_s: age of a reader's proof at which the next one is asked for
    :param max_reader_age_s: age of a reader's proof above which the reader is left out
    :param answer_timeout_s: time for a reader to answer a question that needs no wait
    :param min_outage_s: shortest outage of the store in which the entry of a live server expires
    :param expiry_window_s: after an outage, in which its expired entries are reported
    :param reregister_s: after an outage, in which live servers register again
    """

    __slots__ = (
        "apply_s",
        "check_interval_s",
        "batch_pause_s",
        "max_retry_pause_s",
        "ask_age_s",
        "max_reader_age_s",
        "answer_timeout_s",
        "min_outage_s",
        "expiry_window_s",
        "reregister_s",
    )

    @classmethod
    def from_config(cls, bounds) -> "WatchTiming":
        """Derive the intervals from the bounds of a deployment.

        :param bounds: :class:`~basilwinch.entry.settings.Bounds`; a new configuration and the
            leaving of a server both come through the store
        """
        apply_s = min(bounds.config_apply_s, bounds.drain_s)
        return cls.from_bounds(apply_s, bounds.stable_s, bounds.heartbeat_s)

    @classmethod
    def from_bounds(cls, apply_s: float, stable_s: float, heartbeat_s: float) -> "WatchTiming":
        """Derive the intervals; all parameters are in seconds.

        :param apply_s: time in which a change must be in force
        :param stable_s: time without disturbance after which the bounds hold again
        :param heartbeat_s: interval at which servers renew their entries
        """
        check_interval_s = min(
            _MAX_CHECK_INTERVAL_S, _CHECK_SHARE * apply_s, _CHECK_HEARTBEATS * heartbeat_s
        )
        batch_pause_s = min(_MAX_BATCH_PAUSE_S, _BATCH_SHARE * apply_s)
        max_retry_pause_s = min(_MAX_RETRY_PAUSE_S, _RETRY_SHARE * apply_s)
        max_age_s = min(_READER_AGE_SHARE * apply_s, check_interval_s + _MAX_PROOF_DELAY_S)
        answer_timeout_s = min(_MAX_ANSWER_TIMEOUT_S, _ANSWER_SHARE * apply_s)
        return cls(
            apply_s=apply_s,
            check_interval_s=check_interval_s,
            batch_pause_s=batch_pause_s,
            max_retry_pause_s=max_retry_pause_s,
            ask_age_s=max_age_s - answer_timeout_s,
            max_reader_age_s=max_age_s,
            answer_timeout_s=answer_timeout_s,
            min_outage_s=_MIN_OUTAGE_HEARTBEATS * heartbeat_s,
            expiry_window_s=max_retry_pause_s + 2 * batch_pause_s + _FOLLOWER_PAUSE_S,
            reregister_s=min(_MAX_REREGISTER_S, _STABLE_SHARE * stable_s),
        )
