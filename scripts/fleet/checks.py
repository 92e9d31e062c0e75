"""Compares what callers were told, what was billed and what the stand-ins ran."""

import json
import statistics
from collections import defaultdict
from dataclasses import dataclass, field

from processes import http
from scenarios import CALL_BOOKING, CHAT


@dataclass
class Point:
    """One point of the table: a requirement with its checks and violations."""

    name: str
    checks: int = 0
    violations: list = field(default_factory=list)

    def check(self, holds, text):
        self.checks += 1
        if not holds:
            self.violations.append(text)


def printed_counters(fleet, node):
    """Counters that earlier runs of a backend server printed as they exited."""
    path = fleet.work / f"backend-{node.name}.out"
    for line in path.read_text().splitlines():
        if line.startswith('{"counters"'):
            yield json.loads(line)["counters"]


def merge_counters(fleet):
    """Runs and tokens by request key, over all backend servers and their earlier runs."""
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


def check_spend(point, run):
    """H1: the tokens that backend servers ran and the ledger never exceed the prepaid totals."""
    overspend = 0
    ran = defaultdict(int)
    for record in run.callers.records:
        entry = run.counters.get(key_of(record), {})
        used = entry.get("prompt_tokens", 0) + entry.get("completion_tokens", 0)
        ran[record.workspace] += used if record.kind == CHAT else entry.get("runs", 0)
    for workspace, prepaid in run.callers.prepaid.items():
        point.check(ran[workspace] <= prepaid,
                    f"{workspace}: ran {ran[workspace]} of {prepaid} prepaid tokens")
        overspend += max(0, ran[workspace] - prepaid)
    for budget in run.budgets:
        spent = budget["settled"] + budget["unproved"] + budget["open"]
        point.check(spent <= budget["ceiling"], f"ledger of {budget['name']}: {budget}")
        overspend += max(0, spent - budget["ceiling"])
    return overspend


def check_bill(point, run):
    """H2: one line for each request that ran to its end, with the tokens that were run."""
    lines = defaultdict(list)
    for line in run.bill:
        if not line.get("void"):
            lines[(line["workspace"], line["key"])].append(line)
    for record in run.callers.records:
        found = lines.pop((record.workspace, record.key), [])
        point.check(len(found) <= 1, f"{record.key}: {len(found)} bill lines")
        if record.result != "ok":
            continue
        point.check(len(found) == 1 or run.is_unproved(record), f"{record.key}: ran and has no line")
        if record.kind == CHAT and found:
            told = record.usage.get("prompt_tokens", 0) + record.usage.get("completion_tokens", 0)
            point.check(found[0]["tokens"] >= told,
                        f"{record.key}: billed {found[0]['tokens']}, answered {told}")
    point.check(not lines, f"lines of unknown requests: {list(lines)[:3]}")


def check_answers(point, run):
    """H3: answers are whole, in order and the caller's own."""
    for record in run.callers.records:
        if record.result == "ok" and record.kind == CHAT:
            point.check(not record.chunks_wrong, f"{record.key}: {record.chunks_wrong}")


def check_not_run(point, run):
    """H4: a request whose last word was not_run never ran."""
    for record in run.callers.records:
        told = [verdict for verdict, _, _ in record.verdicts]
        if told and all(verdict == "not_run" for verdict in told) and record.result == "not_run" \
                and len(told) == record.attempts:
            runs = run.counters.get(key_of(record), {}).get("runs", 0)
            point.check(runs == 0, f"{record.key}: told not_run, ran {runs} times")


def check_bookings(point, run):
    """H5: bookings run at most once, and exactly once when the caller was told so."""
    for record in run.callers.records:
        if record.kind != CALL_BOOKING:
            continue
        runs = run.counters.get(key_of(record), {}).get("runs", 0)
        point.check(runs <= 1, f"{record.key}: ran {runs} times")
        if record.result == "ok":
            point.check(runs == 1, f"{record.key}: answered and ran {runs} times")


def check_crashes(point, run):
    """A request that crashes backend servers reaches at most two."""
    for record in run.callers.records:
        if record.crashing:
            runs = run.counters.get(key_of(record), {}).get("runs", 0)
            point.check(runs <= 2, f"{record.key}: crashed {runs} backend servers")


def check_leaving(point, run):
    """H6, H7: nothing new after 3 s, and graceful stops exit with 0."""
    for name, late in run.faults.leavings:
        point.check(late == 0, f"{name}: {late}")
    point.checks += len(run.faults.leavings) == 0


def check_graceful(point, run):
    for name, status in run.stop_statuses.items():
        if name.startswith(("router", "agent")):
            point.check(status == 0, f"{name} stopped with status {status}")


def check_configuration(point, run):
    """H8: no process goes back, races have one winner, and in the end all run the newest generation."""
    for violation in run.generation_violations:
        point.check(False, violation)
    point.checks += run.generation_samples
    for _, result in run.faults.applies:
        if isinstance(result, list):
            point.check(result in ([0, 3], [3, 3], [0, 4], [3, 4], [4, 4]),
                        f"two operators ended with {result}")
    point.check(len(set(run.final_generations.values())) == 1,
                f"generations at the end: {run.final_generations}")


POINTS = (
    ("spend within prepaid budgets", check_spend),
    ("each request billed once", check_bill),
    ("whole answer of the own request", check_answers),
    ("not_run is true", check_not_run),
    ("bookings at most once", check_bookings),
    ("crashing request reaches no third server", check_crashes),
    ("leaving servers get nothing new", check_leaving),
    ("graceful stop cuts nothing off", check_graceful),
    ("configuration in force, never reverts", check_configuration),
)


def evaluate(run):
    """Runs all checks; returns the points and the overspent tokens."""
    points = []
    overspend = 0
    for name, function in POINTS:
        point = Point(name)
        overspend += function(point, run) or 0
        points.append(point)
    return points, overspend


def median_and_maximum(values):
    return (statistics.median(values), max(values)) if values else (0, 0)
