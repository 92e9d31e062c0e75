import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import kit

KEY = "n2ctnfzs989anu6wsjnb"
RETRY_AFTER_S = 20
OUTAGE_S = 4.5
# "about two seconds" after the store's return
RETURN_S = 2.0


async def case(record, directory, with_trouble):
    told = {}  # (engine, edge) -> time at which the engine answered it 503 with Retry-After
    edge_of = {}
    late = []

    async def full_then_free(engine, request, writer):
        edge = (engine.name, edge_of[request["id"]])
        if edge not in told:
            told[edge] = time.monotonic()
            record("engine", engine.name, "answers", request["id"], "503 with Retry-After", RETRY_AFTER_S)
            await engine.send(writer, request, 503, b"", [("X-Not-Executed", "1"),
                                                          ("Retry-After", str(RETRY_AFTER_S))])
            return
        age = time.monotonic() - told[edge]
        if 0.5 < age < RETRY_AFTER_S:
            late.append(edge)
            record("engine", engine.name, "gets", request["id"], "from", edge[1], f"{age:.2f} s after its 503")
        await engine.answer_at_once(request, writer)

    store = kit.Store()
    await store.start()
    engines = [kit.Engine(record, f"i-{i}", "desk", on_request=full_then_free) for i in (1, 2)]
    for engine in engines:
        await engine.start()
        await store.put("servers", engine.name, engine.registration())
    tenants = [{"name": "t1", "api_keys": [KEY], "priority": 1, "reserved": 100_000}]
    await store.put("config", "main", kit.configuration(
        7, [kit.route("r-stock", "/stock/", "idempotent", "desk", max_attempts=2)], [kit.service("desk")], tenants))
    edges = [kit.Edge(record, directory, f"edge-{i}", store.port) for i in (1, 2, 3)]
    for edge in edges:
        edge.start()
    sent = 0

    async def send(edge):
        nonlocal sent
        sent += 1
        identity = f"{sent:016x}"
        edge_of[identity] = edge.name
        record("client sends", identity, "to", edge.name)
        answer = await kit.ask(edge.port, "GET", "/stock/x",
                               {"X-Attempt-Id": identity, "X-Deadline-Ms": "3000",
                                "Authorization": "Token " + KEY})
        record("client gets", identity, answer["status"])

    try:
        for edge in edges:
            await edge.wait_ready()
        for edge in edges:
            await send(edge)
            await send(edge)
        if len(told) != len(edges) * len(engines):
            raise RuntimeError("not every engine has asked every edge to wait")
        end = min(told.values()) + RETRY_AFTER_S - 0.5
        if with_trouble:
            record("store is down")
            store.mode = "busy"
            await asyncio.sleep(OUTAGE_S)
            # The registrations have expired: three heartbeat intervals of 1.2 s have passed.
            for engine in engines:
                await store.remove("servers", engine.name)
            store.mode = "up"
            record("store is back")
            await asyncio.sleep(RETURN_S)
            for engine in engines:
                await store.put("servers", engine.name, engine.registration())
            record("both engines are registered again")
        else:
            await asyncio.sleep(OUTAGE_S + RETURN_S)
        await asyncio.sleep(1)
        while time.monotonic() < end:
            await asyncio.gather(*[send(edge) for edge in edges])
            await asyncio.sleep(0.3)
    finally:
        for edge in edges:
            edge.stop()
    counts = {pair: late.count(pair) for pair in told}
    record("requests at an engine in the time that it asked the edge for:", counts)
    return max(counts.values()) > 2


kit.run_case(case, FOLDER)
