"""Settings of the membership package."""

from basilwinch.record import Record

__all__ = ["MembershipConfig"]


class MembershipConfig(Record):
    """Settings; times in seconds, sizes in bytes, rates in bytes per second.

    :param name: unique name of this node
    :param address: ``ip:port`` that other nodes reach, UDP and TCP
    :param zone: availability zone of this node
    :param region: region of this node
    :param cluster: name of the cluster; packets of other clusters are dropped
    :param keyring: :class:`~basilwinch.membership.packet.Keyring`
    :param peers: addresses of nodes to start from
    :param life: start time of this process in microseconds; unique among its restarts
    :param period_s: time between two probes of a node
    :param ack_s: wait for an answer before helpers are asked
    :param helpers: helpers asked after a probe without an answer
    :param suspicion_periods: periods from suspicion to death at up to 10 nodes; grows with log10
    :param forget_s: how long a dead node is remembered and tried again
    :param watchers_per_zone: nodes of a zone that watch the platform
    :param watch_check_s: interval at which a watcher reads the head, in case the watch has stalled
    :param platform_timeout_s: a platform call that takes longer counts as failed
    :param poll_max_s: longest interval of polling while the platform fails
    :param vm_list_s: interval of reading the VM list
    :param bytes_per_s: budget of all control traffic, sent plus received; a little below the target
        of 2,000, because what a node receives is not in its hands
    :param burst_s: seconds of unused budget that may be spent later
    :param push_peers: peers that a watcher sends a new revision to at once
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "region",
        "cluster",
        "keyring",
        "peers",
        "life",
        "period_s",
        "ack_s",
        "helpers",
        "suspicion_periods",
        "forget_s",
        "watchers_per_zone",
        "watch_check_s",
        "platform_timeout_s",
        "poll_max_s",
        "vm_list_s",
        "bytes_per_s",
        "burst_s",
        "push_peers",
    )
    _defaults = {
        "peers": (),
        "period_s": 1.0,
        "ack_s": 0.4,
        "helpers": 3,
        "suspicion_periods": 3.0,
        "forget_s": 3600.0,
        "watchers_per_zone": 2,
        "watch_check_s": 20.0,
        "platform_timeout_s": 1.0,
        "poll_max_s": 2.0,
        "vm_list_s": 30.0,
        "bytes_per_s": 1900.0,
        "burst_s": 5.0,
        "push_peers": 3,
    }
