"""Adapter to the users' platform: translates key names, formats and calls; makes no decisions."""

from basilwinch.platform.dialect import Dialect
from basilwinch.platform.documents import decode_configuration, decode_server
from basilwinch.platform.settings import read_settings
from basilwinch.platform.store import MetadataStore

__all__ = [
    "Dialect",
    "MetadataStore",
    "decode_configuration",
    "decode_server",
    "read_settings",
]
