"""Orders and their three outcomes."""

from urllib.parse import quote

from basilwinch.record import Record

__all__ = [
    "OrderConfig",
    "OrderDone",
    "OrderNotRun",
    "OrderRequest",
    "OrderUnknown",
    "make_query",
]


class OrderRequest(Record):
    """A call that must not run twice.

    :param organisation: name of the organisation
    :param order_id: the caller's ``Idempotency-Key``, unique in the organisation
    :param service: name of the plain service
    :param servers: servers of the service, preferred first
    :param call: :class:`~basilwinch.server.ServiceCall`
    """

    __slots__ = ("organisation", "order_id", "service", "servers", "call")


class OrderDone(Record):
    """The order ran; ``reply`` is the service's reply."""

    __slots__ = ("reply",)


class OrderNotRun(Record):
    """The order did not run and never will under this id; ``failure`` says why."""

    __slots__ = ("failure",)

    def __bool__(self):
        return False


class OrderUnknown(Record):
    """Whether the order ran is not known yet; a later lookup settles it.

    :param order_id: id to look up
    :param failure: why it is not known, or None
    """

    __slots__ = ("order_id", "failure")
    _defaults = {"failure": None}

    def __bool__(self):
        return False


class OrderConfig(Record):
    """Settings of order processing; times in seconds.

    :param node: name of this node
    :param prefix: prefix of the keys in the key-value service
    :param queries: by service, the path of an idempotent GET that tells whether an order ran: 200
        if it did, 404 if it did not. ``{order_id}`` and ``{path}`` are replaced. Without one, a
        lost reply stays unknown.
    :param retention_s: records of timed ids are kept this long; an older id is not run
    :param skew_s: largest difference between the clocks of two nodes
    :param require_timed_ids: refuse ids that carry no time. Their records are kept for ever, which
        the design size cannot afford.
    :param wait_s: an outage of the platform this long makes an order issued in it "not run"
    :param hold_s: longest wait for the platform before "unknown" is answered
    :param send_limit_s: a claim older than this by the holder's clock is not sent any more
    :param call_limit_s: a call is given up when its claim is this old
    :param service_max_s: a call that was sent takes effect within this time or never
    :param settle_wait_s: longest wait for another copy or for a query before "unknown" is answered
    :param outcome_delay_s: longest wait of an outcome for a claim to share its write
    :param group: claims and outcomes in one write at most; etcd takes 128 operations
    :param probe_s: longest time without a call to the platform, so that each node notices an outage
        that is long enough to refuse orders
    :param reply_bytes: larger replies are not stored; a duplicate then gets an empty body
    :param remembered: outcomes kept in memory for duplicates
    """

    __slots__ = (
        "node",
        "prefix",
        "queries",
        "retention_s",
        "skew_s",
        "require_timed_ids",
        "wait_s",
        "hold_s",
        "send_limit_s",
        "call_limit_s",
        "service_max_s",
        "settle_wait_s",
        "outcome_delay_s",
        "group",
        "probe_s",
        "reply_bytes",
        "remembered",
    )
    _defaults = {
        "prefix": "orders/",
        "queries": {},
        "retention_s": 3600.0,
        "skew_s": 0.25,
        "require_timed_ids": False,
        "wait_s": 5.0,
        "hold_s": 12.0,
        "send_limit_s": 10.0,
        "call_limit_s": 20.0,
        "service_max_s": 30.0,
        "settle_wait_s": 5.0,
        "outcome_delay_s": 2.0,
        "group": 60,
        "probe_s": 2.0,
        "reply_bytes": 4096,
        "remembered": 10_000,
    }


def make_query(config: OrderConfig, service: str, order_id: str, path: str) -> str | None:
    """Return the path of the query for an order, or None if the service has none.

    >>> config = OrderConfig("n1", queries={"depozit": "/releases/{order_id}"})
    >>> make_query(config, "depozit", "o1", "/releases")
    '/releases/o1'
    """
    template = config.queries.get(service)
    if template is None:
        return None
    return template.replace("{order_id}", quote(order_id, safe="")).replace("{path}", path)
