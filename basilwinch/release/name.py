"""Names of entries: normal form and look-alike names."""

import unicodedata

__all__ = ["find_fault", "normalise", "skeleton"]

_MAX_CHARACTERS = 100
# Characters of common scripts that look like others, after casefolding. An excerpt of the
# confusables of Unicode Technical Standard 39 that covers Latin, Greek, Cyrillic and Bengali.
_LOOK_ALIKES = str.maketrans(
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
    """Return a form that is equal for names that look alike.

    >>> skeleton("Оrder-1") == skeleton("order-l")
    True
    """
    if not name.isascii():
        name = unicodedata.normalize("NFKC", name)
        name = "".join(c for c in name if unicodedata.category(c) != "Cf")
    folded = name.casefold().translate(_LOOK_ALIKES)
    return folded if folded.isascii() else unicodedata.normalize("NFC", folded)


def find_fault(name) -> str:
    """Return why a value cannot be a name, or an empty string.

    >>> find_fault("a/b"), find_fault("লেখা")
    ('a name must not contain "/"', '')
    """
    if not isinstance(name, str):
        return "a name must be a string"
    if not name or name != name.strip():
        return "a name must not be empty and must not start or end with a space"
    if len(name) > _MAX_CHARACTERS:
        return f"a name has at most {_MAX_CHARACTERS} characters"
    if "/" in name:
        return 'a name must not contain "/"'
    if any(unicodedata.category(c) in ("Cc", "Cs", "Co", "Cn", "Zl", "Zp") for c in name):
        return "a name must not contain control or unassigned characters"
    return ""
