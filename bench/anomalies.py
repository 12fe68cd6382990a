"""Faults of the soak test: early resets, late writes, ended leases and invalid statuses."""

import signal
import socket

import trio

from basilwinch.peers.exchange import NODES_PREFIX

__all__ = ["ANOMALIES", "SETTLING_S", "check_nodes", "delay_first_registrations"]

_PORTS = (8101, 8102, 8110)  # of callers, readiness and other nodes
_HEADS = (b"", b"GET /safe/x HT", b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\n\r\n", b"READ/1\n")
_RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"
_CONNECTIONS = 20
_PAUSE_S = 0.2
_MAX_LOST = 3  # requests that ran and have no response, of an undisturbed node
_LATE_RANGE_S = (1.0, 6.0)
_STATUSES = ("000", "099", "600", "999")
#: Time after the last fault in which the leases of late writes end, in seconds.
SETTLING_S = 13.0


async def _reset_early(soak, node) -> None:
    """Stop a node, open connections to its ports, reset them, and let the node go on."""
    node.disturb(_PAUSE_S)
    node.send_signal(signal.SIGSTOP)
    sent = soak.rng.choice(_HEADS)
    for port in _PORTS:
        for _ in range(_CONNECTIONS):
            connection = socket.socket()
            connection.settimeout(0.2)
            try:
                connection.connect((node.host, port))
                connection.sendall(sent)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            except OSError:
                break  # the process does not listen yet, or its queue is full
            finally:
                connection.close()
    await trio.sleep(_PAUSE_S)
    node.send_signal(signal.SIGCONT)


async def _write_late(soak, node) -> None:
    """Carry out the next write of some kind late, and do not answer it."""
    prefix = soak.rng.choice(["basilwinch/nodes/", "basilwinch/layout/", "basilwinch/lease/"])
    soak.platform.late_writes[prefix] = soak.rng.uniform(*_LATE_RANGE_S)


async def _end_registrations(soak, node) -> None:
    """End the leases of some registrations, as an outage of the store may do."""
    items = soak.platform.items
    for key in [key for key in items if key.startswith(NODES_PREFIX)]:
        if soak.rng.random() < 0.5:
            soak.platform.end_lease(items[key][2])


async def _spoil_status(soak, node) -> None:
    """Let a server answer some requests with an invalid status."""
    server = soak.rng.choice(soak.platform.servers)
    server.faults += [f"status {soak.rng.choice(_STATUSES)}" for _ in range(3)]


ANOMALIES = [_reset_early, _reset_early, _write_late, _end_registrations, _spoil_status]


def delay_first_registrations(soak) -> None:
    """Let the first registrations of some nodes be done late; call this before nodes start."""
    for node in soak.nodes:
        if soak.rng.random() < 0.5:
            key = f"{NODES_PREFIX}node-{node.number}"
            soak.platform.late_writes[key] = soak.rng.uniform(*_LATE_RANGE_S)


def check_nodes(soak) -> list[str]:
    """Return what is wrong with the nodes at the end of a run."""
    violations = []
    platform = soak.platform
    ran = {request_id for server in platform.servers for request_id in server.runs}
    if soak.plant == "ended":
        soak.nodes[0].send_signal(signal.SIGKILL)
        soak.nodes[0].process.wait()
    for node in soak.nodes:
        name = f"node-{node.number}"
        if node.count_own_ends():
            violations.append(f"{name} ended by itself {node.count_own_ends()} times")
        lost = soak.unanswered.get(node.number, set()) & ran
        if len(lost) > _MAX_LOST:
            violations.append(f"{name} closed connections without a response to {sorted(lost)}")
        lease = platform.items.get(NODES_PREFIX + name, (b"", 0, 0))[2]
        if lease not in platform.leases:
            violations.append(f"{name} is not registered")
    return violations
