"""Stand-ins of the platform for the scripts of the second review: a store, servers, clients, and
the project's programs as processes, all on loopback addresses. Stand-ins do what PROTOCOL.md says;
where it is silent, they behave like a sound store, server or client."""

import asyncio
import json
import logging
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

# Connections that end in the middle are part of the cases.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone",
           503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


# Addresses of the gateways and of the machines of the engines.
ADDRESSES = [f"127.0.0.{number}" for number in range(1, 5)] + \
            [f"127.0.1.{number}" for number in range(1, 7)]


def free_port():
    """The first of four ports that are unused on the loopback addresses of the cases, below the range
    of outgoing connections."""
    for first in range(20000 + os.getpid() * 8 % 9000, 32000, 4):
        try:
            for port in range(first, first + 4):
                for ip in ADDRESSES:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
            return first
        except OSError:
            continue
    raise CannotRun("no free port")


async def read_message(reader):
    """Reads the head of an HTTP message and the body of its declared length.
    Returns (first line, headers with names in lower case, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def message(status, headers, body=b""):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store: linearizable objects with revisions, lists and watches."""

    def __init__(self, record, retention_s=20.0):
        self.record = record
        self.retention_s = retention_s
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.writers = set()
        self.address = None
        # Called with the peer's address and the request line; returns a status to answer with
        # instead, "silent", "reset", or None.
        self.refuse = lambda ip, line: None

    async def start(self, ip):
        server = await asyncio.start_server(lambda r, w: self.serve(r, w), ip, 0, limit=1 << 22)
        self.address = server.sockets[0].getsockname()

    async def put(self, kind, name, spec):
        """Writes an object as the operator or a server does; returns once it is acknowledged."""
        async with self.changed:
            self.store(kind, name, spec, [])

    async def remove(self, kind, name):
        async with self.changed:
            old = self.objects.pop((kind, name), None)
            if old is not None:
                self.revision += 1
                old = dict(old, metadata=dict(old["metadata"], revision=self.revision))
                self.history.append((time.monotonic(), self.revision, kind, old, True))
                self.changed.notify_all()

    def store(self, kind, name, spec, finalizers):
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else int(time.time() * 1000)
        item = {"metadata": {"name": name, "revision": self.revision, "created": created,
                             "finalizers": finalizers, "deletion_pending": False},
                "spec": spec, "status": {}}
        self.objects[(kind, name)] = item
        self.history.append((time.monotonic(), self.revision, kind, item, False))
        self.changed.notify_all()
        return item

    def answer(self, writer, status, document):
        writer.write(message(status, {"Content-Type": "application/json"},
                             json.dumps(document).encode()))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        ip = writer.get_extra_info("peername")[0]
        try:
            while (request := await read_message(reader)) is not None:
                line, _, body = request
                refusal = self.refuse(ip, line)
                if refusal == "silent":
                    continue
                if refusal == "reset":
                    writer.transport.abort()
                    return
                if refusal is not None:
                    self.answer(writer, refusal, {})
                    continue
                await self.handle(writer, line, body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, writer, line, body):
        method, target, _ = line.split(" ", 2)
        path, _, query = target.partition("?")
        options = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        parts = path.split("/")[2:]
        if len(parts) == 1 and method == "GET":
            if "subscribe" in options:
                await self.watch(writer, parts[0], int(options["subscribe"]),
                                 int(options.get("wait_ms", 0)))
            else:
                entries = [item for (kind, _), item in sorted(self.objects.items())
                           if kind == parts[0]]
                self.answer(writer, 200,
                            {"entries": entries, "more": False, "at": self.revision})
            return
        if len(parts) == 2 and method == "GET":
            item = self.objects.get((parts[0], parts[1]))
            self.answer(writer, 200 if item else 404, item or {})
            return
        document = json.loads(body or b"{}")
        async with self.changed:
            name = document.get("metadata", {}).get("name") if method == "POST" else parts[1]
            known = self.objects.get((parts[0], name))
            wanted = document.get("metadata", {}).get("revision")
            if method == "POST" and known is not None:
                self.answer(writer, 409, known)
            elif method == "PUT" and known is None:
                self.answer(writer, 404, {})
            elif method == "PUT" and wanted is not None and \
                    wanted != known["metadata"]["revision"]:
                self.answer(writer, 409, known)
            elif method in ("POST", "PUT"):
                self.answer(writer, 201 if method == "POST" else 200,
                            self.store(parts[0], name, document.get("spec"),
                                       document.get("metadata", {}).get("finalizers", [])))
            else:
                self.answer(writer, 404, {})

    async def watch(self, writer, kind, since, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            oldest = time.monotonic() - self.retention_s
            while self.history and self.history[0][0] < oldest:
                self.history.pop(0)
            known_from = self.history[0][1] - 1 if self.history else self.revision
            if since < known_from:
                self.answer(writer, 410, {})
                return
            events = [{"object": item, "deleted": deleted}
                      for _, revision, of, item, deleted in self.history
                      if of == kind and revision > since]
            left = deadline - time.monotonic()
            if events or left <= 0:
                self.answer(writer, 200, {"events": events, "at": self.revision})
                return
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Engine:
    """An application server: runs each request for work_s and answers with its signature."""

    def __init__(self, record, service, name, zone="chaguanas", capacity=6, work_s=0.03):
        self.record = record
        self.service, self.name, self.zone = service, name, zone
        self.capacity, self.work_s = capacity, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.address = None
        self.respond = self.usual_answer

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 23)
        self.address = self.server.sockets[0].getsockname()

    def registration(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": "1", "capacity": self.capacity,
                "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}

    def headers(self, request):
        return {"X-Attempt-Id": request.get("x-attempt-id", ""),
                "X-Response-Signature": f"{self.name}.{request.get('x-attempt-id', '')}"}

    async def usual_answer(self, writer, line, request, body):
        self.runs.append(request.get("x-attempt-id"))
        self.record(f"{self.name} runs {request.get('x-attempt-id')}")
        await asyncio.sleep(self.work_s)
        writer.write(message(200, self.headers(request), b"x" * 800))

    async def serve(self, reader, writer):
        try:
            while (received := await read_message(reader)) is not None:
                line, request, body = received
                expected = request.get("x-expected-instance")
                if expected is not None and expected != self.name:
                    writer.write(message(421, {"X-Attempt-Id": request.get("x-attempt-id", ""),
                                               "X-Not-Executed": "1"}))
                    continue
                await self.respond(writer, line, request, body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def deploy():
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes, as far as the templates use it."""
    def value(path):
        found = fields
        for part in path.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
            if found is None:
                return None
        return found

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda found: found[2] if value(found[1]) else "", template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda found: json.dumps(value(found[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(value(found[1])), text)


class Fleet:
    """The project's programs, started with the commands of the deploy file."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = {}
        self.settings = {}

    def fields(self, name, ip, store, ports, machine_class="edge", zone="chaguanas", limits=None,
               bounds=None):
        """Settings of a machine of caroni-dotterel."""
        return {"node_name": name, "ip": ip, "zone": zone, "region": "trinidad",
                "machine_class": machine_class, "port_range": [ports["relay"], ports["peers"]],
                "zones": {"chaguanas": "trinidad", "couva": "trinidad", "sanfernando": "trinidad"},
                "listen": {"frontend": f"{ip}:{ports['frontend']}",
                           "readiness": f"{ip}:{ports['readiness']}"},
                "limits": {"cpu_quota": 0.19, "cpu_cores": 1, "memory_mb": 110, "max_fds": 4100,
                           "bandwidth_mbps": 1000.0, "disk_mb": 0, **(limits or {})},
                "bounds": {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 52, **(bounds or {})},
                "platform": {"address": f"{store[0]}:{store[1]}", "form": "objects"}}

    def start(self, role, name, fields):
        description = deploy()[role]
        path = Path(self.folder.name) / f"{name}.json"
        path.write_text(render((ROOT / description["template"]).read_text(), fields))
        self.settings[name] = (role, fields)
        environment = {"PATH": os.environ["PATH"], "HOME": self.folder.name,
                       "LANG": "C.UTF-8", "DOTTERELPORT_CONFIG": str(path)}
        log = open(Path(self.folder.name) / f"{name}.log", "a")
        words = description["run"].split()
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} is not built")
        self.processes[name] = subprocess.Popen([str(ROOT / words[0]), *words[1:]], cwd=ROOT,
                                                env=environment, stdout=log, stderr=log)
        self.record(f"started {name}")

    def signal(self, name, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def log_of(self, name):
        return (Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    def memory_mb(self, name, field="VmRSS"):
        """Memory of a process; 0 once it has ended."""
        try:
            text = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(rf"{field}:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()


async def wait_ready(address, seconds=15):
    """Waits until a gateway answers GET /readyz with 200."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            if answer is not None and " 200 " in answer[0]:
                return
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.1)
    raise CannotRun("the gateway did not become ready")


def request_bytes(method, path, headers, body=b"", host="a.example"):
    text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    if body or method != "GET":
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode() + body


def run(case, path):
    """Runs a case, which returns whether the rule held, and exits with the status of the issue."""
    record = Record(path)
    fleet = Fleet(record)
    status = NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(case(record, fleet), 110))
        status = HELD if held else BROKEN
        record("the rule held" if held else "the rule was broken")
    except (CannotRun, asyncio.TimeoutError, OSError) as failure:
        record(f"the case could not run: {failure!r}")
        print(f"the case could not run: {failure!r}", file=sys.stderr)
    finally:
        fleet.stop()
    sys.exit(status)
