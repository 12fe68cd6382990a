"""Checks, normal form and confusable forms of entry names."""

import unicodedata

__all__ = ["check_name", "normalise", "skeleton"]

_MAX_NAME_CHARACTERS = 100
# Casefolded characters that look like others: an excerpt of the confusables of Unicode Technical
# Standard 39 for Latin, Greek, Cyrillic and Bengali.
_CONFUSABLE_CHARACTERS = str.maketrans(
    {
        **dict(zip("аеорсухіјѕһԁԛԝ", "aeopcyxijshdqw", strict=True)),
        **dict(zip("αικνορυχ", "aikvopux", strict=True)),
        "ı": "i",
        "l": "i",
        "1": "i",
        "|": "i",
        "0": "o",
        "০": "o",
        "৪": "8",
        "৭": "9",
        "‐": "-",
        "‑": "-",
        "–": "-",
        "—": "-",
        "_": "-",
    }
)


def normalise(name: str) -> str:
    """Return the normal form (NFC) under which a name is stored and compared.

    >>> normalise("e\\u0301") == "\\u00e9"
    True
    """
    return unicodedata.normalize("NFC", name)


def skeleton(name: str) -> str:
    """Return the confusable skeleton of a name, which is equal for names that look alike.

    >>> skeleton("Оrder-1") == skeleton("order-l")
    True
    """
    if not name.isascii():
        name = unicodedata.normalize("NFKC", name)
        name = "".join(c for c in name if unicodedata.category(c) != "Cf")
    folded = name.casefold().translate(_CONFUSABLE_CHARACTERS)
    return folded if folded.isascii() else unicodedata.normalize("NFC", folded)


def check_name(name) -> str:
    """Return why a value is not a valid name, or an empty string if it is one.

    >>> check_name("a/b"), check_name("লেখা")
    ('a name must not contain "/"', '')
    """
    if not isinstance(name, str):
        return "a name must be a string"
    if not name or name != name.strip():
        return "a name must not be empty and must not start or end with a space"
    if len(name) > _MAX_NAME_CHARACTERS:
        return f"a name must have at most {_MAX_NAME_CHARACTERS} characters"
    if "/" in name:
        return 'a name must not contain "/"'
    if any(unicodedata.category(c) in ("Cc", "Cs", "Co", "Cn", "Zl", "Zp") for c in name):
        return "a name must not contain control or unassigned characters"
    return ""
