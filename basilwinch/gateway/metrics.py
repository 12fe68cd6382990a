"""Metrics of the gateway."""

import prometheus_client

__all__ = ["GatewayMetrics"]

_FIRST_TOKEN_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.3, 2, 4, 8, 16)
_TOKEN_GAP_BUCKETS_S = (0.003, 0.007, 0.014, 0.02, 0.027, 0.04, 0.08, 0.2, 1)


class GatewayMetrics:
    """Counters and histograms of the gateway.

    :param registry: registry that ``/metrics`` exports
    """

    __slots__ = ("registry", "requests", "tokens", "open_requests", "first_token", "token_gap")

    def __init__(self, registry: prometheus_client.CollectorRegistry):
        self.registry = registry
        self.requests = prometheus_client.Counter(
            "basilwinch_requests",
            "Requests by route and code",
            ["route", "code"],
            registry=registry,
        )
        self.tokens = prometheus_client.Counter(
            "basilwinch_tokens", "Tokens relayed to callers", registry=registry
        )
        self.open_requests = prometheus_client.Gauge(
            "basilwinch_open_requests", "Requests in progress", registry=registry
        )
        self.first_token = prometheus_client.Histogram(
            "basilwinch_first_token_seconds",
            "Time from the request to its first token",
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=registry,
        )
        self.token_gap = prometheus_client.Histogram(
            "basilwinch_token_gap_seconds",
            "Time between two tokens of a response",
            buckets=_TOKEN_GAP_BUCKETS_S,
            registry=registry,
        )
