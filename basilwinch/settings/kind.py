"""Kinds of values of settings: validation, parsing and a description for error messages."""

import ipaddress

from basilwinch.exception import INVALID_SETTING, Failure
from basilwinch.record import Record

__all__ = [
    "AddressKind",
    "BooleanKind",
    "ChoiceKind",
    "CountKind",
    "Kind",
    "ListKind",
    "NumberKind",
    "SecretKind",
    "TextKind",
]


class Kind(Record):
    """Parses and validates the text of a setting."""

    __slots__ = ()

    @property
    def allowed(self) -> str:
        """Description of the allowed texts, for error messages and the table of settings."""
        raise NotImplementedError

    def parse(self, text: str):
        """Return the value, or a ``Failure`` if the text is not allowed."""
        raise NotImplementedError

    def _refuse(self, text: str) -> Failure:
        return INVALID_SETTING.because(f"{text!r} is not allowed; expected {self.allowed}")


class TextKind(Kind):
    """Any text; it must not be empty if ``required``."""

    __slots__ = ("required",)
    _defaults = {"required": False}

    @property
    def allowed(self) -> str:
        """Description of the allowed texts."""
        return "a non-empty text" if self.required else "any text"

    def parse(self, text: str):
        """Return the text without surrounding whitespace."""
        text = text.strip()
        return self._refuse(text) if self.required and not text else text


class SecretKind(Kind):
    """A text that must never be printed; empty for no secret.

    ``read_settings`` leaves it out of error messages.
    """

    __slots__ = ()

    @property
    def allowed(self) -> str:
        """Description of the allowed texts."""
        return "a secret text, or empty"

    def parse(self, text: str):
        """Return the text without surrounding whitespace."""
        return text.strip()


class BooleanKind(Kind):
    """A boolean."""

    __slots__ = ()

    @property
    def allowed(self) -> str:
        """Description of the allowed texts."""
        return "true or false"

    def parse(self, text: str):
        """Return a bool; an empty text is false."""
        word = text.strip().lower()
        if word in ("true", "1", "yes", "on"):
            return True
        if word in ("false", "0", "no", "off", ""):
            return False
        return self._refuse(text)


class CountKind(Kind):
    """An integer from ``low`` to ``high``."""

    __slots__ = ("low", "high")

    @property
    def allowed(self) -> str:
        """Description of the allowed texts."""
        return f"an integer from {self.low} to {self.high}"

    def parse(self, text: str):
        """Return an int.

        >>> CountKind(1, 9).parse("12")
        Failure(invalid_setting: '12' is not allowed; expected an integer from 1 to 9)
        """
        try:
            value = int(text)
        except ValueError:
            return self._refuse(text)
        return value if self.low <= value <= self.high else self._refuse(text)


class NumberKind(Kind):
    """A number from ``low`` to ``high`` in ``unit``."""

    __slots__ = ("low", "high", "unit")

    @property
    def allowed(self) -> str:
        """Description of the allowed texts."""
        return f"a number from {self.low:g} to {self.high:g} ({self.unit})"

    def parse(self, text: str):
        """Return a float."""
        try:
            value = float(text)
        except ValueError:
            return self._refuse(text)
        return value if self.low <= value <= self.high else self._refuse(text)


class ChoiceKind(Kind):
    """One of several choices in lower case; the case of the text is ignored."""

    __slots__ = ("choices",)

    @property
    def allowed(self) -> str:
        """Description of the allowed texts."""
        return "one of " + ", ".join(self.choices)

    def parse(self, text: str):
        """Return the choice in lower case."""
        word = text.strip().lower()
        return word if word in self.choices else self._refuse(text)


class AddressKind(Kind):
    """``IP:PORT``, with an IPv6 address in brackets; may be empty if ``optional``."""

    __slots__ = ("optional",)
    _defaults = {"optional": False}

    @property
    def allowed(self) -> str:
        """Description of the allowed texts."""
        return "IP:PORT, or empty" if self.optional else "IP:PORT"

    def parse(self, text: str):
        """Return the address as ``(ip, port)``, or None for an optional one that is empty.

        >>> AddressKind().parse("127.0.0.1:8080")
        ('127.0.0.1', 8080)
        """
        text = text.strip()
        if self.optional and not text:
            return None
        host, _, port = text.rpartition(":")
        try:
            ip = ipaddress.ip_address(host.strip("[]"))
            number = int(port)
        except ValueError:
            return self._refuse(text)
        return (str(ip), number) if 0 <= number <= 65535 else self._refuse(text)


class ListKind(Kind):
    """A comma-separated list of values of one kind; empty items are skipped."""

    __slots__ = ("item",)

    @property
    def allowed(self) -> str:
        """Description of the allowed texts."""
        return f"a comma-separated list, each item {self.item.allowed}"

    def parse(self, text: str):
        """Return a tuple of values, or the ``Failure`` of the first item that is not allowed."""
        values = []
        for part in filter(None, (part.strip() for part in text.split(","))):
            value = self.item.parse(part)
            if isinstance(value, Failure):
                return value
            values.append(value)
        return tuple(values)
