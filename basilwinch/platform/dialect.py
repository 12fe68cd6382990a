"""HTTP dialect of the platform: header fields, layer orders and server reports."""

import json
import math
import re

from basilwinch.document import Fields
from basilwinch.forward.message import CallerRequest, ServerLoad
from basilwinch.number import parse_digits

__all__ = ["Dialect"]

_HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# Fields that are not copied from the caller: the node sets its own values where it has any, and the
# caller's key is never forwarded.
_NODE_FIELDS = frozenset(
    (
        b"content-length",
        b"x-deadline-ms",
        b"x-credential",
        b"x-tenant",
        b"x-expect-instance",
        b"x-request-priority",
        b"x-expect-version",
        b"x-hop-count",
    )
)

# An entry of X-Prompt-Prefix: a hexadecimal id of at most 64 digits, and a number of tokens.
_PROMPT_PART = re.compile(rb"\s*([0-9A-Fa-f]{1,64}):[0-9]{1,9}\s*")
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")
# Value of At-Server; other text is not copied to the log.
_SERVER_ADDRESS = re.compile(rb"[0-9A-Za-z.:\[\]-]{1,253}:[0-9]{1,5}")
_MAX_LIMIT_PER_S = 1e6  # far above what one server can take
_MAX_PROMPT_PARTS = 64  # a longer prefix is ignored, so that state per request stays small


class Dialect:
    """Parses and builds HTTP messages in the format of the platform."""

    __slots__ = ()

    def read_request(self, headers: dict[bytes, bytes]) -> CallerRequest:
        """Parse the header of a caller's request.

        :param headers: values by lower-case name
        :returns: the fields; a missing or malformed number becomes None, or 0 for token counts
        """
        prompt, output = _parse_number_pair(headers.get(b"x-token-count", b""))
        hint = _parse_number(headers.get(b"x-length-hint", b""))
        return CallerRequest(
            id=headers.get(b"x-request-id", b""),
            deadline_s=_parse_milliseconds(headers.get(b"x-deadline-ms", b"")),
            key=headers.get(b"x-credential", b"").decode("latin-1"),
            prompt_tokens=prompt,
            max_output_tokens=output,
            output_hint=hint,
            last_event_id=headers.get(b"last-event-id", b""),
            shared_parts=_parse_shared_parts(headers.get(b"x-prompt-prefix", b"")),
        )

    def build_header(
        self,
        raw_headers,
        body: bytes,
        left_s: float,
        server_id: str,
        organisation: str | None,
        priority: int,
        members=(),
        last_event_id: bytes | None = None,
    ) -> list[tuple[bytes, bytes]]:
        """Return the header of a request to a server.

        :param raw_headers: name and value pairs of the caller's header
        :param body: request body
        :param left_s: seconds left for the server to respond
        :param server_id: id of the server that must serve the request
        :param organisation: organisation of the caller, None on routes without authentication
        :param priority: 0 is the highest, 9 the lowest
        :param members: members of the chain as (host, port, first layer, end of layers), in order
        :param last_event_id: event after which the response resumes; replaces the caller's value
        """
        connection_options = {
            token.strip().lower() for token in _iterate_connection_options(raw_headers)
        }
        skipped = _HOP_BY_HOP_FIELDS | _NODE_FIELDS | connection_options
        if last_event_id is not None:
            skipped = skipped | {b"last-event-id"}
        header = [pair for pair in raw_headers if pair[0].lower() not in skipped]
        header.append((b"X-Deadline-Ms", b"%d" % max(1, int(left_s * 1000))))
        header.append((b"X-Expect-Instance", server_id.encode()))
        header.append((b"X-Request-Priority", b"%d" % min(9, max(0, priority))))
        if organisation is not None:
            header.append((b"X-Tenant", organisation.encode()))
        if members:
            # Despite its name, X-Hop-Count lists the members of the chain in order.
            hops = ",".join(f"{host}:{port}={first}-{end}" for host, port, first, end in members)
            header.append((b"X-Hop-Count", hops.encode()))
        if last_event_id is not None:
            header.append((b"Last-Event-Id", last_event_id))
        if body or any(name.lower() == b"content-length" for name, _ in raw_headers):
            header.append((b"Content-Length", b"%d" % len(body)))
        return header

    def filter_response(self, raw_headers) -> list[tuple[bytes, bytes]]:
        """Return the fields of a server's response header that are forwarded to the caller."""
        connection_options = {
            token.strip().lower() for token in _iterate_connection_options(raw_headers)
        }
        skipped = _HOP_BY_HOP_FIELDS | connection_options | {b"content-length"}
        return [pair for pair in raw_headers if pair[0].lower() not in skipped]

    def is_not_run(self, status: int, headers: dict[bytes, bytes]) -> bool:
        """Return whether a response states that the server did not run the request."""
        return status == 421 or b"x-not-executed" in headers

    def is_signed(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether a response carries the signature of a server."""
        return b"x-server-stamp" in headers

    def matches_request(
        self, headers: dict[bytes, bytes], request_id: bytes, is_reused: bool
    ) -> bool:
        """Return whether a response has the id of the request, or no id on a new connection.

        :param is_reused: whether the connection has carried an earlier request, of which a second
            answer may arrive
        """
        return headers.get(b"x-request-id", b"" if is_reused else request_id) == request_id

    def read_retry_after(self, status: int, headers: dict[bytes, bytes]) -> float | None:
        """Return the seconds for which a server wants no request of this node, None if it is 0.

        Only a 503 asks for that; a malformed value, or a date, is ignored.
        """
        text = headers.get(b"retry-after", b"").strip()
        if status != 503 or not _DECIMAL.fullmatch(text):
            return None
        return float(text) or None

    def is_leaving(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether a response says that its server is about to stop."""
        return headers.get(b"server-leaving", b"").strip() == b"1"

    def read_faulty_server(self, headers: dict[bytes, bytes]) -> str | None:
        """Return host:port of the chain member that failed, or None if the response names none."""
        value = headers.get(b"at-server")
        return value.decode("latin-1") if value else None

    def describe_refusal(self, status: int, headers: dict[bytes, bytes]) -> str:
        """Return why a server refused a request, for the log.

        A response may give several reasons; the first of this order is returned: the server is
        leaving, it asks for a pause, it names the member at fault, it is not the expected one, it
        is full. The member at fault may be the server itself. A full server marks its responses as
        not run, so a 429 or 503 without that mark is described as such.

        :param status: status of the response
        :param headers: values by lower-case name
        """
        if self.is_leaving(headers):
            return "server leaving"
        back_off_s = self.read_retry_after(status, headers)
        if back_off_s is not None:
            return f"back-off of {back_off_s:g} s"
        address = headers.get(b"at-server", b"").strip()
        if _SERVER_ADDRESS.fullmatch(address):
            return f"member {address.decode()} at fault"
        if status == 421:
            return "rejected as another instance"
        if status in (429, 503):
            return "full" if self.is_not_run(status, headers) else "not marked as not run"
        return "other error"

    def read_server_load(self, headers: dict[bytes, bytes]) -> ServerLoad | None:
        """Return the load that a server reports in its header, or None if missing or malformed."""
        parts = headers.get(b"x-server-load", b"").split(b",")
        numbers = [_parse_number(part) for part in parts]
        return None if len(numbers) != 3 or None in numbers else ServerLoad(*numbers)

    def read_server_limit(self, headers: dict[bytes, bytes]) -> float | None:
        """Return the requests a second that a server takes from all nodes together.

        :returns: infinity if the server names no limit or one above ``_MAX_LIMIT_PER_S``, None if
            the field is malformed, which says nothing about the limit
        """
        text = headers.get(b"server-limit")
        if text is None:
            return math.inf
        if not _DECIMAL.fullmatch(text.strip()):
            return None
        limit = float(text)
        return limit if limit <= _MAX_LIMIT_PER_S else math.inf

    def build_rejection(self, request_id: bytes, retry_after_s: float | None):
        """Return the header of an error response that this node generates."""
        header = [(b"X-Request-Id", request_id)] if request_id else []
        if retry_after_s is not None:
            header.append((b"Retry-After", b"%.2f" % retry_after_s))
        return header

    def build_layer_order(
        self, first: int, end: int, orders: int
    ) -> tuple[bytes, bytes, list, bytes]:
        """Return method, target, header and body of the order to load a range of layers.

        :param first: first layer
        :param end: end of the layers, exclusive
        :param orders: number of orders that the server must have accepted so far to accept this one
        """
        fields = {"operation": "place", "from": first, "to": end, "strategy": "queue"}
        fields["expected"] = orders
        body = json.dumps(fields).encode()
        header = [(b"Content-Type", b"application/json"), (b"Content-Length", b"%d" % len(body))]
        return (b"POST", b"/-/order", header, body)

    def build_report_request(self) -> tuple[bytes, bytes, list, bytes]:
        """Return method, target, header and body of the request for a server's report."""
        return (b"GET", b"/-/report", [], b"")

    def read_accepted_orders(self, report: dict) -> int:
        """Return the number of orders that a server has accepted since it started.

        :raises DocumentError: if the report lacks the number
        """
        # "sequence" counts heartbeats in the entry of a server, but accepted orders in its report.
        return Fields(report, "report").read_integer("sequence", 0)

    def find_stalled_server(self, report: dict, request_id: bytes) -> str | None:
        """Return host:port of the chain member that a request waits for, or None.

        Malformed rows are ignored: that a server's report is faulty blames no other one.

        :param report: report of the first server of the chain
        :param request_id: id of the request
        """
        # In this list "id" identifies a request, not a server.
        rows = report.get("stalled")
        for row in rows if isinstance(rows, list) else ():
            if isinstance(row, dict) and row.get("id") == request_id.decode("latin-1"):
                address = row.get("address")
                return address if isinstance(address, str) else None
        return None


def _iterate_connection_options(raw_headers):
    for name, value in raw_headers:
        if name.lower() == b"connection":
            yield from value.split(b",")


def _parse_number(text: bytes) -> int | None:
    return parse_digits(text.strip())


def _parse_shared_parts(text: bytes) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last, or none if the prefix is malformed.

    The last part belongs to the request itself. Ids are compared as numbers, so the case of their
    digits and leading zeros do not matter.

    >>> _parse_shared_parts(b"5C1E07a2:800,0:410,e4402b7d:250")
    ('5c1e07a2', '0')
    """
    if not text:
        return ()
    matches = [_PROMPT_PART.fullmatch(entry) for entry in text.split(b",", _MAX_PROMPT_PARTS)]
    if None in matches:
        return ()
    ids = [match[1].decode().lower().lstrip("0") or "0" for match in matches[:-1]]
    return tuple(dict.fromkeys(ids))


def _parse_number_pair(text: bytes) -> tuple[int, int]:
    """Return two numbers separated by a comma, or zeros if malformed."""
    parts = [_parse_number(part) for part in text.split(b",")]
    if len(parts) != 2 or None in parts:
        return (0, 0)
    return tuple(parts)


def _parse_milliseconds(text: bytes) -> float | None:
    """Return a duration in seconds from a field in milliseconds, or None if malformed."""
    value = _parse_number(text)
    return None if value is None else value / 1000
