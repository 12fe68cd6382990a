"""Names and decoders of the keys that make up a view."""

__all__ = ["ViewSource"]


class ViewSource:
    """Names and decoders of the keys that make up the view.

    :param store: store with ``history``, ``scan_at``, ``poll``, ``read_proof``, ``is_direct``,
        ``record_confirmed`` and ``close_idle_connections``, as
        :class:`~basilwinch.fanout.FanoutStore`
    :param configuration_key: key of the configuration
    :param servers_prefix: prefix of the servers' keys
    :param decode_configuration: function of a value, which returns None if it can't be decoded
    :param decode_server: function of key and value, which returns None if they can't be decoded
    """

    __slots__ = (
        "store",
        "configuration_key",
        "servers_prefix",
        "decode_configuration",
        "decode_server",
    )

    def __init__(
        self, store, configuration_key, servers_prefix, decode_configuration, decode_server
    ):
        self.store = store
        self.configuration_key = configuration_key
        self.servers_prefix = servers_prefix
        self.decode_configuration = decode_configuration
        self.decode_server = decode_server

    def replace_store(self, store) -> "ViewSource":
        """Return a source with the same names and decoders in another store."""
        return ViewSource(
            store,
            self.configuration_key,
            self.servers_prefix,
            self.decode_configuration,
            self.decode_server,
        )
