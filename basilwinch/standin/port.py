"""Free ports for servers that tests start."""

import random
import socket

__all__ = ["find_free_port"]

# Below the range from which the system takes the ports of outgoing connections, so that none of
# them takes the port before the server listens on it.
_FIRST_PORT, _END_PORT = 20000, 32768
_MAX_TRIES = 100


def find_free_port(host: str = "127.0.0.1") -> int:
    """Return a port of a loopback address that nothing listens on.

    :raises OSError: if none is found
    """
    rng = random.SystemRandom()
    for _ in range(_MAX_TRIES):
        port = rng.randrange(_FIRST_PORT, _END_PORT)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
    raise OSError(f"no free port of {host} found")
