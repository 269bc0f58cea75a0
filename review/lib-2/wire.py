"""HTTP/1.1 messages of the stand-ins: reading and writing."""

import asyncio

CRLF = b"\r\n"


class Message:
    """A request or a response. Header names are in lower case."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Returns (start line, headers), or None where the stream ends."""
    try:
        raw = await reader.readuntil(CRLF + CRLF)
    except asyncio.IncompleteReadError as err:
        if err.partial:
            raise
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(CRLF)).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(CRLF) != CRLF:
                pass
            return body
        body += (await reader.readexactly(size + 2))[:-2]


async def read_message(reader):
    """Returns a message, or None where the stream ends before it begins."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start, headers, body)


def build(start, headers, body=b""):
    lines = [start] + ["%s: %s" % pair for pair in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def build_response(status, headers, body=b"", reason="X"):
    return build("HTTP/1.1 %d %s" % (status, reason), headers, body)
