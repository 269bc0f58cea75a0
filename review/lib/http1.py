"""The part of HTTP/1.1 that the stand-ins need."""

from collections import namedtuple

Message = namedtuple("Message", "first method target status headers body")

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


async def read_message(reader, no_body=False):
    """Reads a request or a response. Returns None at the end of the stream."""
    first = await reader.readline()
    if not first:
        return None
    if not first.endswith(b"\r\n"):
        raise ValueError("broken off")
    first = first.decode("latin-1").rstrip("\r\n")
    headers = {}
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise ValueError("broken off")
        if line == b"\r\n":
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if not no_body and "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    words = first.split(" ", 2)
    if first.startswith("HTTP/"):
        return Message(first, None, None, int(words[1]), headers, body)
    return Message(first, words[0], words[1], None, headers, body)


def response(status, headers, body):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Other"))]
    lines += ["%s: %s" % h for h in headers]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode() + body


def request(method, target, host, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target), "Host: %s" % host]
    lines += ["%s: %s" % h for h in headers]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines + ["", ""]).encode() + body
