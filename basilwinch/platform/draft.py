"""Reading of a configuration document for the checks, with a finding for each entry in error."""

import re

from basilwinch.document import Fields, parse_document
from basilwinch.exception import DocumentError
from basilwinch.lint import Draft, Entry, Finding, KeyHolder
from basilwinch.platform.documents import (
    decode_limits,
    decode_organisation,
    decode_route,
    decode_service,
)
from basilwinch.view import CallerLimits, Route

__all__ = ["read_draft"]

_FIELD_NAMES = {
    "targets": "service",
    "timeout_s": "timeout-ms",
    "objective_s": "slo-ms",
    "gap_s": "gap-target-ms",
    "max_attempts": "max-attempts",
    "open": "no-auth",
    "resumable": "can-resume",
    "organisations": "tenants",
    "keys": "api-keys",
    "header_bytes": "max-header-bytes",
    "body_bytes": "max-body-bytes",
    "header_s": "header-timeout-ms",
    "idle_s": "idle-timeout-ms",
}
# The decoders begin the reason with the path of the field, such as "configuration: limits: idle-s".
# The pattern allows no quotes, because a value that follows may hold any text.
_FIELD_PATH = re.compile(r"((?:[\w-]+: )*[\w-]+) is ")


def read_draft(data: bytes) -> tuple[Draft | None, list[Finding]]:
    """Read a configuration document.

    :param data: the document
    :returns: the draft without the entries in error, None if nothing can be read; and one finding
        for each error
    """
    return _Reader().read(data)


class _Reader:
    """Collects the findings of one document."""

    __slots__ = ("_findings",)

    def __init__(self):
        self._findings: list[Finding] = []

    def read(self, data: bytes) -> tuple[Draft | None, list[Finding]]:
        try:
            # The error of a parser that decodes by itself would contain the document and its keys.
            text = data.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            self._report("document", f"not UTF-8 at byte {error.start}")
            return None, self._findings
        try:
            fields = Fields(parse_document(text), "configuration")
        except DocumentError as error:
            self._report("document", error.failure.reason)
            return None, self._findings
        draft = Draft(
            version=self._try("version", 0, fields.read_integer, "version", 0),
            routes=self._read_routes(fields),
            services=self._read_services(fields),
            organisations=self._read_holders(fields),
            limits=self._try("limits", CallerLimits(), self._read_limits, fields),
            field_names=_FIELD_NAMES,
        )
        return draft.replace(complete=not self._findings), self._findings

    def _read_limits(self, fields: Fields) -> CallerLimits:
        return decode_limits(fields.read_object("limits"))

    def _read_routes(self, fields: Fields) -> tuple[Entry, ...]:
        decoded = self._decode_list(fields, "routes", _decode_route_and_names)
        return tuple(Entry(place, route, names) for place, (route, names) in decoded)

    def _read_services(self, fields: Fields) -> tuple[Entry, ...]:
        decoded = self._decode_list(fields, "services", decode_service)
        return tuple(Entry(place, service) for place, service in decoded)

    def _read_holders(self, fields: Fields) -> tuple[KeyHolder, ...] | None:
        if fields.get("tenants") is None:
            return None
        decoded = self._decode_list(fields, "tenants", decode_organisation)
        return tuple(KeyHolder(place, value, keys) for place, (value, keys) in decoded)

    def _decode_list(self, fields: Fields, section: str, decode) -> list[tuple]:
        """Return pairs of the place and the value of each entry that can be decoded."""
        decoded = []
        for index, value in enumerate(self._try(section, [], fields.read_list, section, ())):
            place = f"{section}[{index}]"
            result = self._try(place, None, self._decode_entry, section, value, decode)
            if result is not None:
                decoded.append((place, result))
        return decoded

    def _decode_entry(self, section: str, value, decode):
        return decode(Fields(value, f"configuration: {section}"))

    def _try(self, place: str, default, read, *args):
        """Return the result of a reader; on an error, report it and return a default."""
        try:
            return read(*args)
        except DocumentError as error:
            reason = error.failure.reason
            if found := _FIELD_PATH.match(reason):
                path = found[1].split(": ")
                # The place stands for the document and the section already. The decoder of choices
                # names the field only.
                place = ".".join([place, *(path[2:] if path[0] == "configuration" else path)])
            if place.startswith("tenants") and not reason.endswith(" is missing"):
                # The reason shows the value, which may be a key in the wrong field.
                reason = "wrong type or value; a tenant has a name and a list of texts, api-keys"
            self._report(place, reason)
            return default

    def _report(self, place: str, reason: str):
        self._findings.append(Finding.error("malformed", place, reason))


def _decode_route_and_names(route: Fields) -> tuple[Route, dict]:
    names = {"targets": "traffic-split"} if route.get("traffic-split") else {}
    return decode_route(route), names
