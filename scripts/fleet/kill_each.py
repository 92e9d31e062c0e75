"""Kills each process of a small fleet in turn and checks that the others still serve requests."""

import sys
import tempfile
import time

from deployment import build
from processes import Fleet, build_directory, http, wait_until
from quickstart import CONFIGURATION, KEY

SERVING_TIMEOUT_S = 10
DISCOVERY_S = 3  # time in which all processes discover a restarted one


def chat(router):
    body = {"model": "ember-7b", "max_tokens": 4,
            "messages": [{"role": "user", "content": "hello"}]}
    status, _ = http("POST", router.callers, "/v1/chat/completions", body, timeout=10,
                     headers={"authorization": f"Bearer {KEY}"})
    return status == 200


def stock(router):
    status, _ = http("GET", router.callers, "/v1/services/dispatch/stock/coal", timeout=10,
                     headers={"authorization": f"Bearer {KEY}"})
    return status == 200


def check_serving(fleet, killed):
    """Waits until every live router serves both services; returns the seconds until then."""
    start = time.monotonic()
    for router in fleet.deployment.routers():
        if router.name != killed:
            for call in (chat, stock):
                wait_until(lambda: call(router), f"{call.__name__} through {router.name} "
                           f"without {killed}", SERVING_TIMEOUT_S)
    return time.monotonic() - start


def main():
    deployment = build("kill-each", "south", ["coronel", "lota"], {"coal-llm": 2, "dispatch": 2},
                       base_port=25000)
    nodes = {node.name: node for node in deployment.nodes}
    with tempfile.TemporaryDirectory(prefix="dotterelport-") as directory:
        with Fleet(deployment, build_directory(), directory) as fleet:
            fleet.start_platform()
            fleet.apply(CONFIGURATION)
            fleet.start_all()
            fleet.wait_ready()
            check_serving(fleet, "nothing")
            for name in sorted(fleet.processes, key=lambda name: name == "platform"):
                time.sleep(DISCOVERY_S)
                check_serving(fleet, "nothing")
                fleet.kill(name)
                seconds = check_serving(fleet, name)
                print(f"without {name}: all other routers serve after {seconds:.2f} s")
                if name == "platform":
                    break
                if name in nodes:
                    fleet.start_node(nodes[name])
                else:
                    fleet.start_backend_server(nodes[name.removeprefix("backend-")])
                wait_until(lambda: all(map(fleet.is_ready, deployment.nodes)), "all ready")
    print("kill-each passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
