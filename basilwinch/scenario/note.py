"""Generates the release notes of scenarios."""

__all__ = ["render_fleet", "render_limit", "render_organisation", "render_server_state"]

# Accelerator, number per server, total memory in GB, tokens per second through one layer.
_ACCELERATORS = (
    ("a24", 1, 24, 6_000),
    ("b48", 1, 48, 12_000),
    ("c80", 1, 80, 24_000),
    ("d80", 2, 160, 44_000),
    ("e24", 2, 48, 9_000),
)
_GIGABYTE = 1_000_000_000


def render_fleet(servers: int, plain: int, zones, model: str, plain_service: str) -> str:
    """Return the first note: two services, a model of 24 layers, the servers and two organisations.

    :param servers: number of model servers
    :param plain: number of plain servers
    :param zones: names of the availability zones
    :param model: name of the model and of its service
    :param plain_service: name of the plain service
    """
    parts = [
        f'[[added.service]]\nname = "{model}"\nkind = "model"',
        f'[[added.service]]\nname = "{plain_service}"\nkind = "plain"\n'
        'non_idempotent = ["POST /orders"]',
        f'[[added.model]]\nname = "{model}"\nlayers = 24\nweight_bytes_per_layer = {_GIGABYTE}\n'
        f'kv_bytes_per_token_layer = 4096\nservice = "{model}"',
    ]
    for number in range(servers):
        accelerator, devices, memory_gb, tokens_per_s = _ACCELERATORS[number % len(_ACCELERATORS)]
        parts.append(
            _render_server(f"s{number + 1}", number, zones, model)
            + f'\naccelerator = "{accelerator}"\naccelerators = {devices}'
            + f"\nmemory_bytes = {memory_gb * _GIGABYTE}\ntokens_per_s = {tokens_per_s}"
        )
    for number in range(plain):
        parts.append(_render_server(f"p{number + 1}", servers + number, zones, plain_service))
    parts += [render_organisation(name) for name in ("first-org", "second-org")]
    return "\n\n".join(parts) + "\n"


def _render_server(name: str, number: int, zones, service: str) -> str:
    zone = zones[number % len(zones)]
    return (
        f'[[added.server]]\nname = "{name}"\naddress = "10.1.{number // 200}.{number % 200}:80"\n'
        f'zone = "{zone}"\nregion = "region"\nservice = "{service}"'
    )


def render_organisation(name: str) -> str:
    """Return a note that adds an organisation."""
    digest = name.encode().hex().ljust(64, "0")[:64]
    return f'[[added.organisation]]\nname = "{name}"\nkey_digest = "{digest}"\n'


def render_server_state(name: str, state: str) -> str:
    """Return a note that changes the state of a server."""
    return f'[[changed.server]]\nname = "{name}"\nstate = "{state}"\n'


def render_limit(name: str, rate: float) -> str:
    """Return a note that limits an organisation to ``rate`` requests per second."""
    return f'[[changed.organisation]]\nname = "{name}"\nrequests_per_s = {rate}\n'
