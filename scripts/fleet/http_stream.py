"""Minimal asynchronous HTTP/1.1 client with streamed response bodies, for the fault run."""

import asyncio
import json


class ConnectFailure(Exception):
    """The connection could not be opened, so nothing was sent."""


class BrokenAnswer(Exception):
    """The exchange failed, timed out or was malformed after connecting; the request may have been sent."""


class Answer:
    def __init__(self, status, headers):
        self.status = status
        self.headers = headers
        self.body = b""

    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


async def _read_headers(reader):
    status_line = (await reader.readline()).decode()
    if not status_line:
        raise BrokenAnswer("connection closed before the status line")
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return Answer(int(status_line.split()[1]), headers)


async def _read_body(reader, answer, on_data):
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            line = await reader.readline()
            if not line:
                raise BrokenAnswer("connection closed before the last chunk")
            size = int(line, 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return
            on_data(data[:-2])
    else:
        length = int(answer.headers.get("content-length", 0))
        on_data(await reader.readexactly(length))


async def request(method, address, path, headers, body, timeout, on_data=None):
    """Sends a request and returns its answer; on_data receives each chunk of the body as it arrives."""
    ip, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), timeout)
    except (OSError, asyncio.TimeoutError) as failure:
        raise ConnectFailure(str(failure)) from failure
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"host: {address}", "connection: close",
                 f"content-length: {len(data)}", "content-type: application/json"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        answer = await asyncio.wait_for(_read_headers(reader), timeout)

        def collect(chunk):
            answer.body += chunk
            if on_data:
                on_data(chunk)

        await asyncio.wait_for(_read_body(reader, answer, collect), timeout)
        return answer
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as failure:
        raise BrokenAnswer(repr(failure)) from failure
    finally:
        writer.close()
