"""Orders and their three outcomes."""

from urllib.parse import quote

from basilwinch.record import Record

__all__ = [
    "OrderConfig",
    "OrderDone",
    "OrderNotRun",
    "OrderRequest",
    "OrderUnknown",
    "make_query_path",
]


class OrderRequest(Record):
    """A non-idempotent call, which must run at most once.

    :param organisation: name of the organisation
    :param order_id: the caller's ``Idempotency-Key``, unique in the organisation
    :param service: name of the plain service
    :param servers: servers of the service in order of preference
    :param call: :class:`~basilwinch.server.ServiceCall`
    """

    __slots__ = ("organisation", "order_id", "service", "servers", "call")


class OrderDone(Record):
    """The order ran; ``reply`` is the service's reply."""

    __slots__ = ("reply",)


class OrderNotRun(Record):
    """The order did not run and never will under this id; ``failure`` gives the reason."""

    __slots__ = ("failure",)

    def __bool__(self):
        return False


class OrderUnknown(Record):
    """Whether the order ran is not known yet; a later lookup can tell.

    :param order_id: id to look up
    :param failure: why the outcome is not known, or None
    """

    __slots__ = ("order_id", "failure")
    _defaults = {"failure": None}

    def __bool__(self):
        return False


class OrderConfig(Record):
    """Settings of order processing; times in seconds.

    :param node: name of this node
    :param prefix: prefix of the keys in the key-value service
    :param query_paths: by service, the path of an idempotent GET that tells whether an order ran:
        200 if it did, 404 if it did not. ``{order_id}`` and ``{path}`` are replaced. Without a
        path, the outcome of an order whose reply was lost stays unknown.
    :param retention_s: records of ids that contain a time are kept this long; an older id is not
        run
    :param max_clock_skew_s: largest difference between the clocks of two nodes
    :param require_timed_ids: refuse ids that contain no time. Their records never expire, which
        takes too much storage in the largest supported fleet.
    :param min_outage_s: once a platform outage has lasted this long, orders issued during it are
        answered with "not run"
    :param max_platform_wait_s: longest wait for the platform before the answer is "unknown"
    :param max_send_age_s: a claim older than this by the clock of its node is no longer sent
    :param max_call_age_s: age of the claim at which its call is cancelled
    :param max_effect_delay_s: a call that was sent takes effect within this time or never
    :param max_resolve_wait_s: longest wait for another copy or for a query before the answer is
        "unknown"
    :param max_outcome_delay_s: longest delay of an outcome that waits to share the write of a claim
    :param max_group_size: largest number of claims and outcomes in one write; etcd allows 128
        operations
    :param probe_interval_s: a node reads one key when no call to the platform has succeeded for
        this long, so that it notices each outage in which orders are answered with "not run"
    :param max_reply_bytes: larger replies are not stored; a duplicate then gets an empty body
    :param max_remembered_outcomes: number of outcomes kept in memory for duplicates
    """

    __slots__ = (
        "node",
        "prefix",
        "query_paths",
        "retention_s",
        "max_clock_skew_s",
        "require_timed_ids",
        "min_outage_s",
        "max_platform_wait_s",
        "max_send_age_s",
        "max_call_age_s",
        "max_effect_delay_s",
        "max_resolve_wait_s",
        "max_outcome_delay_s",
        "max_group_size",
        "probe_interval_s",
        "max_reply_bytes",
        "max_remembered_outcomes",
    )
    _defaults = {
        "prefix": "orders/",
        "query_paths": {},
        "retention_s": 3600.0,
        "max_clock_skew_s": 0.25,
        "require_timed_ids": False,
        "min_outage_s": 5.0,
        "max_platform_wait_s": 12.0,
        "max_send_age_s": 10.0,
        "max_call_age_s": 20.0,
        "max_effect_delay_s": 30.0,
        "max_resolve_wait_s": 5.0,
        "max_outcome_delay_s": 2.0,
        "max_group_size": 60,
        "probe_interval_s": 2.0,
        "max_reply_bytes": 4096,
        "max_remembered_outcomes": 10_000,
    }


def make_query_path(config: OrderConfig, service: str, order_id: str, path: str) -> str | None:
    """Return the path that queries the outcome of an order, or None if the service has none.

    >>> config = OrderConfig("n1", query_paths={"depozit": "/releases/{order_id}"})
    >>> make_query_path(config, "depozit", "o1", "/releases")
    '/releases/o1'
    """
    template = config.query_paths.get(service)
    if template is None:
        return None
    return template.replace("{order_id}", quote(order_id, safe="")).replace("{path}", path)
