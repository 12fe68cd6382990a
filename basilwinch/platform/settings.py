"""Reader of the platform's settings file for an entry node."""

import tomllib

from basilwinch.entry.settings import Address, Bounds, EntrySettings
from basilwinch.exception import INVALID_SETTING, ConfigurationError

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

SETTINGS_VARIABLE = "BASILWINCH_SETTINGS"
_METRICS_PORT = 9464  # the "metrics" port in deploy/system.toml
# Used if the settings do not name them; the values on all sites of today.
_DEFAULT_CONFIGURATION_APPLY_MS = 2000
_DEFAULT_DRAIN_MS = 2000
_DEFAULT_STABLE_MS = 3000
_DEFAULT_HEARTBEAT_MS = 1200


def read_settings(path: str) -> EntrySettings:
    """Read the settings of this node.

    :param path: path of the TOML file that the platform writes
    :returns: validated settings
    :raises ConfigurationError: with ``INVALID_SETTING``; lists all faults of the file
    """
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise _invalid_settings([f"{path}: {error}"]) from None
    return _Reader(fields).read()


class _Reader:
    """Reads fields by dotted name and collects the faults instead of stopping at the first."""

    __slots__ = ("_fields", "_faults")

    def __init__(self, fields: dict):
        self._fields = fields
        self._faults: list[str] = []

    def read(self) -> EntrySettings:
        """Return the settings; raises ``ConfigurationError`` that lists all faults."""
        ip = self._read_field("ip", str, "")
        settings = EntrySettings(
            name=self._read_field("node-name", str, ""),
            zone=self._read_field("zone", str, ""),
            ip=ip,
            front=self._read_address("listen.front"),
            ready=self._read_address("listen.ready"),
            metrics=Address(ip, _METRICS_PORT),
            peer_port=self._read_field("internal-ports", list, [0])[0],
            store=self._read_address("platform.address"),
            bounds=self._read_bounds(),
            memory_mb=self._read_limit("limits.memory-mb", (int, float)),
            max_fds=self._read_limit("limits.max-fds", int),
        )
        if self._faults:
            raise _invalid_settings(self._faults)
        return settings

    def _read_bounds(self) -> Bounds:
        seconds_per_ms = 0.001
        return Bounds(
            grace_s=self._read_number("bounds.grace-s"),
            revoke_s=self._read_number("bounds.revoke-ms") * seconds_per_ms,
            revoke_closed=self._read_field("bounds.revoke-closed", bool, True),
            retry_ratio=self._read_number("bounds.retry-ratio"),
            retry_window_s=self._read_number("bounds.retry-window-s"),
            retry_slack=self._read_number("bounds.retry-slack"),
            config_apply_s=seconds_per_ms
            * self._read_duration("bounds.config-apply-ms", _DEFAULT_CONFIGURATION_APPLY_MS),
            drain_s=seconds_per_ms * self._read_duration("bounds.drain-ms", _DEFAULT_DRAIN_MS),
            stable_s=seconds_per_ms * self._read_duration("bounds.stable-ms", _DEFAULT_STABLE_MS),
            heartbeat_s=seconds_per_ms * self._read_duration("heartbeat-ms", _DEFAULT_HEARTBEAT_MS),
        )

    def _read_number(self, name: str) -> float:
        return self._read_field(name, (int, float), None)

    def _read_duration(self, name: str, default: float) -> float:
        """Return a number above 0, from which intervals are derived."""
        value = self._read_field(name, (int, float), default)
        if not 0 < value < float("inf"):
            self._faults.append(f"{name}: expected a number above 0, got {value!r}")
            return default
        return value

    def _read_limit(self, name: str, kind):
        """Return a number above 0, or None if it is not named."""
        value = self._find(name)
        if value is None:
            return None
        is_number = isinstance(value, kind) and not isinstance(value, bool)
        if not is_number or not 0 < value < float("inf"):
            self._faults.append(f"{name}: expected a number above 0, got {value!r}")
            return None
        return value

    def _find(self, name: str):
        value = self._fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def _read_field(self, name: str, kind, default):
        value = self._find(name)
        if value is None and default is not None and name in _OPTIONAL_FIELDS:
            return default
        if not isinstance(value, kind) or (isinstance(value, list) and not value):
            self._faults.append(f"{name}: missing, empty or of the wrong type, got {value!r}")
            return default if default is not None else 0
        return value

    def _read_address(self, name: str) -> Address:
        text = self._read_field(name, str, "")
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit():
            self._faults.append(f"{name}: expected IP:PORT, got {text!r}")
            return Address("", 0)
        return Address(host, int(port))


_OPTIONAL_FIELDS = {
    "bounds.revoke-closed",
    "bounds.config-apply-ms",
    "bounds.drain-ms",
    "bounds.stable-ms",
    "heartbeat-ms",
}


def _invalid_settings(faults: list[str]) -> ConfigurationError:
    return ConfigurationError(INVALID_SETTING.because("; ".join(faults)))
