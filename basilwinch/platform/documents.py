"""Decoding of the documents that the operator and the servers write to the store."""

import re

import structlog

from basilwinch.chains.record import MAX_LAYERS
from basilwinch.document import MAX_INTEGER, Fields, parse_address, parse_document
from basilwinch.exception import MALFORMED_DOCUMENT, DocumentError
from basilwinch.view import (
    AcceleratorKind,
    CallerLimits,
    Configuration,
    Engine,
    Organisation,
    Route,
    RouteKind,
    ServerEntry,
    Service,
)

__all__ = [
    "CONFIGURATION_KEY",
    "SERVERS_PREFIX",
    "decode_configuration",
    "decode_limits",
    "decode_organisation",
    "decode_route",
    "decode_server",
    "decode_service",
]

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_MAX_SLOTS = 1 << 20  # far above what any card holds
# Ids are sent in header fields, and to other nodes on a line.
_SERVER_ID = re.compile(r"[!-~]{1,200}")
_log = structlog.get_logger("documents")


def decode_configuration(value: bytes) -> Configuration | None:
    """Decode the configuration; log an error and return None if it is malformed."""
    try:
        fields = Fields(parse_document(value), "configuration")
        services = [decode_service(service) for service in fields.read_objects("services", ())]
        return Configuration(
            fields.read_integer("version", 0),
            [decode_route(route) for route in fields.read_objects("routes", ())],
            {service.name: service for service in services},
            _decode_organisations(fields.read_objects("tenants", None)),
            decode_limits(fields.read_object("limits")),
        )
    except DocumentError as error:
        _log.error("configuration malformed", reason=error.failure.reason)
        return None


def decode_route(route: Fields) -> Route:
    """Return a route.

    :raises DocumentError: if a field has a wrong type or is missing
    """
    timeout_ms = route.read_number("timeout-ms", 0)
    return Route(
        name=route.read_text("name"),
        host=route.read_text("host"),
        prefix=route.read_text("prefix"),
        kind=_decode_choice(route, "kind", _ROUTE_KINDS),
        targets=_decode_targets(route),
        timeout_s=timeout_ms / 1000,
        objective_s=route.read_number("slo-ms", 0, default=timeout_ms) / 1000,
        gap_s=route.read_number("gap-target-ms", 0, default=0) / 1000,
        max_attempts=route.read_integer("max-attempts", 0, default=1),
        priority=route.read_integer("priority", -MAX_INTEGER, default=0),
        open=route.read_flag("no-auth"),
        resumable=route.read_flag("can-resume"),
    )


def _decode_targets(route: Fields) -> tuple:
    """Return pairs of a service and its weight; the weights are not all 0."""
    split = route.read_objects("traffic-split", ())
    if not split:
        return ((route.read_text("service"), 1),)
    targets = tuple((part.read_text("service"), part.read_number("weight", 0)) for part in split)
    if not any(weight for _, weight in targets):
        raise DocumentError(MALFORMED_DOCUMENT.because("all weights of a traffic-split are 0"))
    return targets


def _decode_choice(fields: Fields, name: str, choices: dict):
    """Return the value that stands for the text of a field."""
    text = fields.read_text(name)
    if text not in choices:
        reason = f"{name} is {text[:40]!r}, expected one of {sorted(choices)}"
        raise DocumentError(MALFORMED_DOCUMENT.because(reason))
    return choices[text]


def decode_service(service: Fields) -> Service:
    """Return a service.

    :raises DocumentError: if a field has a wrong type or is missing
    """
    return Service(service.read_text("name"), _decode_engine(service.read_object("engine")))


def _decode_engine(engine: Fields) -> Engine | None:
    """Return the cost model of an engine, None for one that does not hold ranges of layers."""
    if engine.get("layers") is None:
        return None
    layers = engine.read_integer("layers", 1, MAX_LAYERS)
    kinds = [_decode_kind(kind) for kind in engine.read_objects("kinds")]
    usual = engine.read_object("usual")
    prompt_tokens = usual.read_number("prompt", 0, default=500)
    output_tokens = usual.read_number("answer", 0, default=200)
    loads_s = [model.read_number("load-s", 0, default=0) for model in engine.read_objects("models")]
    return Engine(
        layers=layers,
        layer_mb=engine.read_positive("layer-mb"),
        # "kv-token-bytes" is the KV cache of one token in all layers.
        token_layer_bytes=engine.read_positive("kv-token-bytes") / layers,
        kinds={kind.name: kind for kind in kinds},
        step_ms=engine.read_positive("step_ms"),
        sequence_ms=engine.read_number("per_seq_ms", 0),
        context_ms=engine.read_number("context_per_k", 0),
        prefill_tokens_per_ms=engine.read_positive("read_per_s") / 1000,
        stride=engine.read_integer("stride", 1, default=1),
        mean_request_tokens=max(1, prompt_tokens + output_tokens),
        load_s=max(loads_s, default=0),
        token_transfer_s=_decode_transfer(engine),
        mean_output_tokens=output_tokens,
    )


def _decode_kind(kind: Fields) -> AcceleratorKind:
    # "mb" is the memory of a whole card; "pace" scales the time of a step, "read-x" the time to
    # process a prompt.
    return AcceleratorKind(
        kind.read_text("name"),
        kind.read_positive("mb"),
        kind.read_positive("pace"),
        kind.read_positive("read-x"),
    )


def _decode_transfer(engine: Fields) -> float:
    """Return the time in seconds for which a token occupies the link that all zones share.

    Without a rate, or bytes of a token, it is 0, i.e. the link has no limit.
    """
    if not engine.get("pipe-mbps") or not engine.get("act-bytes"):
        return 0.0
    return engine.read_positive("act-bytes") * 8 / (engine.read_positive("pipe-mbps") * 1e6)


def _decode_organisations(tenants: list[Fields] | None) -> dict[str, Organisation] | None:
    if tenants is None:
        return None
    organisations = {}
    for tenant in tenants:
        organisation, keys = decode_organisation(tenant)
        organisations |= dict.fromkeys(keys, organisation)
    return organisations


def decode_organisation(tenant: Fields) -> tuple[Organisation, tuple[str, ...]]:
    """Return an organisation and its API keys.

    :raises DocumentError: if a field has a wrong type or is missing
    """
    priority = tenant.read_integer("priority", -MAX_INTEGER, default=None)
    organisation = Organisation(tenant.read_text("name"), priority)
    return organisation, tuple(tenant.read_texts("api-keys", ()))


def decode_limits(limits: Fields) -> CallerLimits:
    """Return the limits of callers, with the default of each that is missing.

    :raises DocumentError: if a limit has a wrong type or is negative
    """
    default = CallerLimits()
    return CallerLimits(
        limits.read_integer("max-header-bytes", 0, default=default.header_bytes),
        limits.read_integer("max-body-bytes", 0, default=default.body_bytes),
        limits.read_number("header-timeout-ms", 0, default=default.header_s * 1000) / 1000,
        limits.read_number("idle-timeout-ms", 0, default=default.idle_s * 1000) / 1000,
    )


def decode_server(key: str, value: bytes) -> ServerEntry | None:
    """Decode the entry of a server; log a warning and return None if it is malformed."""
    server_id = key.removeprefix(SERVERS_PREFIX)
    try:
        if not _SERVER_ID.fullmatch(server_id):
            raise DocumentError(MALFORMED_DOCUMENT.because("the id is not printable ASCII"))
        fields = Fields(parse_document(value), "entry")
        host, port = parse_address(fields.read_text("address"))
        return ServerEntry(
            id=server_id,
            service=fields.read_text("service"),
            host=host,
            port=port,
            zone=fields.read_text("zone"),
            slots=fields.read_integer("slots", 0, _MAX_SLOTS),
            leaving=_decode_choice(fields, "state", _LEAVING_BY_STATE),
            kind=fields.read_text("kind", ""),
            layers=_decode_layers(fields.get("layers")),
            born_ms=fields.read_integer("born", 0, default=0),
            heartbeat_sequence=fields.read_integer("sequence", 0, default=0),
        )
    except DocumentError as error:
        _log.warning("server entry malformed", server=server_id, reason=error.failure.reason)
        return None


def _decode_layers(layers) -> tuple[int, int] | None:
    """Return first layer and end, or None if the server holds no single range.

    Servers report a table, or a list of tables while their layers change.
    """
    if isinstance(layers, list):
        layers = layers[0] if len(layers) == 1 else None
    if not layers:
        return None
    held = Fields(layers, "entry: layers")
    first, end = held.read_integer("from", 0, MAX_LAYERS), held.read_integer("to", 0, MAX_LAYERS)
    return (first, end) if first < end else None
