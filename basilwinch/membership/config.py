"""Settings of the membership package."""

from basilwinch.record import Record

__all__ = ["MembershipConfig"]


class MembershipConfig(Record):
    """Settings of the membership of one node; times are in seconds.

    :param name: unique name of this node
    :param address: ``ip:port`` at which other nodes reach this node over UDP and TCP
    :param zone: availability zone of this node
    :param region: region of this node
    :param cluster: name of the cluster; packets from other clusters are dropped
    :param keyring: :class:`~basilwinch.membership.packet.Keyring` of the packets
    :param peers: addresses of seed nodes
    :param life: start time of this process in microseconds; unique among its restarts
    :param probe_period_s: time between two probes that this node sends
    :param ack_timeout_s: time without an ack after which indirect probes are sent
    :param indirect_probe_peers: number of nodes asked to probe a node that did not answer
    :param suspicion_periods: probe periods after which a suspect counts as dead, for up to 10
        nodes; the time grows with log10 of the number of nodes
    :param dead_retention_s: time for which a dead node is kept in the roster and probed again
    :param watchers_per_zone: number of nodes of each zone that watch the platform
    :param head_read_interval_s: interval at which a watcher reads the head, in case its watch has
        stalled
    :param platform_timeout_s: time after which a platform call counts as failed
    :param max_poll_interval_s: maximum interval between polls while the platform fails
    :param vm_list_interval_s: mean interval between reads of the VM list
    :param bytes_per_s: budget of all control traffic, sent plus received; a little below the target
        of 2,000, because a node cannot limit what it receives
    :param burst_s: seconds of unused budget that are kept for later
    :param push_peers: number of peers to which a watcher sends a new revision at once
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
        "probe_period_s",
        "ack_timeout_s",
        "indirect_probe_peers",
        "suspicion_periods",
        "dead_retention_s",
        "watchers_per_zone",
        "head_read_interval_s",
        "platform_timeout_s",
        "max_poll_interval_s",
        "vm_list_interval_s",
        "bytes_per_s",
        "burst_s",
        "push_peers",
    )
    _defaults = {
        "peers": (),
        "probe_period_s": 1.0,
        "ack_timeout_s": 0.4,
        "indirect_probe_peers": 3,
        "suspicion_periods": 3.0,
        "dead_retention_s": 3600.0,
        "watchers_per_zone": 2,
        "head_read_interval_s": 20.0,
        "platform_timeout_s": 1.0,
        "max_poll_interval_s": 2.0,
        "vm_list_interval_s": 30.0,
        "bytes_per_s": 1900.0,
        "burst_s": 5.0,
        "push_peers": 3,
    }
