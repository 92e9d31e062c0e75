"""The two deployments of the fault run: failure domains, services, workspaces and traffic."""

from dataclasses import dataclass

from deployment import build, workspace_entry

CHAT, CALL_READ, CALL_BOOKING = "chat", "read", "booking"


@dataclass
class Traffic:
    """One stream of requests of a workspace."""

    workspace: str
    kind: str
    service: str
    requests_per_second: float
    max_tokens: int = 0
    prompt: str = ""


@dataclass
class Scenario:
    name: str
    region: str
    domains: list
    model_service: str
    model: str
    application: str
    engines: int
    max_output_tokens: int
    workspaces: list  # (name, priority, prepaid tokens)
    traffic: list

    def deployment(self, base_port=21000):
        services = {self.model_service: self.engines, self.application: 3}
        return build(self.name, self.region, self.domains, services, base_port=base_port)

    def services(self):
        return [
            {
                "name": self.model_service,
                "kind": "model",
                "models": [self.model],
                "max_output_tokens": self.max_output_tokens,
            },
            {
                "name": self.application,
                "kind": "application",
                "tokens_per_call": 1,
                "lookup": "/bookings/{key}",
                "routes": [
                    {"method": "POST", "path": "/bookings", "idempotent": False,
                     "priority": "interactive"},
                    {"method": "GET", "path": "/stock/*", "idempotent": True,
                     "priority": "interactive"},
                ],
            },
        ]

    def configuration(self, prepaid):
        """Returns the configuration document with the given prepaid totals by workspace name."""
        return {
            "format": 1,
            "services": self.services(),
            "workspaces": [
                workspace_entry(name, [self.model_service, self.application], priority,
                                prepaid[name])
                for name, priority, _ in self.workspaces
            ],
            "settings": {"budget_shards": 4, "flush_ms": 500},
        }

    def initial_prepaid(self):
        return {name: prepaid for name, _, prepaid in self.workspaces}


def carbones():
    """Small budgets, of which some are exhausted during a run."""
    model, application = "coal-llm", "dispatch"
    workspaces = [
        ("buyers", "normal", 60_000),
        ("depot-coronel", "interactive", 8_000),
        ("depot-lota", "interactive", 8_000),
        ("depot-arauco", "interactive", 4_000),
        ("vendors", "interactive", 12_000),
        ("audit", "batch", 3_000),
    ]
    traffic = [
        Traffic("buyers", CHAT, model, 4, 160, "review the purchase contract for quebracho "),
        Traffic("depot-coronel", CHAT, model, 2, 64, "summarise the supplier lot "),
        Traffic("depot-coronel", CALL_BOOKING, application, 2),
        Traffic("depot-lota", CALL_BOOKING, application, 2),
        Traffic("depot-lota", CALL_READ, application, 3),
        Traffic("depot-arauco", CHAT, model, 2, 64, "summarise the supplier lot "),
        Traffic("depot-arauco", CALL_BOOKING, application, 1),
        Traffic("vendors", CHAT, model, 4, 48, "which brazier coal is in stock "),
        Traffic("vendors", CALL_READ, application, 4),
        Traffic("audit", CHAT, model, 1, 200, "list anomalies in the ledger "),
    ]
    return Scenario("carbones", "biobio", ["coronel", "lota", "arauco"], model, "ember-7b",
                    application, 12, 256, workspaces, traffic)


def caroni():
    """Many small requests; work stops when a question from the shop floor is refused."""
    model, application = "blend-llm", "orders"
    workspaces = [
        ("blenders", "batch", 80_000),
        ("letters", "batch", 30_000),
        ("rollers", "interactive", 60_000),
        ("order-desk", "interactive", 20_000),
        ("shed-two", "interactive", 6_000),
    ]
    traffic = [
        Traffic("blenders", CHAT, model, 2, 240, "review the fragrance formula "),
        Traffic("letters", CHAT, model, 1, 160, "draft a letter to the supplier "),
        Traffic("rollers", CHAT, model, 10, 24, "how long does the paste dry "),
        Traffic("shed-two", CHAT, model, 4, 24, "which bamboo size for this order "),
        Traffic("order-desk", CALL_BOOKING, application, 4),
        Traffic("order-desk", CALL_READ, application, 5),
    ]
    return Scenario("caroni", "trinidad", ["chaguanas", "couva", "san-fernando"], model,
                    "blend-7b", application, 20, 256, workspaces, traffic)


SCENARIOS = {"carbones": carbones, "caroni": caroni}
