"""Compares the answers that callers received, the bill and the runs that the stand-ins counted."""

import json
import statistics
from collections import defaultdict
from dataclasses import dataclass, field

from processes import http
from scenarios import CALL_BOOKING, CHAT


@dataclass
class Requirement:
    """A requirement with the number of its checks and its violations: one row of the report."""

    name: str
    checks: int = 0
    violations: list = field(default_factory=list)

    def check(self, holds, text):
        self.checks += 1
        if not holds:
            self.violations.append(text)


def printed_counters(fleet, node):
    """Yields the counters that earlier processes of a backend server printed on exit."""
    path = fleet.work / f"backend-{node.name}.out"
    for line in path.read_text().splitlines():
        if line.startswith('{"counters"'):
            yield json.loads(line)["counters"]


def merge_counters(fleet):
    """Sums runs and tokens by request key over all backend servers and their earlier processes."""
    merged = defaultdict(lambda: defaultdict(int))
    for node in fleet.deployment.agents():
        status, text = http("GET", node.backend_server, "/standin/counters")
        live = [json.loads(text)] if status == 200 else []
        for counters in live + list(printed_counters(fleet, node)):
            for key, entry in counters.get("keys", {}).items():
                for name, value in entry.items():
                    merged[key][name] += value
    return merged


def key_of(record):
    return f"{record.workspace}/{record.key}"


def check_spend(requirement, run):
    """Neither the tokens that were run nor those in the ledger exceed the prepaid totals."""
    overspend = 0
    ran = defaultdict(int)
    for record in run.callers.records:
        entry = run.counters.get(key_of(record), {})
        used = entry.get("prompt_tokens", 0) + entry.get("completion_tokens", 0)
        ran[record.workspace] += used if record.kind == CHAT else entry.get("runs", 0)
    for workspace, prepaid in run.callers.prepaid.items():
        requirement.check(ran[workspace] <= prepaid,
                          f"{workspace}: ran {ran[workspace]} of {prepaid} prepaid tokens")
        overspend += max(0, ran[workspace] - prepaid)
    for budget in run.budgets:
        spent = budget["settled"] + budget["unproved"] + budget["open"]
        requirement.check(spent <= budget["ceiling"], f"ledger of {budget['name']}: {budget}")
        overspend += max(0, spent - budget["ceiling"])
    return overspend


def check_bill(requirement, run):
    """Each completed request is billed exactly once, with the tokens that were run."""
    lines = defaultdict(list)
    for line in run.bill:
        if not line.get("void"):
            lines[(line["workspace"], line["key"])].append(line)
    for record in run.callers.records:
        found = lines.pop((record.workspace, record.key), [])
        requirement.check(len(found) <= 1, f"{record.key}: {len(found)} bill lines")
        if record.result != "ok":
            continue
        requirement.check(len(found) == 1 or run.is_unproved(record),
                          f"{record.key}: completed and has no bill line")
        if record.kind == CHAT and found:
            reported = record.usage.get("prompt_tokens", 0) + record.usage.get("completion_tokens", 0)
            requirement.check(found[0]["tokens"] >= reported,
                              f"{record.key}: billed {found[0]['tokens']}, "
                              f"reported to the caller {reported}")
    requirement.check(not lines, f"bill lines of unknown requests: {list(lines)[:3]}")


def check_answers(requirement, run):
    """An answer is complete, in order and belongs to the caller's request."""
    for record in run.callers.records:
        if record.result == "ok" and record.kind == CHAT:
            requirement.check(not record.text_error, f"{record.key}: {record.text_error}")


def check_not_run(requirement, run):
    """A request never ran if each of its attempts ended with the verdict not_run."""
    for record in run.callers.records:
        received = [verdict for verdict, _, _ in record.verdicts]
        if received and all(verdict == "not_run" for verdict in received) \
                and record.result == "not_run" and len(received) == record.attempts:
            runs = run.counters.get(key_of(record), {}).get("runs", 0)
            requirement.check(runs == 0, f"{record.key}: received not_run, ran {runs} times")


def check_bookings(requirement, run):
    """A booking runs at most once, and exactly once if the caller received a success."""
    for record in run.callers.records:
        if record.kind != CALL_BOOKING:
            continue
        runs = run.counters.get(key_of(record), {}).get("runs", 0)
        requirement.check(runs <= 1, f"{record.key}: ran {runs} times")
        if record.result == "ok":
            requirement.check(runs == 1, f"{record.key}: succeeded and ran {runs} times")


def check_crashes(requirement, run):
    """A request that crashes backend servers runs on at most two of them."""
    for record in run.callers.records:
        if record.crashing:
            runs = run.counters.get(key_of(record), {}).get("runs", 0)
            requirement.check(runs <= 2, f"{record.key}: crashed {runs} backend servers")


def check_leaving(requirement, run):
    """A leaving backend server receives no new work: it starts no run after 3 s.

    A graceful stop must cut off no request; of this, the exit status is checked, which must be 0.
    """
    for name, result in run.faults.graceful_stop_results:
        requirement.check(result == 0, f"{name}: {result}")
    requirement.checks += len(run.faults.graceful_stop_results) == 0


def check_graceful(requirement, run):
    for name, status in run.stop_statuses.items():
        if name.startswith(("router", "agent")):
            requirement.check(status == 0, f"{name} stopped with status {status}")


def check_configuration(requirement, run):
    """A configuration in force never reverts.

    No node reverts to an older generation, at most one of two racing operators succeeds, and all
    nodes have the same generation in the end.
    """
    for violation in run.generation_violations:
        requirement.check(False, violation)
    requirement.checks += run.generation_samples
    for _, result in run.faults.applies:
        if isinstance(result, list):
            requirement.check(result in ([0, 3], [3, 3], [0, 4], [3, 4], [4, 4]),
                              f"two operators ended with {result}")
    requirement.check(len(set(run.final_generations.values())) == 1,
                      f"generations at the end: {run.final_generations}")


REQUIREMENTS = (
    ("spend within prepaid budgets", check_spend),
    ("each request billed once", check_bill),
    ("answers complete and of the own request", check_answers),
    ("requests with verdict not_run never ran", check_not_run),
    ("bookings run at most once", check_bookings),
    ("crashing request reaches no third server", check_crashes),
    ("leaving servers start no new runs", check_leaving),
    ("graceful stops exit with status 0", check_graceful),
    ("configuration in force never reverts", check_configuration),
)


def evaluate(run):
    """Runs all checks; returns the requirements and the overspent tokens."""
    requirements = []
    overspend = 0
    for name, function in REQUIREMENTS:
        requirement = Requirement(name)
        overspend += function(requirement, run) or 0
        requirements.append(requirement)
    return requirements, overspend


def median_and_maximum(values):
    return (statistics.median(values), max(values)) if values else (0, 0)
