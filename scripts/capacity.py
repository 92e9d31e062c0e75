#!/usr/bin/env python3
"""Prints docs/CAPACITY.md, computed from the slopes that build/capacity-probe measured.

Usage: build/capacity-probe && python3 scripts/capacity.py [out/capacity/slopes.json]
"""
import json
import sys

# Target sizes from section 1 of the design page; REQUESTS are per second.
ROUTERS, AGENTS, DOMAINS = 340, 600, 6
BUDGETS, WORKSPACES, REQUESTS = 16_000, 13_000, 3_200
SHARDS, FLUSHES_PER_S = 256, 2  # proposed shard count; flush_ms 500
# Size of the HTTP headers of one message.
HTTP_HEADER_BYTES = 300

path = sys.argv[1] if len(sys.argv) > 1 else "out/capacity/slopes.json"
with open(path, encoding="utf-8") as file:
    measured = json.load(file)


def slope(subject, name):
    return measured[subject]["slopes"][name]


def row(*cells):
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


nodes = ROUTERS + AGENTS
message = measured["message_bytes"]
status = message["status_call"] + message["status_answer"] + 2 * HTTP_HEADER_BYTES
probe_us = [p for p in measured["node"]["points"] if p["size"] == 500][0]["routers_to_probe_us"]
node_mb = nodes * slope("node", "heap_bytes") / 1e6
config_mb = WORKSPACES * (slope("workspace", "document_heap_bytes")
                          + slope("workspace", "snapshot_index_heap_bytes")) / 1e6
server_mb = AGENTS * slope("server", "heap_bytes") / 1e6
prefix_mb = 200_000 * slope("prefix", "heap_bytes") / 1e6
POLLS_PER_S = 10  # status calls of one router, over all its agents
poll_kb = POLLS_PER_S * status / 1e3
agent_polls = ROUTERS * POLLS_PER_S / AGENTS
shards_per_router = SHARDS * DOMAINS / ROUTERS
shard_budgets = BUDGETS / SHARDS
shard_kb = shard_budgets * slope("budget", "object_bytes") / 1e3
own_shard_kb = shards_per_router * FLUSHES_PER_S * 2 * shard_kb
reservations = REQUESTS * 10 / (SHARDS * DOMAINS) * shards_per_router
reserve_kb = REQUESTS / ROUTERS * (message["reserve_call"] + 2 * HTTP_HEADER_BYTES) * 2 / 1e3
ledger_cpu = shards_per_router * FLUSHES_PER_S * shard_budgets * (
    slope("budget", "format_us") + slope("budget", "parse_us")) / 1e6 * 100

print("""# Capacity

Computed by `scripts/capacity.py` from the slopes that `build/capacity-probe` measured over 500, 1,000, 2,000
and 4,000 items (least squares; heap from mallinfo2, CPU time of one thread on the shared build machine). Counts
of messages and the 300 bytes of HTTP headers a message are computed from the protocol and are not measured, and
no fleet of this size was run. Limits: 2.4 % of a core, 64 MB and 9 KB/s a node; several hundred writes/s and
2,000 reads/s at the platform.

## Measured slopes

| Subject | Value | For each item |
|---|---|---|""")
for subject in ("node", "workspace", "budget", "reservation", "server", "prefix"):
    for name, value in measured[subject]["slopes"].items():
        if name not in ("reserved", "routers_to_probe_us"):
            print(row(subject, name, f"{value:.2f}"))
print(row("node", "routers_to_probe at 500 routers, a call (grows with the square)",
          f"{probe_us / 1000:.1f} ms"))
print(f"""
## By role at the target size

{ROUTERS} routers, {AGENTS} agents, {DOMAINS} failure domains, {BUDGETS:,} budgets, {WORKSPACES:,} workspaces,
{REQUESTS:,} requests/s. For the ledger, {SHARDS} shards are assumed.

| Role | State and memory | Messages | CPU | Carried by | Fits |
|---|---|---|---|---|---|
| router, node view | {nodes} records, {node_mb:.1f} MB | 1 listing/s, about {HTTP_HEADER_BYTES * 2 / 1e3:.1f} KB/s when nothing changes | {probe_us / 1e4:.1f} % for choosing probes at 500 routers | `list` since a revision | node: yes; platform: see below |
| router, configuration | {config_mb:.1f} MB | 1 poll/s of a neighbour, {(message['config_manifest_call'] + 2 * HTTP_HEADER_BYTES) / 1e3:.1f} KB/s | {WORKSPACES * slope('workspace', 'parse_us') / 1e6:.2f} s for a parse of all parts; only changed parts are parsed | parts by hash | yes |
| router, load and caches | {server_mb:.1f} MB and at most {prefix_mb:.1f} MB for 200,000 blocks | {poll_kb:,.1f} KB/s for {POLLS_PER_S} status calls a second, so that each of {AGENTS // DOMAINS} agents of the domain is asked every {AGENTS / DOMAINS / POLLS_PER_S:.0f} s | {POLLS_PER_S * slope('server', 'status_us') / 1e4:.3f} % for taking the status, without parsing HTTP | polling one agent at a time | alone, but it takes most of 9 KB/s |
| shard owner | {shards_per_router:.1f} shards, {shard_budgets:.0f} budgets each, {shards_per_router * shard_budgets * slope('budget', 'heap_bytes') / 1e6:.2f} MB; {reservations:.0f} reservations of 10 s, {reservations * slope('reservation', 'heap_bytes') / 1e6:.2f} MB | {own_shard_kb:.0f} KB/s for reading and writing its objects ({shard_kb:.1f} KB each) {FLUSHES_PER_S} times/s; {reserve_kb:.1f} KB/s for reserving | {ledger_cpu:.1f} % | conditional updates | NO (traffic) |
| configuration watcher | as a router | 1 watch, and {(ROUTERS + AGENTS) / (DOMAINS * 2):.0f} polls/s to answer, {(ROUTERS + AGENTS) / (DOMAINS * 2) * (message['config_manifest_call'] + 2 * HTTP_HEADER_BYTES) / 1e3:.0f} KB/s | not measured | two watchers a domain | NO (traffic) |
| agent | {nodes} records, {node_mb:.1f} MB; replay buffers up to 32 MB by limit | {agent_polls:.1f} status calls/s to answer, {agent_polls * status / 1e3:,.1f} KB/s | not measured | polling | yes |

## The platform

| Call | Rate at the target size | Limit |
|---|---|---|
| `list node/` by every node each second | {nodes} reads/s | 2,000 reads/s |
| VM list by every node each 2 s | {nodes / 2:.0f} reads/s | the same |
| configuration watches | {DOMAINS * 2} waiting | the same |
| ledger: batch and shard, a flush, if every owner of {SHARDS} shards has spend | {SHARDS * DOMAINS * FLUSHES_PER_S * 2:,} writes/s | several hundred writes/s |
| signs of life, one router a domain each 10 s | {DOMAINS / 10:.1f} writes/s | the same |

Listings and VM lists take {nodes * 1.5:,.0f} of 2,000 reads/s, which leaves little for the ledger and for recovery.

## What does not fit with today's mechanisms, and what would carry it

* **Every node lists `node/` and the VMs.** Let the two configuration watchers of a failure domain follow both, and
  hand changes to the others in the answer to the poll that they make anyway: {DOMAINS * 2 * 1.5:.0f} reads/s.
* **Status calls take most of a router's 9 KB/s**, and a load report is up to {AGENTS / DOMAINS / POLLS_PER_S:.0f} s old. Routers of a
  failure domain should share them: one asks, and the others take a digest from it or the load from answers.
* **Ledger writes.** With {SHARDS} shards, {DOMAINS} owners and a flush of 500 ms the writes are far beyond the limit. At a
  flush interval of 10 s they are {SHARDS * DOMAINS * 2 / 10:.0f} writes/s; 48 shards with 4 s give {48 * DOMAINS * 2 / 4:.0f} writes/s, at {BUDGETS / 48 * slope('budget', 'object_bytes') / 1e3:.0f} KB an
  object. A delta format, or writes only for budgets that changed, would carry the bytes; larger grants carry the rate.
* **Watchers that answer all polls of their domain.** Routers should pass the generation on in a tree, or on
  messages that flow anyway.
* **Choosing probes costs the square of the number of routers.** The choice should be kept until the view changes.
* **Closed records stay** under `node/<name>`, because the next epoch follows from them. With new VM names for 380
  replacements a day, {380 * 365 * slope('node', 'record_bytes') / 1e6:.0f} MB gather in a year; epochs taken from the store's revision would let them be deleted.
""")
