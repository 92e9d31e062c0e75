"""Deployments that the quickstart and the fault run start on loopback."""

import hashlib
import json
from dataclasses import dataclass, field
from pathlib import Path

PLATFORM_PORT = 0
CALLERS, PEERS, OPERATORS = 0, 1, 2
PORTS_PER_NODE = 4


@dataclass
class Node:
    """A router, or an agent with its backend server."""

    name: str
    kind: str  # "router" or "agent"
    domain: str
    first_port: int
    service: str = ""

    def address(self, port):
        return f"127.0.0.1:{self.first_port + port}"

    @property
    def peers(self):
        return self.address(PEERS)

    @property
    def operators(self):
        return self.address(OPERATORS)

    @property
    def callers(self):
        return self.address(CALLERS)

    @property
    def backend_server(self):
        return self.address(3)


@dataclass
class Deployment:
    name: str
    region: str
    domains: list
    nodes: list = field(default_factory=list)
    base_port: int = 21000

    @property
    def platform(self):
        return f"127.0.0.1:{self.base_port}"

    @property
    def relay_control(self):
        return f"127.0.0.1:{self.base_port + 1}"

    def routers(self):
        return [node for node in self.nodes if node.kind == "router"]

    def agents(self, service=None):
        return [n for n in self.nodes if n.kind == "agent" and service in (None, n.service)]


def build(name, region, domains, services, routers_per_domain=1, base_port=21000):
    """Distributes routers and backend servers over the failure domains.

    services maps a service name to its number of backend servers.
    """
    deployment = Deployment(name, region, domains, base_port=base_port)
    port = base_port + 10

    def add(node_name, kind, domain, service=""):
        nonlocal port
        deployment.nodes.append(Node(node_name, kind, domain, port, service))
        port += PORTS_PER_NODE

    for domain in domains:
        for index in range(routers_per_domain):
            add(f"router-{domain}-{index + 1}", "router", domain)
    for service, count in services.items():
        for index in range(count):
            domain = domains[index % len(domains)]
            add(f"agent-{service}-{index + 1}", "agent", domain, service)
    return deployment


def relay_links(deployment):
    """Relay entries for every path that crosses failure domains or leads to the platform.

    A link is named after the two sides that it connects, so that a cut closes both directions.
    """
    entries = []
    port = deployment.base_port + 2000
    for domain in deployment.domains:
        entries.append((domain, f"{domain}|platform", deployment.platform, port))
        port += 1
        for node in deployment.nodes:
            if node.domain != domain:
                link = "|".join(sorted([domain, node.domain]))
                entries.append((domain, link, node.peers, port))
                port += 1
    return entries


def relay_settings(deployment):
    return {
        "control": deployment.relay_control,
        "links": [
            {"name": link, "listen": f"127.0.0.1:{port}", "target": target}
            for _, link, target, port in relay_links(deployment)
        ],
    }


def node_settings(deployment, node, log_directory, with_relay):
    settings = {
        "name": node.name,
        "vm": node.name,
        "region": deployment.region,
        "failure_domain": node.domain,
        "platform": deployment.platform,
        "listen": {"peers": node.peers, "operators": node.operators},
        "log": {"file": str(Path(log_directory) / f"{node.name}.log"), "level": "info"},
        "drain_timeout_ms": 60000,
    }
    if node.kind == "router":
        settings["listen"]["callers"] = node.callers
    else:
        settings["service"] = node.service
        settings["backend_server"] = node.backend_server
    if with_relay:
        settings["address_overrides"] = {
            target: f"127.0.0.1:{port}"
            for domain, _, target, port in relay_links(deployment)
            if domain == node.domain
        }
    return settings


def bearer_key(workspace):
    return f"key-of-{workspace}"


def workspace_entry(name, services, priority, prepaid):
    digest = hashlib.sha256(bearer_key(name).encode()).hexdigest()
    return {
        "name": name,
        "services": services,
        "priority": priority,
        "keys": [f"sha256:{digest}"],
        "budgets": [{"name": f"{name}-main", "services": ["*"], "prepaid_tokens": prepaid}],
    }


def write_json(path, value):
    Path(path).write_text(json.dumps(value, indent=1) + "\n")
