"""Reading of JSON documents that another party has written.

Whatever the bytes are, a reader gets a value of the type and range that it asks for, or a
:class:`~basilwinch.exception.DocumentError`.
"""

import json
import socket

from basilwinch.exception import MALFORMED_DOCUMENT, DocumentError

__all__ = ["MAX_INTEGER", "Fields", "parse_address", "parse_document", "parse_ip", "parse_object"]

MAX_INTEGER = (1 << 53) - 1  # a JSON number up to here has an exact value in any language
_MAX_NUMBER = float(MAX_INTEGER)
_MIN_POSITIVE = 1e-6  # quotients of numbers in range stay far from infinity
_MAX_TEXT_CHARACTERS = 1 << 14  # a header field may be that long
_MAX_PORT = 65535
_MAX_SHOWN = 40  # characters of a value in an error
_REQUIRED = object()


def parse_document(data: bytes):
    """Parse a JSON document.

    :param data: the document
    :returns: a value of any JSON type
    :raises DocumentError: if it is not valid JSON, or is nested too deeply to be read
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise _malformed(f"not readable as JSON: {error!r}") from None


def parse_object(data: bytes, name: str) -> dict:
    """Parse a JSON document that is an object.

    :param name: name of the document, for errors
    :raises DocumentError: as :func:`parse_document`, also if it is no object

    >>> parse_object(b"[]", "report")
    Traceback (most recent call last):
    basilwinch.exception.DocumentError: malformed_document: report: expected an object, got a list
    """
    value = parse_document(data)
    Fields(value, name)
    return value


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of an address.

    :raises DocumentError: if the host is not an IPv4 address, or the port not between 1 and 65535

    >>> parse_address("10.0.0.9:8080")
    ('10.0.0.9', 8080)
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= _MAX_PORT):
        raise _malformed(f"expected a port from 1 to {_MAX_PORT}, got {port[:_MAX_SHOWN]!r}")
    return parse_ip(host), int(port)


def parse_ip(text: str) -> str:
    """Return a text if it is an IPv4 address.

    :raises DocumentError: if it is anything else, a host name included
    """
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        raise _malformed(f"expected an IPv4 address, got {text[:_MAX_SHOWN]!r}") from None
    return text


class Fields:
    """The fields of a JSON object, read by type and range.

    A field that is null counts as missing. A field that nobody reads may hold anything.

    :param value: parsed document, or a part of one
    :param name: name of the document or part, for errors
    :raises DocumentError: if the value is not an object

    >>> fields = Fields(parse_document(b'{"slots": 6, "zone": "a"}'), "entry")
    >>> fields.read_integer("slots", 0, 100), fields.read_text("kind", "")
    (6, '')
    >>> fields.read_integer("slots", 0, 5)
    Traceback (most recent call last):
    basilwinch.exception.DocumentError: malformed_document: entry: slots is 6, expected 0 to 5
    """

    __slots__ = ("_values", "_name")

    def __init__(self, value, name: str):
        if not isinstance(value, dict):
            raise _malformed(f"{name}: expected an object, got {_show(value)}")
        self._values = value
        self._name = name

    def read_text(self, name: str, default=_REQUIRED) -> str:
        """Return a text of at most ``_MAX_TEXT_CHARACTERS``, which UTF-8 can represent."""
        value = self._values.get(name)
        if type(value) is not str:
            value = self._read(name, str, default)
        if value is not default and not _is_plain(value):
            raise self._refuse(name, value, f"at most {_MAX_TEXT_CHARACTERS} encodable characters")
        return value

    def read_integer(self, name: str, low: int, high: int = MAX_INTEGER, default=_REQUIRED) -> int:
        """Return an integer between two limits, both inclusive."""
        value = self._values.get(name)
        if type(value) is not int:
            value = self._read(name, int, default)
        return self._check_range(name, value, low, high)

    def read_number(
        self, name: str, low: float, high: float = _MAX_NUMBER, default=_REQUIRED
    ) -> float:
        """Return a finite number between two limits, both inclusive."""
        value = self._values.get(name)
        if type(value) is not int:
            value = self._read(name, (int, float), default)
        return self._check_range(name, value, low, high)

    def read_positive(self, name: str) -> float:
        """Return a number that may be divided by."""
        return self.read_number(name, _MIN_POSITIVE)

    def read_flag(self, name: str) -> bool:
        """Return a truth value, false if the field is missing."""
        return self._read(name, bool, False)

    def read_list(self, name: str, default=_REQUIRED) -> list:
        """Return a list of values of any type."""
        return self._read(name, list, default)

    def read_texts(self, name: str, default=_REQUIRED) -> list[str]:
        """Return a list of texts."""
        values = self.read_list(name, default)
        for value in values:
            if not isinstance(value, str) or not _is_plain(value):
                raise self._refuse(name, value, "only texts in the list")
        return values

    def read_objects(self, name: str, default=_REQUIRED) -> list["Fields"] | None:
        """Return a list of objects, or None if it is missing and that is the default."""
        values = self.read_list(name, default)
        if values is None:
            return None
        part = f"{self._name}: {name}"
        return [Fields(value, part) for value in values]

    def read_object(self, name: str) -> "Fields":
        """Return an object, without fields if it is missing."""
        return Fields(self._read(name, dict, {}), f"{self._name}: {name}")

    def get(self, name: str):
        """Return the value of a field as it was parsed, None if it is missing."""
        return self._values.get(name)

    def _read(self, name: str, kind, default):
        value = self._values.get(name)
        if value is None:
            if default is _REQUIRED:
                raise _malformed(f"{self._name}: {name} is missing")
            return default
        # In Python a truth value is an integer, too.
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise self._refuse(name, value, "another type")
        return value

    def _check_range(self, name: str, value, low, high):
        # The comparison is false for NaN.
        if value is not None and not low <= value <= high:
            raise self._refuse(name, value, f"{low} to {high}")
        return value

    def _refuse(self, name: str, value, expected: str) -> DocumentError:
        return _malformed(f"{self._name}: {name} is {_show(value)}, expected {expected}")


def _show(value) -> str:
    """Return a short text of a value, whatever its size."""
    if isinstance(value, dict | list):
        return "a list" if isinstance(value, list) else "an object"
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return f"an integer of {value.bit_length()} bits"
    return repr(value[:_MAX_SHOWN] if isinstance(value, str) else value)


def _is_plain(text: str) -> bool:
    if len(text) > _MAX_TEXT_CHARACTERS:
        return False
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _malformed(reason: str) -> DocumentError:
    return DocumentError(MALFORMED_DOCUMENT.because(reason))
