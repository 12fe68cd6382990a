"""Serves stand-ins of etcd and of all servers of a release note at their addresses."""

import argparse

import structlog
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from basilwinch.catalog import Catalog, ServiceKind
from basilwinch.observability import configure_logs
from basilwinch.release import read_note_file
from basilwinch.release.schema import KINDS
from basilwinch.settings import (
    AddressKind,
    CountKind,
    Setting,
    Settings,
    TextKind,
    add_flags,
    read_or_exit,
)
from basilwinch.standin.client import DirectClient
from basilwinch.standin.engine import StandinEngines
from basilwinch.standin.etcd import EtcdGateway
from basilwinch.standin.http import StandinServers
from basilwinch.standin.keyvalue import MemoryKeyValueStore
from basilwinch.standin.service import PlainServices

__all__ = ["STANDIN_SETTINGS", "main"]

STANDIN_SETTINGS = (
    Setting(
        "platform", AddressKind(), "127.0.0.1:2379", "Address on which the stand-in of etcd listens"
    ),
    Setting(
        "note", TextKind(True), "examples/first.toml", "Release note file that lists the servers"
    ),
    Setting(
        "seed", CountKind(0, 2**31 - 1), "1", "Seed of the link delays and of the lost cache events"
    ),
)


def main(argv=None) -> None:
    """Serve the stand-ins until interrupted.

    :param argv: command-line arguments, by default those of the process
    """
    parser = argparse.ArgumentParser("python -m basilwinch.standin", description=__doc__)
    add_flags(parser, STANDIN_SETTINGS)
    settings = read_or_exit(parser, STANDIN_SETTINGS, argv)
    configure_logs("json", "info")
    trio.run(run_standins, settings)


async def run_standins(settings: Settings) -> None:
    """Serve the stand-ins until cancelled.

    :raises SystemExit: if the release note is not valid
    """
    catalog = _read_catalog(settings.note)
    engines, plain = [], []
    for server in catalog.servers.values():
        service = catalog.services[server.service]
        (engines if service.kind is ServiceKind.MODEL else plain).append(server)
    standins = StandinEngines(engines, seed=settings.seed)
    client = DirectClient(standins, PlainServices([server.name for server in plain]))
    ports = {int(s.address.rpartition(":")[2]): s for s in catalog.servers.values()}
    servers = StandinServers(client, ports, catalog.services.get)
    etcd = EtcdGateway(MemoryKeyValueStore())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(standins.run)
        addresses = [server.address for server in catalog.servers.values()]
        nursery.start_soon(_serve, servers, addresses)
        nursery.start_soon(_serve, etcd, ["{}:{}".format(*settings.platform)])
        structlog.get_logger("standin").info("stand-ins are serving", servers=len(addresses))


async def _serve(application, addresses: list[str]) -> None:
    config = Config()
    config.bind = addresses
    config.errorlog = None
    await serve(application, config, mode="asgi")


def _read_catalog(path: str) -> Catalog:
    note = read_note_file(path)
    if isinstance(note, list):
        raise SystemExit("\n".join(failure.reason for failure in note))
    sections: dict[str, dict] = {}
    for item in note.items:
        kind = KINDS[item.kind]
        entry = kind.build({"name": item.name} | item.fields)
        sections.setdefault(kind.section, {})[item.name] = entry
    return Catalog(1, **sections)
