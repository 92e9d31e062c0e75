"""Stand-ins for the platform's store, for engines and for clients, and a launcher for the edge program.

They follow PROTOCOL.md: the store keeps objects by kind and name with one revision counter and
answers lists, watches and conditional writes; engines echo X-Attempt-Id and sign their answers.
"""
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Service Unavailable"}


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.began:8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


async def read_message(reader, is_answer=False, method=""):
    """Reads one HTTP/1.1 message: first line, headers (lower-case names) and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers and method != "HEAD":
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        body = await reader.read()
    return lines[0], headers, body


class Store:
    """Object store of the platform."""

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.changes = []
        self.changed = asyncio.Condition()
        # "up"; "busy": calls are answered 503; "silent": calls are read and never answered.
        self.mode = "up"
        # Time that each answer takes, in addition to the wait of a watch.
        self.delay = 0
        self.writers = set()
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision, "created": 1, "finalizers": [],
                             "deletion_pending": False}, "spec": spec, "status": {}}
        self.objects.setdefault(kind, {})[name] = item
        await self.note(kind, item, False)
        return item

    async def remove(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            await self.note(kind, item, True)

    async def note(self, kind, item, deleted):
        # Recorded before anything else can run, so that no answer has a revision without its change.
        self.changes.append((self.revision, kind, {"object": item, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()

    def events(self, kind, since):
        return [event for revision, of, event in self.changes if of == kind and revision > since]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                if self.mode == "silent":
                    await reader.read()
                    return
                status, answer = (503, {}) if self.mode == "busy" else await self.answer(method, target, body)
                if self.delay > 0:
                    await asyncio.sleep(self.delay)
                if self.mode == "busy":
                    status, answer = 503, {}
                if self.mode == "silent":
                    await reader.read()
                    return
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        words = [unquote(word) for word in url.path.split("/") if word]
        kind, name = words[1], words[2] if len(words) > 2 else None
        stored = self.objects.setdefault(kind, {})
        if method == "GET" and name is not None:
            return (200, stored[name]) if name in stored else (404, {})
        if method == "GET" and "subscribe" in query:
            since = int(query["subscribe"])
            end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            async with self.changed:
                while not self.events(kind, since) and time.monotonic() < end:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                    except asyncio.TimeoutError:
                        break
            return 200, {"events": self.events(kind, since), "at": self.revision}
        if method == "GET":
            entries = [item for key, item in sorted(stored.items()) if key > query.get("after", "")]
            return 200, {"entries": entries[:500], "more": len(entries) > 500, "at": self.revision}
        document = json.loads(body) if body else {}
        wanted = document.get("metadata", {}).get("revision", query.get("revision"))
        if method == "POST":
            name = document["metadata"]["name"]
            if name in stored:
                return 409, stored[name]
        elif name not in stored:
            return 404, {}
        if wanted is not None and method != "POST" and int(wanted) != stored[name]["metadata"]["revision"]:
            return 409, stored[name]
        if method == "DELETE":
            item = stored[name]
            await self.remove(kind, name)
            return 200, item
        return 200, await self.put(kind, name, document.get("spec"))


class Engine:
    """Backend server. `respond(request, writer)` answers; the default answers 200 at once."""

    def __init__(self, record, name, service, zone="a", capacity=8, on_request=None):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.on_request = on_request or Engine.answer_at_once
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.arrivals = []

    async def start(self, port=0, host=HOST):
        self.host = host
        self.server = await asyncio.start_server(self.serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def registration(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": "v1", "capacity": self.capacity, "state": state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def answer_at_once(self, request, writer):
        await self.send(writer, request, 200, b"answer to " + request["id"].encode())

    async def send(self, writer, request, status, body, headers=()):
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"X-Attempt-Id: {request['id']}",
                 f"Content-Length: {len(body)}"]
        if not any(name == "X-Not-Executed" for name, _ in headers):
            lines.append(f"X-Response-Signature: signed.{self.name}")
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                request = {"method": method, "target": target, "headers": headers, "body": body,
                           "id": headers.get("x-attempt-id", ""), "at": time.monotonic()}
                expected = headers.get("x-expected-instance")
                if expected not in (None, self.name):
                    await self.send(writer, request, 421, b"", [("X-Not-Executed", "1"),
                                                                ("X-Instance-Id", self.name)])
                    continue
                self.arrivals.append(request)
                self.record("engine", self.name, "receives", request["id"], method, target)
                await self.on_request(self, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Edge:
    """An edge process, started with the command of deploy/system.toml."""

    def __init__(self, record, directory, name, store_port, zone="a", **more):
        self.record = record
        self.name = name
        self.port = free_port()
        self.readiness = free_port()
        self.log = os.path.join(directory, name + ".log")
        self.settings = os.path.join(directory, name + ".json")
        settings = {"name": name, "failure_domain": zone, "callers": f"{HOST}:{self.port}",
                    "operators": f"{HOST}:{self.readiness}",
                    "peers": f"{HOST}:{free_port(socket.SOCK_DGRAM)}", "store": f"{HOST}:{store_port}",
                    "relay_port": free_port(), "cpu_share": 0.19, "grace_s": 8, "retry_share": 0.2,
                    "retry_reserve": 56}
        settings.update(more)
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DOTTERELPORT_CONFIG"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(["target/dotterelport-edge"], cwd=ROOT, env=environment,
                                            stdout=log, stderr=log)
        self.record("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.record("signal", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, limit=10.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                answer = await ask(self.readiness, "GET", "/readyz", {}, limit=1.0)
                if answer["status"] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(self.name + " is not ready")


async def ask(port, method, target, headers, body=b"", limit=5.0):
    """Sends a request on a new connection; status 0 means that the connection ended without an answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if "Host" not in headers:
        lines.insert(1, "Host: a.example")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        line, answer, content = await asyncio.wait_for(read_message(reader, True, method), limit)
        return {"status": int(line.split(" ")[1]), "headers": answer, "body": content}
    except (asyncio.IncompleteReadError, ConnectionError):
        return {"status": 0, "headers": {}, "body": b""}
    except asyncio.TimeoutError:
        return {"status": -1, "headers": {}, "body": b""}
    finally:
        writer.close()


def route(name, prefix, kind, service, **more):
    result = {"name": name, "hostname": "a.example", "path_prefix": prefix, "type": kind, "timeout_ms": 3000,
              "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 1,
              "anonymous": False, "session_affinity": False, "resumable": False}
    result.update(more)
    return result


def configuration(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def service(name, **more):
    result = {"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1",
              "tls_enabled": False}
    result.update(more)
    return result


def run_case(case, record_file, with_trouble):
    """Runs `case(record, directory, with_trouble)`, writes the record and exits with the result."""
    # Lets the case end its processes if it is ended itself.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(record_file)
    record("trouble", with_trouble)
    try:
        with tempfile.TemporaryDirectory() as directory:
            broken = asyncio.run(asyncio.wait_for(case(record, directory, with_trouble), 115))
    except Exception as failure:  # a case that cannot run must not look like one that held
        record("cannot run:", repr(failure))
        print("cannot run:", repr(failure))
        raise SystemExit(2) from failure
    record("rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    raise SystemExit(1 if broken else 0)
