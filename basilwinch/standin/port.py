"""Free ports for servers that tests start."""

import contextlib
import fcntl
import os
import pathlib
import random
import socket
import tempfile

__all__ = ["find_free_port"]

# Below the range from which the system takes the ports of outgoing connections, so that none of
# them takes the port before the server listens on it.
_FIRST_PORT, _END_PORT = 20000, 32768
_MAX_TRIES = 1000

# Ports that this process has returned. Each also locks a byte of a file for as long as the process
# runs, which keeps other processes of the same user from returning it.
_drawn: set[int] = set()
_locks: dict[int, int] = {}


def find_free_port(host: str = "127.0.0.1") -> int:
    """Return a port of a loopback address that nothing listens on, each time another one.

    No process of the same user gets it, too, until this one has ended. So a server may begin to
    listen on it at any time.

    :raises OSError: if none is found
    """
    rng = random.SystemRandom()
    for _ in range(_MAX_TRIES):
        port = rng.randrange(_FIRST_PORT, _END_PORT)
        if port not in _drawn and _reserve(port) and _is_free(host, port):
            _drawn.add(port)
            return port
    raise OSError(f"no free port of {host} found")


def _reserve(port: int) -> bool:
    """Lock the byte of a port; return False if another process holds it.

    The system releases the locks of a process at its end, whatever ends it.
    """
    try:
        fcntl.lockf(_open_locks(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _open_locks() -> int:
    """Return the descriptor of the file of locks, opened once in each process.

    A process that was forked does not inherit the locks, and needs a descriptor of its own: closing
    a shared one would release them.
    """
    process = os.getpid()
    if process not in _locks:
        path = pathlib.Path(tempfile.gettempdir(), f"basilwinch-ports-{os.getuid()}")
        _locks[process] = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    return _locks[process]


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.bind((host, port))
        return True
    return False
