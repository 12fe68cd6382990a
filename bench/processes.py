"""Starts the daemon and the stand-ins as processes of their own, for benchmarks and tests."""

import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

__all__ = ["Processes", "find_base_port"]

READY_TIMEOUT_S = 60.0
API_KEY = "example-key-bharat-press"


# Below the ports that the system gives to outgoing connections, which begin at 32,768.
FIRST_PORT, LAST_PORT = 12000, 32000
PORTS_PER_RANGE = 128  # platform, nodes and servers; from 100 on the nodes' peer ports
SERVER_PORT_OFFSET = 10  # ports of servers, which the example numbers from 21001 on


def find_base_port() -> int:
    """Return the first port of a free range; the process id sets where the search starts.

    Concurrent runs on one machine, such as two CI jobs, must not reach each other's platform.

    :raises TimeoutError: if no range is free
    """
    ranges = (LAST_PORT - FIRST_PORT) // PORTS_PER_RANGE
    for attempt in range(ranges):
        base = FIRST_PORT + (os.getpid() + attempt) % ranges * PORTS_PER_RANGE
        if all(_is_free(base + offset) for offset in range(PORTS_PER_RANGE)):
            return base
    raise TimeoutError(f"no range of {PORTS_PER_RANGE} free ports from {FIRST_PORT} to {LAST_PORT}")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


class Processes:
    """Child processes of a benchmark or test, ended together.

    :param folder: folder for log files
    :param base_port: first port used
    """

    def __init__(self, folder: pathlib.Path, base_port: int):
        self.folder = folder
        self.platform = f"127.0.0.1:{base_port}"
        self._base_port = base_port
        self._children: dict[str, subprocess.Popen] = {}
        self._pause = threading.Event()

    def start(self, name: str, *arguments: str) -> None:
        """Start a module with the running interpreter.

        :param name: name of the child and of its log file
        :param arguments: module and its arguments
        """
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115 - the child owns it
        command = [sys.executable, "-m", *arguments]
        environ = dict(os.environ, PYTHONPATH=os.getcwd())
        self._children[name] = subprocess.Popen(command, stdout=log, stderr=log, env=environ)
        log.close()

    def write_note(self) -> str:
        """Write the example's release note with servers on ports of this range; return its path."""
        text = pathlib.Path("examples/first.toml").read_text()

        def replace_port(match: re.Match) -> str:
            return f"127.0.0.1:{self._base_port + SERVER_PORT_OFFSET + int(match[1])}"

        path = self.folder / "note.toml"
        path.write_text(re.sub(r"127\.0\.0\.1:21(\d{3})", replace_port, text))
        return str(path)

    def start_standins(self, note: str = "examples/first.toml") -> None:
        """Start the platform and all servers of a release note."""
        arguments = ("basilwinch.standin", "--platform", self.platform, "--note", note)
        self.start("standins", *arguments)

    def start_node(self, number: int) -> str:
        """Start an entry node and return its address."""
        address = f"127.0.0.1:{self._base_port + number}"
        self.start(
            f"node{number}",
            "basilwinch.daemon",
            "--platform",
            self.platform,
            "--listen",
            address,
            "--peer-listen",
            f"127.0.0.1:{self._base_port + 100 + number}",
            "--peers",
            f"127.0.0.1:{self._base_port + 101}",
            "--cluster-keys",
            "1:00112233445566778899aabbccddeeff",
            "--drain-delay",
            "0.2",
            "--log-level",
            "warning",
        )
        return address

    def publish(self, note: str = "examples/first.toml") -> None:
        """Publish a release note once the platform listens.

        :raises TimeoutError: if the platform does not listen after ``READY_TIMEOUT_S``
        :raises subprocess.CalledProcessError: if the note is not accepted
        """
        self._wait_until_listening(self.platform)
        tool = ["-m", "basilwinch.cli.program", "publish", note]
        platform = ["--platform", f"http://{self.platform}"]
        subprocess.run([sys.executable, *tool, *platform], check=True, stdout=subprocess.DEVNULL)

    def _wait_until_listening(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1.0):
                return
            self._pause.wait(0.1)
        raise TimeoutError(f"{address} does not listen after {READY_TIMEOUT_S:g} s")

    def wait_until_serving(self, address: str, model: str) -> None:
        """Wait until a node serves a model.

        :raises TimeoutError: after ``READY_TIMEOUT_S``
        """
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if model in read_json(f"http://{address}/admin/state").get("stages", ()):
                return
            self._pause.wait(0.2)
        raise TimeoutError(f"{address} does not serve {model} after {READY_TIMEOUT_S:g} s")

    def signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a child."""
        self._children[name].send_signal(signal_number)

    def wait(self, name: str, seconds: float) -> int:
        """Wait for a child to end and return its exit code.

        :raises subprocess.TimeoutExpired: if it still runs after ``seconds``
        """
        return self._children[name].wait(seconds)

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for child in self._children.values():
            with contextlib.suppress(ProcessLookupError):
                child.send_signal(signal.SIGKILL)
            child.wait()


def read_json(url: str) -> dict:
    """Return a JSON document, or an empty one if the server does not answer."""
    try:
        with urllib.request.urlopen(url, timeout=2) as response:
            return json.load(response)
    except (urllib.error.URLError, OSError, ValueError):
        return {}


def read_metric(address: str, name: str) -> float:
    """Return the value of an unlabelled metric of a node.

    :raises KeyError: if the node has no such metric
    """
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as response:
        for line in response.read().decode().splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
    raise KeyError(name)
