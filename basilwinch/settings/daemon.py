"""Settings of the daemon."""

from basilwinch.settings.kind import (
    AddressKind,
    BooleanKind,
    ChoiceKind,
    CountKind,
    ListKind,
    NumberKind,
    SecretKind,
    TextKind,
)
from basilwinch.settings.reader import Setting

__all__ = ["DAEMON_SETTINGS"]

_SECONDS = "seconds"

DAEMON_SETTINGS = (
    Setting("name", TextKind(), "", "Name of this node; the address of --listen by default"),
    Setting("zone", TextKind(True), "howrah", "Availability zone of this VM"),
    Setting("region", TextKind(True), "kolkata", "Region of this VM"),
    Setting("listen", AddressKind(), "127.0.0.1:8080", "Address for HTTP requests of callers"),
    Setting(
        "peer_listen", AddressKind(True), "", "Address for messages between nodes, UDP and TCP"
    ),
    Setting("peers", ListKind(AddressKind()), "", "Peer addresses of some other nodes"),
    Setting("cluster", TextKind(True), "basilwinch", "Name of the cluster, the same on all nodes"),
    Setting(
        "cluster_keys",
        SecretKind(),
        "",
        "Keys of messages between nodes, as ID:HEX,ID:HEX; the first signs, both are accepted",
    ),
    Setting("platform", AddressKind(True), "", "Address of the key-value service (etcd v3 JSON)"),
    Setting(
        "embedded",
        BooleanKind(),
        "false",
        "Run with in-memory stand-ins for the platform and servers",
    ),
    Setting(
        "note",
        TextKind(),
        "examples/first.toml",
        "Release note that is published at start with --embedded",
    ),
    Setting(
        "body_limit", CountKind(1024, 1 << 30), "1048576", "Maximum size of a request body in bytes"
    ),
    Setting(
        "body_timeout",
        NumberKind(0.1, 600, _SECONDS),
        "10",
        "Maximum time to receive a request body",
    ),
    Setting(
        "deadline", NumberKind(0.1, 3600, _SECONDS), "120", "Deadline of a request that sets none"
    ),
    Setting(
        "drain_delay",
        NumberKind(0, 600, _SECONDS),
        "2",
        "Time from failing the readiness check to refusing new requests at shutdown",
    ),
    Setting(
        "drain_timeout",
        NumberKind(0, 3600, _SECONDS),
        "60",
        "Maximum wait for open requests at shutdown",
    ),
    Setting(
        "slots",
        CountKind(1, 1_000_000),
        "4096",
        "Maximum number of model requests in progress on this node",
    ),
    Setting("log_style", ChoiceKind(("json", "console")), "json", "Format of the log lines"),
    Setting(
        "log_level",
        ChoiceKind(("debug", "info", "warning", "error")),
        "info",
        "Minimum level of the log lines",
    ),
    Setting(
        "seed", CountKind(0, 2**31 - 1), "0", "Seed of random choices; 0 chooses one at random"
    ),
)
