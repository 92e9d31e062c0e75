"""Measures the time from an accepted apply until its generation is in force at every node."""

import argparse
import json
import statistics
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from deployment import build, workspace_entry, write_json
from processes import Fleet, build_directory, http

LIMIT_S = 5.0
POLL_INTERVAL_S = 0.02


def document(prepaid):
    return {
        "format": 1,
        "services": [
            {"name": "coal-llm", "kind": "model", "models": ["ember-7b"],
             "max_output_tokens": 256},
            {"name": "dispatch", "kind": "application", "tokens_per_call": 1, "routes": [
                {"method": "GET", "path": "/stock/*", "idempotent": True}]},
        ],
        "workspaces": [workspace_entry("depot", ["coal-llm", "dispatch"], "normal", prepaid)],
        "settings": {"budget_shards": 4, "flush_ms": 500},
    }


def generation_of(node):
    call = {"jsonrpc": "2.0", "id": 1, "method": "status", "params": {}}
    _, text = http("POST", node.peers, "/rpc", call, timeout=1)
    return json.loads(text)["result"]["generation"]


def measure(fleet, path, prepaid, pool):
    """Applies one configuration; returns the seconds until it is in force at the last node."""
    write_json(path, document(prepaid))
    result = fleet.apply(path)
    accepted = time.monotonic()
    if result.returncode != 0:
        raise RuntimeError(result.stdout + result.stderr)
    generation = int(fleet.run_dotterelctl("show", "--generation").stdout)
    pending = list(fleet.deployment.nodes)
    while pending:
        generations = pool.map(generation_of, pending)
        pending = [node for node, current in zip(pending, generations) if current < generation]
        elapsed = time.monotonic() - accepted
        if elapsed > 4 * LIMIT_S:
            raise RuntimeError(f"generation {generation} is not in force at "
                               f"{[node.name for node in pending]}")
        if pending:
            time.sleep(POLL_INTERVAL_S)
    return elapsed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--applies", type=int, default=100)
    arguments = parser.parse_args()
    deployment = build("apply", "south", ["coronel", "lota"], {"coal-llm": 4, "dispatch": 2},
                       base_port=24000)
    with tempfile.TemporaryDirectory(prefix="dotterelport-") as directory:
        with Fleet(deployment, build_directory(), directory) as fleet, \
                ThreadPoolExecutor(len(deployment.nodes)) as pool:
            fleet.start_platform()
            path = Path(directory) / "configuration.json"
            write_json(path, document(1000))
            fleet.apply(path)
            fleet.start_all()
            fleet.wait_ready()
            times = [measure(fleet, path, 1001 + i, pool) for i in range(arguments.applies)]
            fleet.stop_all()
    print(f"applies={len(times)} nodes={len(deployment.nodes)} "
          f"median_s={statistics.median(times):.3f} max_s={max(times):.3f}")
    return 0 if max(times) <= LIMIT_S else 1


if __name__ == "__main__":
    sys.exit(main())
