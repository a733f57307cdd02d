"""Encodes a client's request for a server."""

from __future__ import annotations

from loadbalancer.node.client.request import ClientRequest

# Headers that apply only to one hop, or that the node writes itself for the next hop.
HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"x-budget-ms",
    )
)
# Headers that are forwarded even if `Connection` names them.
END_TO_END_HEADERS = frozenset((b"host", b"x-call-id", b"idempotency-key"))


def hop_headers(message: ClientRequest) -> frozenset[bytes]:
    """Names of the headers that are not forwarded: HOP_HEADERS and those that `Connection` names."""
    if b"connection" not in message.headers:
        return HOP_HEADERS
    values = [value for key, _, value in message.lines if key == b"connection"]
    named = {name.strip().lower() for name in b",".join(values).split(b",")}
    return HOP_HEADERS | named - END_TO_END_HEADERS


def encode_request(message: ClientRequest, budget_ms: int) -> bytes:
    """Encodes the request's head for a server, and its body unless that is streamed.

    Args:
        message: The request as received.
        budget_ms: Milliseconds that are left for the request.
    """
    lines = [b"%b %b HTTP/1.1" % (message.method, message.target)]
    hop = hop_headers(message)
    lines += [
        b"%b: %b" % (name, value)
        for key, name, value in message.lines
        if key not in hop
    ]
    lines.append(b"X-Budget-Ms: %d" % budget_ms)
    if message.upload is not None:
        if message.length is None:
            lines.append(b"Transfer-Encoding: chunked")
        else:
            lines.append(b"Content-Length: %d" % message.length)
    elif message.body or message.method != b"GET":
        lines.append(b"Content-Length: %d" % len(message.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + message.body
