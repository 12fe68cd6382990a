"""Settings of the daemon."""

from basilwinch.settings.kind import (
    AddressKind,
    ChoiceKind,
    CountKind,
    FlagKind,
    ListKind,
    NumberKind,
    SecretKind,
    TextKind,
)
from basilwinch.settings.reader import Setting

__all__ = ["DAEMON_SETTINGS"]

_SECONDS = "seconds"

DAEMON_SETTINGS = (
    Setting("name", TextKind(), "", "Name of this node; the peer address by default"),
    Setting("zone", TextKind(True), "howrah", "Availability zone of this VM"),
    Setting("region", TextKind(True), "kolkata", "Region of this VM"),
    Setting("listen", AddressKind(), "127.0.0.1:8080", "Address for callers"),
    Setting(
        "peer_listen", AddressKind(True), "", "Address for messages between nodes, UDP and TCP"
    ),
    Setting("peers", ListKind(AddressKind()), "", "Addresses of some other nodes"),
    Setting("cluster", TextKind(True), "basilwinch", "Name of the cluster, equal on all nodes"),
    Setting(
        "cluster_keys",
        SecretKind(),
        "",
        "Keys of messages between nodes, ID:HEX,ID:HEX; the first signs, both are accepted",
    ),
    Setting("platform", AddressKind(True), "", "Address of the key-value service (etcd v3 JSON)"),
    Setting("embedded", FlagKind(), "false", "Run with stand-ins for platform and servers"),
    Setting("note", TextKind(), "examples/first.toml", "Release note that --embedded starts from"),
    Setting("body_limit", CountKind(1024, 1 << 30), "1048576", "Longest request body in bytes"),
    Setting(
        "body_timeout", NumberKind(0.1, 600, _SECONDS), "10", "Longest time for a request body"
    ),
    Setting(
        "deadline", NumberKind(0.1, 3600, _SECONDS), "120", "Deadline of a request without one"
    ),
    Setting("drain_delay", NumberKind(0, 600, _SECONDS), "2", "Time unready before new calls stop"),
    Setting("drain_timeout", NumberKind(0, 3600, _SECONDS), "60", "Longest wait for open streams"),
    Setting("slots", CountKind(1, 1_000_000), "4096", "Model requests in progress on this node"),
    Setting("log_style", ChoiceKind(("json", "console")), "json", "Form of the log lines"),
    Setting(
        "log_level",
        ChoiceKind(("debug", "info", "warning", "error")),
        "info",
        "Lowest level that is logged",
    ),
    Setting("seed", CountKind(0, 2**31 - 1), "0", "Seed of random choices; 0 takes the clock"),
)
