import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import kit

KEY = "n2ctnfzs989anu6wsjnb"
PROMPT, OUTPUT = 400, 40
SMALL, LARGE = 4_000, 400_000
PROPAGATION_S = 2.0


async def stream(engine, request, writer):
    """Ten events of four tokens each."""
    lines = ["HTTP/1.1 200 OK", f"X-Attempt-Id: {request['id']}", "Content-Type: text/event-stream",
             f"X-Response-Signature: signed.{engine.name}", "Transfer-Encoding: chunked"]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    for number in range(1, 11):
        event = f"id: {number}\ndata: {request['id']}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.005)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


def settings_of(version, reserved):
    model = kit.service("model", engine_id={"capacity": 128, "kv_capacity": 287072, "interval": 4,
                                            "model_ids": [{"name": "m"}]})
    return kit.configuration(
        version, [kit.route("r-chat", "/chat/", "streaming", "model", target_itl_ms=500)], [model],
        [{"name": "t1", "api_keys": [KEY], "priority": 1, "reserved": reserved}])


async def case(record, directory, with_trouble):
    store = kit.Store()
    await store.start()
    engines = [kit.Engine(record, f"i-{i}", "model", capacity=128, on_request=stream) for i in (1, 2)]
    for engine in engines:
        await engine.start()
        await store.put("servers", engine.name, engine.registration())
    await store.put("config", "main", settings_of(7, SMALL if with_trouble else LARGE))
    edge = kit.Edge(record, directory, "edge-1", store.port)
    edge.start()
    sent = 0

    async def send():
        nonlocal sent
        sent += 1
        identity = f"{sent:016x}"
        record("client sends", identity)
        answer = await kit.ask(edge.port, "POST", "/chat/x",
                               {"X-Attempt-Id": identity, "X-Model-Id": "m",
                                "X-Token-Usage": f"{PROMPT},{OUTPUT}", "X-Prefix-Hash": f"{sent:x}:{PROMPT}",
                                "X-Deadline-Ms": "3000", "Authorization": "Token " + KEY}, b"{}")
        record("client gets", identity, answer["status"], answer["body"][:60])
        return answer["status"]

    try:
        await edge.wait_ready()
        # The workspace uses up its budget, one request after the other.
        for _ in range(25):
            status = await send()
            if status == 402:
                break
            await asyncio.sleep(0.3 if status != 200 else 0.05)
        await asyncio.sleep(12)
        if with_trouble:
            await store.put("config", "main", settings_of(8, LARGE))
            record("store acknowledges version 8, reserved", LARGE)
        await asyncio.sleep(PROPAGATION_S + 1)
        statuses = await asyncio.gather(*[send() for _ in range(30)])
    finally:
        edge.stop()
    denied = statuses.count(402)
    record("after the change:", {status: statuses.count(status) for status in set(statuses)})
    return denied > 5 + sent / 500


kit.run_case(case, os.path.join(FOLDER, "record.txt"), os.environ.get("TROUBLE", "1") != "0")
