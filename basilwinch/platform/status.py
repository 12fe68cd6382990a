"""Command that shows configuration, servers, nodes, layouts and leases from the store."""

import argparse
import json
import sys

import trio

from basilwinch.chains.controller import LAYOUT_PREFIX
from basilwinch.document import Fields, parse_document
from basilwinch.exception import BasilwinchError, DocumentError
from basilwinch.lease.holder import LEASE_KEY_PREFIX
from basilwinch.peers.exchange import NODES_PREFIX
from basilwinch.platform.documents import (
    CONFIGURATION_KEY,
    SERVERS_PREFIX,
    decode_configuration,
    decode_server,
)
from basilwinch.platform.store import MetadataStore

__all__ = ["collect_status", "main"]

_UNAVAILABLE_EXIT_STATUS = 1


async def collect_status(store) -> dict:
    """Read all keys of the store and return a summary that JSON can represent.

    :raises PlatformError: if the store does not answer
    """
    status = {"configuration": None, "servers": [], "nodes": [], "layouts": {}, "leases": {}}
    after = ""
    while True:
        page, position = await store.scan_at("", after)
        for item in page.items:
            _add_item(status, item)
        if not page.more:
            return status | {"revision": position.revision}
        after = page.items[-1].key


def _add_item(status: dict, item) -> None:
    if item.key == CONFIGURATION_KEY:
        configuration = decode_configuration(item.value)
        if configuration is not None:
            services = sorted(configuration.services)
            status["configuration"] = {
                "version": configuration.version,
                "routes": len(configuration.routes),
                "services": services,
            }
    elif item.key.startswith(SERVERS_PREFIX):
        entry = decode_server(item.key, item.value)
        if entry is not None:
            status["servers"].append(entry.to_dict())
    elif item.key.startswith(NODES_PREFIX):
        status["nodes"].append(item.key.removeprefix(NODES_PREFIX))
    elif item.key.startswith(LAYOUT_PREFIX):
        status["layouts"][item.key.removeprefix(LAYOUT_PREFIX)] = _read_layout(item.value)
    elif item.key.startswith(LEASE_KEY_PREFIX) and item.key.endswith("/holder"):
        task = item.key.removeprefix(LEASE_KEY_PREFIX).removesuffix("/holder")
        status["leases"][task] = _read_owner(item.value)


def _read_layout(value: bytes):
    """Return a layout as it is stored, or the reason why it can't be read."""
    try:
        return parse_document(value)
    except DocumentError as error:
        return str(error)


def _read_owner(value: bytes) -> str:
    """Return the holder of a lease, or the reason why it can't be read."""
    try:
        return Fields(parse_document(value), "lease").read_text("owner")
    except DocumentError as error:
        return str(error)


def _render(status: dict) -> str:
    lines = [f"revision {status['revision']}"]
    configuration = status["configuration"]
    if configuration is None:
        lines.append("no configuration")
    else:
        lines.append("configuration {version}, {routes} routes".format(**configuration))
    lines += [f"lease {task}: {owner}" for task, owner in sorted(status["leases"].items())]
    lines.append(f"nodes: {', '.join(sorted(status['nodes'])) or 'none'}")
    for server in sorted(status["servers"], key=lambda s: (s["service"], s["id"])):
        layers = server["layers"]
        held = f"{server['kind']} layers {layers[0]}-{layers[1]}" if layers else server["kind"]
        state = "leaving" if server["leaving"] else "ready"
        columns = [server["id"], server["service"], server["zone"], state, held]
        lines.append("  ".join(column for column in columns if column))
    return "\n".join(lines)


def main(arguments=None) -> int:
    """Print the status; return the exit status."""
    parser = argparse.ArgumentParser(
        description="Show configuration, leases, nodes and servers; with --json also layouts."
    )
    parser.add_argument("store", help="IP:PORT of the platform's store")
    parser.add_argument("--json", action="store_true", help="print one JSON document")
    options = parser.parse_args(arguments)
    host, _, port = options.store.rpartition(":")
    if not host or not port.isdigit():
        parser.error(f"expected IP:PORT, got {options.store!r}")
    try:
        status = trio.run(collect_status, MetadataStore(host, int(port)))
    except BasilwinchError as error:
        print(error, file=sys.stderr)
        return _UNAVAILABLE_EXIT_STATUS
    print(json.dumps(status) if options.json else _render(status))
    return 0


if __name__ == "__main__":
    sys.exit(main())
