"""Decoding of the documents that the operator and the servers write to the store."""

import json

import structlog

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

__all__ = ["CONFIGURATION_KEY", "SERVERS_PREFIX", "decode_configuration", "decode_server"]

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_log = structlog.get_logger("documents")


def decode_configuration(value: bytes) -> Configuration | None:
    """Decode the configuration; log an error and return None if it is malformed."""
    try:
        fields = json.loads(value)
        return Configuration(
            fields["version"],
            [_decode_route(route) for route in fields.get("routes", ())],
            {service["name"]: _decode_service(service) for service in fields.get("services", ())},
            _decode_organisations(fields.get("tenants")),
            _decode_limits(fields.get("limits") or {}),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        _log.error("configuration malformed", error=repr(error))
        return None


def _decode_route(route: dict) -> Route:
    split = route.get("traffic-split")
    if split:
        targets = tuple((part["service"], part["weight"]) for part in split)
    else:
        targets = ((route["service"], 1),)
    return Route(
        name=route["name"],
        host=route["host"],
        prefix=route["prefix"],
        kind=_ROUTE_KINDS[route["kind"]],
        targets=targets,
        timeout_s=route["timeout-ms"] / 1000,
        objective_s=route.get("slo-ms", route["timeout-ms"]) / 1000,
        gap_s=route.get("gap-target-ms", 0) / 1000,
        max_attempts=route.get("max-attempts", 1),
        priority=route.get("priority", 0),
        open=bool(route.get("no-auth")),
        resumable=bool(route.get("can-resume")),
    )


def _decode_service(service: dict) -> Service:
    engine = service.get("engine")
    has_layers = isinstance(engine, dict) and "layers" in engine
    return Service(service["name"], _decode_engine(engine, has_layers))


def _decode_engine(engine: dict | None, has_layers: bool) -> Engine | None:
    if not has_layers:
        return None
    # "mb" is the memory of a whole card; "pace" scales the time of a step, "read-x" the time to
    # process a prompt.
    kinds = {
        kind["name"]: AcceleratorKind(kind["name"], kind["mb"], kind["pace"], kind["read-x"])
        for kind in engine["kinds"]
    }
    usual = engine.get("usual") or {}
    return Engine(
        layers=engine["layers"],
        layer_mb=engine["layer-mb"],
        # "kv-token-bytes" is the KV cache of one token in all layers.
        token_layer_bytes=engine["kv-token-bytes"] / engine["layers"],
        kinds=kinds,
        step_ms=engine["step_ms"],
        sequence_ms=engine["per_seq_ms"],
        context_ms=engine["context_per_k"],
        prefill_tokens_per_ms=engine["read_per_s"] / 1000,
        stride=engine.get("stride", 1),
        mean_request_tokens=usual.get("prompt", 500) + usual.get("answer", 200),
        load_s=max(model.get("load-s", 0) for model in engine["models"]),
        token_transfer_s=_decode_transfer(engine),
    )


def _decode_transfer(engine: dict) -> float:
    """Return the time in seconds for which a token occupies the link that all zones share.

    Without a rate it is 0, i.e. the link has no limit.
    """
    rate_mbps = engine.get("pipe-mbps", 0)
    return engine.get("act-bytes", 0) * 8 / (rate_mbps * 1e6) if rate_mbps else 0.0


def _decode_organisations(tenants) -> dict[str, Organisation] | None:
    if tenants is None:
        return None
    return {
        key: Organisation(tenant["name"], tenant.get("priority"))
        for tenant in tenants
        for key in tenant.get("api-keys", ())
    }


def _decode_limits(limits: dict) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        limits.get("max-header-bytes", default.header_bytes),
        limits.get("max-body-bytes", default.body_bytes),
        limits.get("header-timeout-ms", default.header_s * 1000) / 1000,
        limits.get("idle-timeout-ms", default.idle_s * 1000) / 1000,
    )


def decode_server(key: str, value: bytes) -> ServerEntry | None:
    """Decode the entry of a server; log a warning and return None if it is malformed."""
    server_id = key.removeprefix(SERVERS_PREFIX)
    try:
        fields = json.loads(value)
        host, _, port = fields["address"].rpartition(":")
        entry = ServerEntry(
            id=server_id,
            service=fields["service"],
            host=host,
            port=int(port),
            zone=fields["zone"],
            slots=fields["slots"],
            leaving=_LEAVING_BY_STATE[fields["state"]],
            kind=fields.get("kind", ""),
            layers=_decode_layers(fields.get("layers")),
            born_ms=fields.get("born", 0),
            heartbeat_sequence=fields.get("sequence", 0),
        )
        _check_types(entry)
        return entry
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        _log.warning("server entry malformed", server=server_id, error=repr(error))
        return None


def _decode_layers(layers) -> tuple[int, int] | None:
    """Return first layer and end, or None if the server holds no single range.

    Servers report a table, or a list of tables while their layers change.
    """
    if isinstance(layers, list):
        layers = layers[0] if len(layers) == 1 else None
    if not layers or layers["to"] <= layers["from"]:
        return None
    return (int(layers["from"]), int(layers["to"]))


def _check_types(entry: ServerEntry) -> None:
    """Raise TypeError for a field of the wrong type."""
    texts = (entry.service, entry.zone, entry.kind, entry.host)
    numbers = (entry.slots, entry.born_ms, entry.heartbeat_sequence)
    if not all(isinstance(text, str) for text in texts) or not entry.host:
        raise TypeError(
            f"service, zone, kind and host must be strings, host not empty; got {texts!r}"
        )
    if not all(isinstance(n, int) and not isinstance(n, bool) for n in numbers):
        raise TypeError(f"slots, born and sequence must be integers; got {numbers!r}")
