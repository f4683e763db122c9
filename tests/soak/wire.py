"""HTTP as the soak's stand-ins and callers speak it."""
import json
import socket
import struct


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return lines[0].split(" "), fields


async def read_body(reader, fields):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding") != "chunked":
        return b""
    body = b""
    while True:
        size = int((await reader.readline()).strip() or b"x", 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


def answer(status, body=b"", fields=""):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}"
            "\r\n\r\n").encode() + body


def reset_connection(writer):
    """Ends a connection with a reset: without the option abort() sends a FIN,
    unless something is unread."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()
