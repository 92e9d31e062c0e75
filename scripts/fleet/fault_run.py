"""Runs a deployment of real processes under random faults and checks the requirements."""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import checks
from callers import Callers
from deployment import write_json
from faults import Faults, in_thread
from processes import Fleet, build_directory, http
from scenarios import SCENARIOS

SETTLE_TIMEOUT_S = 40
SAMPLE_INTERVAL_S = 0.5
WATCHDOG_INTERVAL_S = 0.3
SHOWN_VIOLATIONS = 5


class Run:
    """One fault run and its observations."""

    def __init__(self, arguments, directory):
        self.arguments = arguments
        self.scenario = SCENARIOS[arguments.deployment]()
        self.deployment = self.scenario.deployment(arguments.base_port)
        self.fleet = Fleet(self.deployment, arguments.build, directory,
                           with_relay=True)
        self.random = random.Random(arguments.seed)
        self.callers = Callers(self.scenario, self.deployment, random.Random(arguments.seed + 1),
                               self.scenario.initial_prepaid())
        self.faults = Faults(self.fleet, self.scenario, self.callers, self.random)
        self.generations = {}
        self.generation_samples = 0
        self.generation_violations = []
        self.final_generations = {}
        self.stop_statuses = {}
        self.budgets, self.bill, self.counters = [], [], {}

    def start(self):
        self.fleet.start_platform()
        path = self.fleet.work / "configuration.json"
        write_json(path, self.scenario.configuration(self.callers.prepaid))
        applied = self.fleet.apply(path)
        if applied.returncode != 0:
            raise RuntimeError(f"apply failed: {applied.stdout}{applied.stderr}")
        self.fleet.start_all()
        self.fleet.wait_ready()

    async def run(self):
        seconds = self.arguments.seconds
        end = time.monotonic() + seconds
        background_tasks = [asyncio.create_task(self.watch_backend_servers()),
                            asyncio.create_task(self.sample_generations())]
        traffic = [self.callers.run(t, end) for t in self.scenario.traffic]
        faults = [] if self.arguments.no_faults else [self.faults.run(seconds)]
        await asyncio.gather(*traffic, *faults)
        await self.callers.settle()
        await self.callers.retry_unresolved()
        await self.wait_until_settled()
        for task in background_tasks:
            task.cancel()
        self.collect()

    async def watch_backend_servers(self):
        """Restarts backend servers that a crashing request terminated, as the platform would."""
        while True:
            await asyncio.sleep(WATCHDOG_INTERVAL_S)
            for node in self.deployment.agents():
                process = self.fleet.processes.get(f"backend-{node.name}")
                if process is not None and process.poll() is not None:
                    self.fleet.start_backend_server(node)

    async def sample_generations(self):
        """Polls the generation in force at each node, which must never decrease."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for node in self.deployment.nodes:
                generation = await in_thread(self.generation_of, node)
                if generation is None:
                    continue
                self.generation_samples += 1
                if generation < self.generations.get(node.name, 0):
                    self.generation_violations.append(
                        f"{node.name} went from {self.generations[node.name]} to {generation}")
                self.generations[node.name] = generation

    @staticmethod
    def generation_of(node):
        """Returns the generation in force at a node, or None if it does not answer or is not ready."""
        call = {"jsonrpc": "2.0", "id": 1, "method": "status", "params": {}}
        try:
            _, text = http("POST", node.peers, "/rpc", call, timeout=0.3)
            return json.loads(text)["result"]["generation"] or None
        except (OSError, ValueError, KeyError):
            return None

    async def wait_until_settled(self):
        """Waits until grants of dead routers are reclaimed and all requests are settled, or a timeout."""
        end = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < end:
            await asyncio.sleep(1)
            await in_thread(self.read_budgets_and_bill)
            if self.budgets and all(b["reserved"] == 0 for b in self.budgets):
                return

    def read_budgets_and_bill(self):
        budget = self.fleet.run_dotterelctl("budget", "--json")
        bill = self.fleet.run_dotterelctl("bill", "--json")
        if budget.returncode == 0 and bill.returncode == 0:
            self.budgets = json.loads(budget.stdout)["budgets"]
            self.bill = json.loads(bill.stdout)["lines"]

    def collect(self):
        self.read_budgets_and_bill()
        self.final_generations = {
            node.name: self.generation_of(node) for node in self.deployment.nodes
        }
        self.counters = checks.merge_counters(self.fleet)
        self.stop_statuses = self.fleet.stop_all()

    def is_unproved(self, record):
        """Returns whether a budget of the workspace has enough unproved tokens to cover this request."""
        return any(b["workspace"] == record.workspace and b["unproved"] >= record.upper_tokens
                   for b in self.budgets)


def report(run):
    records = run.callers.records
    requirements, overspend = checks.evaluate(run)
    print(f"deployment {run.scenario.name}, {run.arguments.seconds} s, "
          f"{len(run.deployment.nodes)} nodes")
    print("faults: " + ", ".join(f"{k} {v}" for k, v in sorted(run.faults.counts.items())))
    print("results: " + ", ".join(f"{k} {v}" for k, v in Counter(
        f"{r.kind}:{r.result}" + (f":{r.code}" if r.result != "ok" and r.code else "")
        for r in records).most_common()))
    print(f"{'requirement':45} {'checks':>8} {'violations':>10}")
    for requirement in requirements:
        print(f"{requirement.name:45} {requirement.checks:8} {len(requirement.violations):10}")
        for text in requirement.violations[:SHOWN_VIOLATIONS]:
            print(f"    {text}")
    print_times(records)
    refused = [r for r in records if r.result == "refused"]
    false_refusals = [r for r in refused if r.false_refusal]
    unproved = sum(b["unproved"] for b in run.budgets)
    share = 100 * len(false_refusals) / max(1, len(records))
    print(f"refused {len(refused)}, false refusals {len(false_refusals)} ({share:.2f} %), "
          f"unproved tokens {unproved}")
    violations = sum(len(requirement.violations) for requirement in requirements)
    print(f"fault-run seed={run.arguments.seed} violations={violations} "
          f"overspend_tokens={overspend} false_refusals={len(false_refusals)} "
          f"requests={len(records)}")
    return 1 if violations or overspend else 0


def print_times(records):
    uncertain = sum(r.result in ("may_have_run", "broken") for r in records)
    print(f"ended may_have_run: {100 * uncertain / max(1, len(records)):.2f} % of requests")
    for kind in ("chat", "booking", "read"):
        times = [r.total_s for r in records if r.kind == kind and r.result == "ok"]
        median, maximum = checks.median_and_maximum(times)
        print(f"time to the answer, {kind}: median {median:.3f} s, maximum {maximum:.3f} s")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(SCENARIOS), required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--no-faults", action="store_true", help="traffic only")
    parser.add_argument("--base-port", type=int, default=26000)
    parser.add_argument("--build", default=build_directory(), help="directory of the programs")
    parser.add_argument("--keep", metavar="DIRECTORY", help="keep logs and settings there")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="dotterelport-") as directory:
        run = Run(arguments, Path(arguments.keep or directory))
        with run.fleet:
            run.start()
            asyncio.run(run.run())
        return report(run)


if __name__ == "__main__":
    sys.exit(main())
