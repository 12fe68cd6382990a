"""Settings file of the platform, translated to the settings of an entry node."""

import tomllib

from basilwinch.entry.settings import Address, Bounds, EntrySettings
from basilwinch.exception import INVALID_SETTING, ConfigurationError

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

SETTINGS_VARIABLE = "BASILWINCH_SETTINGS"
_METRICS_PORT = 9464  # the port that deploy/system.toml names under "metrics"


def read_settings(path: str) -> EntrySettings:
    """Read the settings of this node.

    :param path: path of the TOML file that the platform writes
    :returns: checked settings, in the words of the product
    :raises ConfigurationError: naming every fault of the file at once
    """
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise _invalid([f"{path}: {error}"]) from None
    return _Reader(fields).settings()


class _Reader:
    """Reads fields one by one and collects the faults."""

    __slots__ = ("_fields", "_faults")

    def __init__(self, fields: dict):
        self._fields = fields
        self._faults: list[str] = []

    def settings(self) -> EntrySettings:
        """Return the settings, or raise with all faults."""
        ip = self._get("ip", str, "")
        settings = EntrySettings(
            name=self._get("node-name", str, ""),
            zone=self._get("zone", str, ""),
            ip=ip,
            front=self._address("listen.front"),
            ready=self._address("listen.ready"),
            metrics=Address(ip, _METRICS_PORT),
            peer_port=self._get("internal-ports", list, [0])[0],
            store=self._address("platform.address"),
            bounds=self._bounds(),
        )
        if self._faults:
            raise _invalid(self._faults)
        return settings

    def _bounds(self) -> Bounds:
        ms = 0.001
        return Bounds(
            grace_s=self._number("bounds.grace-s"),
            revoke_s=self._number("bounds.revoke-ms") * ms,
            revoke_closed=self._get("bounds.revoke-closed", bool, True),
            retry_ratio=self._number("bounds.retry-ratio"),
            retry_window_s=self._number("bounds.retry-window-s"),
            retry_slack=self._number("bounds.retry-slack"),
        )

    def _number(self, name: str) -> float:
        return self._get(name, (int, float), None)

    def _get(self, name: str, kind, default):
        value = self._fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None and default is not None and name in _OPTIONAL:
            return default
        if not isinstance(value, kind) or (isinstance(value, list) and not value):
            self._faults.append(f"{name}: missing or of the wrong type")
            return default if default is not None else 0
        return value

    def _address(self, name: str) -> Address:
        text = self._get(name, str, "")
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit():
            self._faults.append(f"{name}: expected IP:PORT, got {text!r}")
            return Address("", 0)
        return Address(host, int(port))


_OPTIONAL = {"bounds.revoke-closed"}


def _invalid(faults: list[str]) -> ConfigurationError:
    return ConfigurationError(INVALID_SETTING.because("; ".join(faults)))
