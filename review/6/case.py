"""A ledger write without an answer, executed seconds later, removes a grant that is in use."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from kit2 import (CannotRun, Engine, Store, TROUBLE, free_port, message, read_message,  # noqa: E402
                  request_bytes, run, wait_ready)

RESERVED = 60_000
PROMPT_TOKENS = 300
OUTPUT_TOKENS = 40
TOKENS_PER_EVENT = 4

# The store is silent for 2.5 s (at most 4.5 s on the pages), and the write that reached it last
# is done 3.2 s later (1 to 6 s on the pages).
OUTAGE_S = float(os.environ.get("OUTAGE_S", "2.5"))
LATE_S = float(os.environ.get("LATE_S", "3.2"))

CONFIGURATION = {
    "version": 4,
    "routes": [{"name": "questions", "hostname": "a.example", "path_prefix": "/ask/",
                "type": "streaming", "timeout_ms": 15000, "target_latency_ms": 600, "priority": 2,
                "service": "model", "max_attempts": 1, "anonymous": False,
                "session_affinity": True, "resumable": False, "target_itl_ms": 500}],
    "services": [{"name": "model", "health_path": "/healthz", "max_connections": 480,
                  "protocol": "h1", "tls_enabled": False,
                  "engine_id": {"capacity": 96, "kv_capacity": 195428,
                                "interval": TOKENS_PER_EVENT}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": "rollers", "api_keys": ["key-of-rollers"], "reserved": RESERVED}],
}


class ModelEngine(Engine):
    """Streams the answer to each request in events of a few tokens."""

    async def usual_answer(self, writer, line, request, body):
        attempt = request.get("x-attempt-id")
        self.runs.append(attempt)
        self.record(f"{self.name} runs {attempt} of tenant {request.get('x-tenant-id')}")
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        for name, value in self.headers(request).items():
            head += f"{name}: {value}\r\n"
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, OUTPUT_TOKENS // TOKENS_PER_EVENT + 1):
            await asyncio.sleep(0.01)
            event = f"id: {number}\ndata: words\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")


def grants_of(body):
    """Number of grants in the ledger that a write contains."""
    ledger = json.loads(json.loads(body)["spec"]["text"])
    return sum(len(budget["grants"]) for budget in ledger["budgets"].values())


class LateStore(Store):
    """A store that goes silent when a gateway returns its grant: this write gets no answer, and is
    done later if its condition holds. All other calls of the outage are not done."""

    armed = False
    silent = False
    late_write = None

    def __init__(self, record):
        super().__init__(record)
        self.lost = set()

    async def handle(self, writer, line, body):
        is_ledger = line.startswith("PUT /objects/dotterelport-budget/")
        if is_ledger:
            condition = json.loads(body)["metadata"].get("revision")
            self.record(f"store gets the ledger with {grants_of(body)} grants, if at revision "
                        f"{condition}")
        if self.armed and is_ledger and grants_of(body) == 0:
            self.armed = False
            self.late_write = (line, body)
            if TROUBLE:
                self.silent = True
                asyncio.create_task(self.trouble())
        if self.silent:
            self.lost.add(writer)
        if writer not in self.lost:
            await super().handle(writer, line, body)

    def answer(self, writer, status, document):
        """Also watches that wait when the store goes silent get no answer. A connection on which an
        answer was lost returns nothing further."""
        if self.silent:
            self.lost.add(writer)
        if writer not in self.lost:
            super().answer(writer, status, document)

    async def trouble(self):
        self.record("the store goes silent; the write above is not answered")
        await asyncio.sleep(OUTAGE_S)
        self.silent = False
        self.record("the store answers again")
        await asyncio.sleep(LATE_S - OUTAGE_S)
        store = self

        class Nobody:
            """The connection of the write is closed: nobody gets its answer."""

            @staticmethod
            def write(answer):
                store.record("the late write is done: " + answer.decode().split("\r\n")[0])

        await super().handle(Nobody, *self.late_write)


class Clients:
    """Clients of one tenant. Counts what the tenant got, in tokens."""

    def __init__(self, record, addresses):
        self.record, self.addresses = record, addresses
        self.sent = self.got = 0
        self.answers = {}

    async def ask(self):
        self.sent += 1
        attempt = f"attempt-{self.sent}"
        address = self.addresses[self.sent % len(self.addresses)]
        status, events = "closed", 0
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request_bytes("POST", "/ask/1", {
                "X-Attempt-Id": attempt, "Authorization": "Token key-of-rollers",
                "X-Model-Id": "m", "X-Token-Usage": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
                "X-Prefix-Hash": f"91bd3f06:{PROMPT_TOKENS}", "X-Deadline-Ms": "15000"}, b"{}"))
            answer = await read_message(reader)
            if answer is not None:
                status, events = answer[0].split()[1], answer[2].count(b"data:")
            writer.close()
        except OSError:
            pass
        if status == "200":
            self.got += PROMPT_TOKENS + events * TOKENS_PER_EVENT
        self.answers[status] = self.answers.get(status, 0) + 1
        self.record(f"{attempt} to {address[0]}: {status}, {events} events; "
                    f"the tenant got {self.got} of {RESERVED} tokens")
        return status

    async def ask_for(self, seconds, per_second):
        end = time.monotonic() + seconds
        asked = []
        while time.monotonic() < end:
            asked.append(asyncio.create_task(self.ask()))
            await asyncio.sleep(1 / per_second)
        return await asyncio.gather(*asked)


async def case(record, fleet):
    store = LateStore(record)
    await store.start("127.0.0.1")
    engine = ModelEngine(record, "model", "i-7f3a91c2", capacity=96)
    await engine.start("127.0.1.1")
    await store.put("servers", engine.name, engine.registration())
    await store.put("config", "main", CONFIGURATION)
    port = free_port()
    ports = {"relay": port, "peers": port + 1, "frontend": port + 2, "readiness": port + 3}
    fleet.start("relay", "side-chaguanas-1",
                fleet.fields("side-chaguanas-1", "127.0.1.1", store.address, ports,
                             limits={"memory_mb": 192, "max_fds": 4096}))
    gateways = {"edge-chaguanas-1": ("127.0.0.2", "chaguanas"),
                "edge-couva-1": ("127.0.0.3", "couva"),
                "edge-sanfernando-1": ("127.0.0.4", "sanfernando")}
    for name, (ip, zone) in gateways.items():
        fleet.start("edge", name, fleet.fields(name, ip, store.address, ports, zone=zone))
    for ip, _ in gateways.values():
        await wait_ready((ip, ports["readiness"]))
    await asyncio.sleep(1.5)

    everywhere = [(ip, ports["frontend"]) for ip, _ in gateways.values()]
    clients = Clients(record, everywhere[:1])
    await clients.ask_for(1, per_second=5)
    # The client of this tenant belongs to the gateway that keeps the tenant's ledger shard.
    owner = next((name for name in gateways if '"budget/' in fleet.log_of(name)), None)
    if owner is None:
        raise CannotRun("no gateway has used the ledger")
    record(f"{owner} keeps the ledger shard of the tenant")
    clients.addresses = [(gateways[owner][0], ports["frontend"])]
    await clients.ask_for(2, per_second=5)
    # The tenant pauses, so that the gateway returns its grant. Then it goes on.
    store.armed = True
    end = time.monotonic() + 20
    while store.late_write is None:
        if time.monotonic() > end:
            raise CannotRun("no gateway returned its grant")
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.6)
    await clients.ask_for(9, per_second=6)
    record(f"answers so far: {clients.answers}")

    # The machines are stopped and started in turn.
    for name, (ip, _) in gateways.items():
        fleet.signal(name, signal.SIGTERM)
        await asyncio.to_thread(fleet.processes[name].wait)
        fleet.start(*fleet.settings[name][:1], name, fleet.settings[name][1])
        await wait_ready((ip, ports["readiness"]))
    clients.addresses = everywhere
    end = time.monotonic() + 45
    while time.monotonic() < end:
        statuses = await asyncio.gather(*[clients.ask() for _ in range(3)])
        if "402" in statuses and "200" not in statuses:
            break
        if set(statuses) != {"200"}:
            await asyncio.sleep(0.25)
    for name in gateways:
        for line in fleet.log_of(name).splitlines():
            if '"grant_missing"' in line or '"holder_closed"' in line:
                record(f"log of {name}: {line}")
    record(f"answers: {clients.answers}")
    record(f"the tenant got {clients.got} tokens, its reserved is {RESERVED}")
    return clients.got <= RESERVED


run(case, FOLDER / "record.txt")
