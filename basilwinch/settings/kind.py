"""Kinds of values that a setting takes."""

import ipaddress

from basilwinch.exception import INVALID_SETTING, Failure
from basilwinch.record import Record

__all__ = [
    "AddressKind",
    "ChoiceKind",
    "CountKind",
    "FlagKind",
    "Kind",
    "ListKind",
    "NumberKind",
    "SecretKind",
    "TextKind",
]


class Kind(Record):
    """Parses the text of a setting; ``allowed`` says in words what it takes."""

    __slots__ = ()

    @property
    def allowed(self) -> str:
        """What the kind takes, for error messages and the settings table."""
        raise NotImplementedError

    def parse(self, text: str):
        """Return the value, or a ``Failure`` if the text is not allowed."""
        raise NotImplementedError

    def _refuse(self, text: str) -> Failure:
        return INVALID_SETTING.because(f"{text!r} is not allowed; expected {self.allowed}")


class TextKind(Kind):
    """Any text, or any non-empty text if ``required``."""

    __slots__ = ("required",)
    _defaults = {"required": False}

    @property
    def allowed(self) -> str:
        """What the kind takes."""
        return "a non-empty text" if self.required else "a text"

    def parse(self, text: str):
        """Return the text without surrounding blanks."""
        text = text.strip()
        return self._refuse(text) if self.required and not text else text


class SecretKind(Kind):
    """A text that is never printed; empty for none."""

    __slots__ = ()

    @property
    def allowed(self) -> str:
        """What the kind takes."""
        return "a secret, or nothing"

    def parse(self, text: str):
        """Return the text without surrounding blanks."""
        return text.strip()


class FlagKind(Kind):
    """A switch."""

    __slots__ = ()

    @property
    def allowed(self) -> str:
        """What the kind takes."""
        return "true or false"

    def parse(self, text: str):
        """Return a bool."""
        word = text.strip().lower()
        if word in ("true", "1", "yes", "on"):
            return True
        if word in ("false", "0", "no", "off", ""):
            return False
        return self._refuse(text)


class CountKind(Kind):
    """A whole number from ``low`` to ``high``."""

    __slots__ = ("low", "high")

    @property
    def allowed(self) -> str:
        """What the kind takes."""
        return f"a whole number from {self.low} to {self.high}"

    def parse(self, text: str):
        """Return an int.

        >>> CountKind(1, 9).parse("12")
        Failure(invalid_setting: '12' is not allowed; expected a whole number from 1 to 9)
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
        """What the kind takes."""
        return f"a number from {self.low:g} to {self.high:g} ({self.unit})"

    def parse(self, text: str):
        """Return a float."""
        try:
            value = float(text)
        except ValueError:
            return self._refuse(text)
        return value if self.low <= value <= self.high else self._refuse(text)


class ChoiceKind(Kind):
    """One of a few words."""

    __slots__ = ("words",)

    @property
    def allowed(self) -> str:
        """What the kind takes."""
        return "one of " + ", ".join(self.words)

    def parse(self, text: str):
        """Return the word in lower case."""
        word = text.strip().lower()
        return word if word in self.words else self._refuse(text)


class AddressKind(Kind):
    """``IP:PORT``; an IPv6 address stands in brackets."""

    __slots__ = ("optional",)
    _defaults = {"optional": False}

    @property
    def allowed(self) -> str:
        """What the kind takes."""
        return "IP:PORT, or nothing" if self.optional else "IP:PORT"

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
    """A list of values of one kind, separated by commas."""

    __slots__ = ("item",)

    @property
    def allowed(self) -> str:
        """What the kind takes."""
        return f"a comma-separated list, each {self.item.allowed}"

    def parse(self, text: str):
        """Return a tuple of values, or the first item's failure."""
        values = []
        for part in filter(None, (part.strip() for part in text.split(","))):
            value = self.item.parse(part)
            if isinstance(value, Failure):
                return value
            values.append(value)
        return tuple(values)
