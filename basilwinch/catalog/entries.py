"""Entries of the catalog, as records compared by content."""

import enum

from basilwinch.record import Record

__all__ = [
    "Adapter",
    "Holding",
    "Model",
    "Organisation",
    "Server",
    "ServerState",
    "Service",
    "ServiceKind",
    "Version",
]


class ServerState(enum.StrEnum):
    """Whether a server accepts new requests."""

    LIVE = "live"
    LEAVING = "leaving"


class ServiceKind(enum.StrEnum):
    """Whether a service runs a model or is a plain HTTP service."""

    MODEL = "model"
    PLAIN = "plain"


class _Entry(Record):
    """A catalog entry with a JSON form."""

    __slots__ = ()

    @classmethod
    def from_dict(cls, fields: dict):
        """Build an entry from its JSON form.

        :param fields: values by field name
        :raises TypeError: on a missing or unknown field
        :raises ValueError: on an unknown enumeration value
        """
        return cls(**{name: _freeze(value) for name, value in fields.items()})


def _freeze(value):
    return tuple(value) if isinstance(value, list) else value


class Model(_Entry):
    """A language model whose layers can be divided among servers.

    :param name: unique name
    :param layers: number of layers
    :param weight_bytes_per_layer: bytes of weights of one layer
    :param kv_bytes_per_token_layer: bytes of KV cache of one token in one layer
    :param service: name of the model service that serves it
    """

    __slots__ = ("name", "layers", "weight_bytes_per_layer", "kv_bytes_per_token_layer", "service")
    _defaults = {"service": ""}


class Version(_Entry):
    """A version of a model's weights; ``digest`` identifies the weights."""

    __slots__ = ("name", "model", "digest")


class Adapter(_Entry):
    """A low-rank adapter of a model; ``weight_bytes`` is its size over all layers."""

    __slots__ = ("name", "model", "weight_bytes")


class Holding(_Entry):
    """Stages of one server that nodes may route requests to.

    A stage is a layer range of a model version.

    :param name: name of the server
    :param stages: one text ``model/version/first/end`` for each layer range, ``end`` excluded
    """

    __slots__ = ("name", "stages")


class Server(_Entry):
    """A backend server.

    :param name: unique name
    :param address: IP address and port, such as ``10.0.0.1:8000``
    :param zone: availability zone
    :param region: region of the zone
    :param accelerator: kind of accelerator, empty for plain services
    :param accelerators: number of accelerators
    :param memory_bytes: bytes of memory for weights and KV cache
    :param service: name of the service it belongs to
    :param checks_fencing: whether it refuses orders with an old fencing token
    :param tokens_per_s: tokens a second through one layer at full batch
    :param state: :class:`ServerState`
    """

    __slots__ = (
        "name",
        "address",
        "zone",
        "region",
        "accelerator",
        "accelerators",
        "memory_bytes",
        "service",
        "checks_fencing",
        "tokens_per_s",
        "state",
    )
    _defaults = {
        "accelerator": "",
        "accelerators": 0,
        "memory_bytes": 0,
        "checks_fencing": True,
        "tokens_per_s": 0.0,
        "state": ServerState.LIVE,
    }

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.state = ServerState(self.state)


class Service(_Entry):
    """A service behind the router.

    :param name: unique name
    :param kind: :class:`ServiceKind`
    :param non_idempotent: calls that must not be repeated, each as ``"METHOD /path-prefix"``
    :param order_query: path of an idempotent GET that answers 200 if an order ran and 404 if not;
        ``{order_id}`` and ``{path}`` are replaced. If empty, the outcome of an order whose reply
        was lost cannot be found out.
    """

    __slots__ = ("name", "kind", "non_idempotent", "order_query")
    _defaults = {"non_idempotent": (), "order_query": ""}

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.kind = ServiceKind(self.kind)

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a call may be repeated.

        >>> orders = Service("orderdesk", "plain", ("POST /orders",))
        >>> orders.is_idempotent("POST", "/orders/17"), orders.is_idempotent("GET", "/orders")
        (False, True)
        """
        for rule in self.non_idempotent:
            rule_method, _, prefix = rule.partition(" ")
            if rule_method.upper() == method.upper() and path.startswith(prefix):
                return False
        return True


class Organisation(_Entry):
    """An organisation whose requests the router serves, with its limits.

    :param name: unique name
    :param key_digest: hexadecimal SHA-256 digest of its API key
    :param requests_per_s: limit of requests a second over all nodes, 0 for no limit
    :param tokens_per_s: limit of generated tokens a second over all nodes, 0 for no limit
    :param share: weight in the fair queue
    :param priority: larger goes first among requests with equal start tags in the fair queue
    :param models: names of the models that it may use, empty for all
    """

    __slots__ = (
        "name",
        "key_digest",
        "requests_per_s",
        "tokens_per_s",
        "share",
        "priority",
        "models",
    )
    _defaults = {
        "requests_per_s": 0.0,
        "tokens_per_s": 0.0,
        "share": 1.0,
        "priority": 0,
        "models": (),
    }
