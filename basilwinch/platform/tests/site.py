"""Configuration and settings for the tests and the soak test."""

__all__ = ["KEYS", "make_configuration", "make_settings"]

KEYS = [f"key-{number}" for number in range(6)]


def make_configuration() -> dict:
    """Return the initial configuration."""

    def route(name, prefix, kind, service, **fields):
        common = {"name": name, "host": "h.example", "prefix": prefix, "kind": kind}
        common |= {"service": service, "timeout-ms": 3000, "slo-ms": 400, "max-attempts": 2}
        return common | {"priority": 1} | fields

    engine = {
        "layers": 8,
        "layer-mb": 1000.0,
        "kv-token-bytes": 80000,
        "kinds": [{"name": "card", "mb": 6000.0, "pace": 1.0, "read-x": 1.0}],
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "read_per_s": 100000.0,
        "stride": 3,
        "models": [{"name": "m", "load-s": 0.1}],
    }
    return {
        "version": 3,
        "routes": [
            route("safe", "/safe/", "idempotent", "plain"),
            route("unsafe", "/unsafe/", "non_idempotent", "plain", **{"max-attempts": 1}),
            route("stream", "/s/", "streaming", "llm", **{"can-resume": True}),
        ],
        "services": [{"name": "plain"}, {"name": "llm", "engine": engine}],
        "tenants": [
            {"name": "org-a", "api-keys": KEYS[:3]},
            {"name": "org-b", "api-keys": KEYS[3:]},
        ],
    }


def make_settings(number: int, host: str, store: str) -> str:
    """Return the settings file of a node."""
    return f"""
node-name = "node-{number}"
ip = "{host}"
zone = "z0"
internal-ports = [8110, 8119]
[listen]
front = "{host}:8101"
ready = "{host}:8102"
[limits]
memory-mb = 300
max-fds = 4200
[bounds]
drain-ms = 2000
grace-s = 4
revoke-ms = 5000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 200
config-apply-ms = 2000
[platform]
address = "{store}"
"""
