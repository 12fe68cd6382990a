"""Header fields of requests and responses, and orders, as the platform spells them."""

import json

from basilwinch.forward.message import CallerRequest, ServerLoad

__all__ = ["Dialect"]

_HOP_BY_HOP = frozenset(
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
# Fields that a node sets itself, whatever the caller sent, and the key, which stays here.
_OWN = frozenset(
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


class Dialect:
    """Reads and writes the header fields of the platform."""

    __slots__ = ()

    def read_request(self, headers: dict[bytes, bytes]) -> CallerRequest:
        """Return what a caller's header says.

        :param headers: values by lower-case name
        """
        prompt, output = _two_numbers(headers.get(b"x-token-count", b""))
        hint = _number(headers.get(b"x-length-hint", b""))
        return CallerRequest(
            id=headers.get(b"x-request-id", b""),
            deadline_s=_milliseconds(headers.get(b"x-deadline-ms", b"")),
            key=headers.get(b"x-credential", b"").decode("latin-1"),
            prompt_tokens=prompt,
            max_output_tokens=output,
            output_hint=hint,
            last_event_id=headers.get(b"last-event-id", b""),
        )

    def build_header(
        self,
        raw_headers,
        body: bytes,
        left_s: float,
        server_id: str,
        organisation: str | None,
        priority: int,
        path=(),
        last_event_id: bytes | None = None,
    ) -> list[tuple[bytes, bytes]]:
        """Return the header for a server.

        :param raw_headers: pairs of the caller's header
        :param body: body of the request
        :param left_s: seconds that the server may still use
        :param server_id: id of the server that is meant
        :param organisation: organisation of the caller, None on open routes
        :param priority: 0 first
        :param path: members of the chain as (host, port, first layer, end)
        :param last_event_id: event after which a response goes on, instead of the caller's
        """
        named = {token.strip().lower() for token in _connection_tokens(raw_headers)}
        skipped = _HOP_BY_HOP | _OWN | named
        if last_event_id is not None:
            skipped = skipped | {b"last-event-id"}
        header = [pair for pair in raw_headers if pair[0].lower() not in skipped]
        header.append((b"X-Deadline-Ms", b"%d" % max(1, int(left_s * 1000))))
        header.append((b"X-Expect-Instance", server_id.encode()))
        header.append((b"X-Request-Priority", b"%d" % min(9, max(0, priority))))
        if organisation is not None:
            header.append((b"X-Tenant", organisation.encode()))
        if path:
            # The field is named for hops; it lists the members of the chain in order.
            hops = ",".join(f"{host}:{port}={first}-{end}" for host, port, first, end in path)
            header.append((b"X-Hop-Count", hops.encode()))
        if last_event_id is not None:
            header.append((b"Last-Event-Id", last_event_id))
        if body or any(name.lower() == b"content-length" for name, _ in raw_headers):
            header.append((b"Content-Length", b"%d" % len(body)))
        return header

    def filter_response(self, raw_headers) -> list[tuple[bytes, bytes]]:
        """Return the part of a server's header that a caller gets."""
        named = {token.strip().lower() for token in _connection_tokens(raw_headers)}
        skipped = _HOP_BY_HOP | named | {b"content-length"}
        return [pair for pair in raw_headers if pair[0].lower() not in skipped]

    def is_not_run(self, status: int, headers: dict[bytes, bytes]) -> bool:
        """Return whether a response states that the request has not run."""
        return status == 421 or b"x-not-executed" in headers

    def is_signed(self, headers: dict[bytes, bytes]) -> bool:
        """Return whether a server has signed a response."""
        return b"x-server-stamp" in headers

    def echoes(self, headers: dict[bytes, bytes], request_id: bytes) -> bool:
        """Return whether a response belongs to a request."""
        return headers.get(b"x-request-id", request_id) == request_id

    def faulty_server(self, headers: dict[bytes, bytes]) -> str | None:
        """Return host:port of the chain's member at fault, if the response names it."""
        value = headers.get(b"at-server")
        return value.decode("latin-1") if value else None

    def server_load(self, headers: dict[bytes, bytes]) -> ServerLoad | None:
        """Return the load that a server tells, or None."""
        parts = headers.get(b"x-server-load", b"").split(b",")
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return None
        return ServerLoad(*(int(part) for part in parts))

    def build_rejection(self, request_id: bytes, retry_after_s: float | None):
        """Return the header of a response of our own."""
        header = [(b"X-Request-Id", request_id)] if request_id else []
        if retry_after_s is not None:
            header.append((b"Retry-After", b"%.2f" % retry_after_s))
        return header

    def place_order(self, first: int, end: int, orders: int) -> tuple[bytes, bytes, list, bytes]:
        """Return method, target, header and body of the order to hold layers.

        :param first: first layer
        :param end: end of the layers, exclusive
        :param orders: number of orders that the server must have accepted so far
        """
        fields = {"operation": "place", "from": first, "to": end, "strategy": "queue"}
        fields["expected"] = orders
        body = json.dumps(fields).encode()
        header = [(b"Content-Type", b"application/json"), (b"Content-Length", b"%d" % len(body))]
        return (b"POST", b"/-/order", header, body)

    def report_query(self) -> tuple[bytes, bytes, list, bytes]:
        """Return method, target, header and body of the question for a server's report."""
        return (b"GET", b"/-/report", [], b"")

    def accepted_orders(self, report: dict) -> int:
        """Return the number of orders that a server has accepted since its start.

        :raises KeyError: if the report lacks it
        """
        # "sequence" counts heartbeats in a server's entry, but orders in its report.
        return report["sequence"]

    def stalled_at(self, report: dict, request_id: bytes) -> str | None:
        """Return host:port of the server that a request waits for, from its head's report."""
        # "id" is the id of the request here, not of a server.
        for row in report.get("stalled") or ():
            if row.get("id") == request_id.decode("latin-1"):
                return row.get("address")
        return None


def _connection_tokens(raw_headers):
    for name, value in raw_headers:
        if name.lower() == b"connection":
            yield from value.split(b",")


def _number(text: bytes) -> int | None:
    text = text.strip()
    return int(text) if text.isdigit() else None


def _two_numbers(text: bytes) -> tuple[int, int]:
    parts = [_number(part) for part in text.split(b",")]
    if len(parts) != 2 or None in parts:
        return (0, 0)
    return tuple(parts)


def _milliseconds(text: bytes) -> float | None:
    value = _number(text)
    return None if value is None else value / 1000
