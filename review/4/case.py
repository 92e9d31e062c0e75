import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import kit

PROMPT, MOST_OUTPUT, OUTPUT = 400, 4_000, 20
AT_MOST = PROMPT + MOST_OUTPUT
RESERVED = 30_000
# Tenants whose shard of the ledger is owned by edge-1, to which the first of their requests goes.
TENANTS = [f"tenant{i}" for i in (3, 5, 6, 9, 10, 11, 13, 19)]
PER_TENANT = 12
SLOW_S = 4.5
USUAL_ANSWER_S = 0.004
SLOW_ANSWER_S = 0.18


async def stream(engine, request, writer):
    """Five events of four tokens each."""
    lines = ["HTTP/1.1 200 OK", f"X-Attempt-Id: {request['id']}", "Content-Type: text/event-stream",
             f"X-Response-Signature: signed.{engine.name}", "Transfer-Encoding: chunked"]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    for number in range(1, 6):
        event = f"id: {number}\ndata: {request['id']}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.005)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def case(record, directory, with_trouble):
    store = kit.Store()
    store.delay = USUAL_ANSWER_S
    await store.start()
    engines = [kit.Engine(record, f"i-{i}", "model", capacity=96, on_request=stream) for i in (1, 2, 3)]
    for engine in engines:
        await engine.start()
        await store.put("servers", engine.name, engine.registration())
    model = kit.service("model", engine_id={"capacity": 96, "kv_capacity": 195428, "interval": 4,
                                            "model_ids": [{"name": "m"}]})
    names = TENANTS
    await store.put("config", "main", kit.configuration(
        7, [kit.route("r-chat", "/chat/", "streaming", "model", target_latency_ms=600, target_itl_ms=500)], [model],
        [{"name": name, "api_keys": ["key-of-" + name], "priority": 1, "reserved": RESERVED} for name in names]))
    edges = [kit.Edge(record, directory, f"edge-{i}", store.port) for i in (1, 2, 3)]
    for edge in edges:
        edge.start()
    tenant_of = {}

    async def send(tenant, edge):
        identity = f"{len(tenant_of) + 1:016x}"
        tenant_of[identity] = tenant
        record("client sends", identity, "of", tenant, "to", edge.name)
        answer = await kit.ask(edge.port, "POST", "/chat/x",
                               {"X-Attempt-Id": identity, "X-Model-Id": "m",
                                "X-Token-Usage": f"{PROMPT},{MOST_OUTPUT}",
                                "X-Prefix-Hash": f"{len(tenant_of):x}:{PROMPT}", "X-Deadline-Ms": "3000",
                                "Authorization": "Token key-of-" + tenant}, b"{}")
        record("client gets", identity, answer["status"], answer["body"] if answer["status"] != 200 else "")
        return answer["status"]

    def used(tenant):
        """Tokens of the requests that reached an engine."""
        ran = {request["id"] for engine in engines for request in engine.arrivals}
        return sum(PROMPT + OUTPUT for identity in ran if tenant_of[identity] == tenant)

    async def arrive_together(tenant):
        """One request, and 12 more within the next 60 ms, spread over the edges."""
        tasks = [asyncio.create_task(send(tenant, edges[0]))]
        for i in range(PER_TENANT):
            await asyncio.sleep(0.005)
            tasks.append(asyncio.create_task(send(tenant, edges[i % len(edges)])))
        return await asyncio.gather(*tasks)

    try:
        for edge in edges:
            await edge.wait_ready()
        # The edges learn of each other.
        await asyncio.sleep(5)
        for name in names:
            await send(name, edges[0])
        # The tenants pause, so that their grants are returned.
        await asyncio.sleep(10)
        if with_trouble:
            store.delay = SLOW_ANSWER_S
            record("the store answers in", SLOW_ANSWER_S, "s")
        end = time.monotonic() + SLOW_S
        groups = []
        for name in names:
            groups.append(asyncio.create_task(arrive_together(name)))
            await asyncio.sleep(0.45)
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        store.delay = USUAL_ANSWER_S
        record("the store answers in", USUAL_ANSWER_S, "s again")
        for name, group in zip(names, groups):
            record(name, "got", await group, "and used", used(name), "of", RESERVED)
        await asyncio.sleep(45)
        denied = 0

        async def come_back(tenant):
            nonlocal denied
            for i in range(8):
                fits = used(tenant) + AT_MOST <= 0.97 * RESERVED
                status = await send(tenant, edges[i % len(edges)])
                denied += status == 402 and fits
                await asyncio.sleep(0.3)

        await asyncio.gather(*[come_back(name) for name in names])
    finally:
        for edge in edges:
            edge.stop()
    record("402 although the balance covers the request:", denied, "of", len(tenant_of), "requests")
    return denied > 5 + len(tenant_of) / 500


kit.run_case(case, os.path.join(FOLDER, "record.txt"), os.environ.get("TROUBLE", "1") != "0")
