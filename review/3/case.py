import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import kit

KEY = "n2ctnfzs989anu6wsjnb"
UNKNOWN_KEY = "neverheldbyanytenant"
# revoke_ms of the site; longer than propagation_ms, 2,000.
REVOKE_S = 5.0


def settings_of(version, tenants):
    return kit.configuration(version, [kit.route("r-book", "/book/", "non_idempotent", "desk")],
                             [kit.service("desk")], tenants)


async def case(record, directory, with_trouble):
    tenant = {"name": "t1", "api_keys": [KEY], "priority": 1, "reserved": 100_000}
    store = kit.Store()
    await store.start()
    engines = [kit.Engine(record, f"i-{i}", "desk") for i in (1, 2)]
    for engine in engines:
        await engine.start()
        await store.put("servers", engine.name, engine.registration())
    await store.put("config", "main", settings_of(7, [tenant]))
    edges = [kit.Edge(record, directory, f"edge-{i}", store.port) for i in (1, 2)]
    for edge in edges:
        edge.start()
    sent = 0

    async def send(key):
        nonlocal sent
        sent += 1
        identity = f"{sent:016x}"
        record("client sends", identity, "key", key)
        answer = await kit.ask(edges[sent % 2].port, "POST", "/book/x",
                               {"X-Attempt-Id": identity, "X-Deadline-Ms": "3000",
                                "Authorization": "Token " + key}, b"{}")
        record("client gets", identity, answer["status"])
        return identity

    def run_of(identities):
        return [request for engine in engines for request in engine.arrivals if request["id"] in identities]

    try:
        for edge in edges:
            await edge.wait_ready()
        served = [await send(KEY) for _ in range(4)]
        refused = [await send(UNKNOWN_KEY) for _ in range(4)]
        if len(run_of(served)) != 4 or run_of(refused):
            raise RuntimeError("the first configuration is not in force")
        if with_trouble:
            await store.put("config", "main", settings_of(8, []))
            record("store acknowledges version 8, which removes the tenant and its key")
        await asyncio.sleep(REVOKE_S + 1)
        removed = [await send(KEY) for _ in range(10)] if with_trouble else []
        unknown = [await send(UNKNOWN_KEY) for _ in range(10)]
    finally:
        for edge in edges:
            edge.stop()
    record("run with a removed key:", len(run_of(removed)), "of", len(removed))
    record("run with a key that no configuration held:", len(run_of(unknown)), "of", len(unknown))
    return bool(run_of(removed) or run_of(unknown))


kit.run_case(case, os.path.join(FOLDER, "record.txt"), os.environ.get("TROUBLE", "1") != "0")
