"""Random schedule of the faults of a fault run, and the functions that inject and remove them."""

import asyncio
import json
import signal
import time

from deployment import write_json
from processes import http

MIN_COUNT_PER_MINUTE = 5
FAULT_FREE_START_S = 3
FAULT_FREE_END_S = 10
CONTROL_TIMEOUT_S = 10


async def in_thread(function, *arguments):
    return await asyncio.get_running_loop().run_in_executor(None, function, *arguments)


class Faults:
    """Injects faults into a running fleet. Each fault is removed before its function returns."""

    def __init__(self, fleet, scenario, callers, random):
        self.fleet = fleet
        self.scenario = scenario
        self.callers = callers
        self.random = random
        self.deployment = fleet.deployment
        self.counts = {}
        self.busy_nodes = set()
        self.engine_counters = []
        self.applies = []
        self.graceful_stop_results = []
        self.race_count = 0
        self.next_prepaid = dict(callers.prepaid)
        self.config_lock = asyncio.Lock()

    KINDS = (
        "kill_router", "stop_router", "freeze_router", "kill_agent", "leave_agent",
        "freeze_agent", "kill_engine", "cut_domains", "cut_platform", "platform_outage",
        "platform_slow", "lost_answers", "top_up", "operator_race", "crashing_request",
    )

    def schedule(self, seconds):
        """Returns the times and kinds of the faults; each kind occurs at least five times a minute."""
        count = max(1, round(MIN_COUNT_PER_MINUTE * seconds / 60))
        window = max(1.0, seconds - FAULT_FREE_START_S - FAULT_FREE_END_S)
        return sorted(
            (FAULT_FREE_START_S + self.random.random() * window, kind)
            for kind in self.KINDS
            for _ in range(count)
        )

    async def run(self, seconds):
        start = time.monotonic()
        tasks = []
        for at, kind in self.schedule(seconds):
            await asyncio.sleep(max(0, start + at - time.monotonic()))
            tasks.append(asyncio.create_task(self.cause(kind)))
        await asyncio.gather(*tasks)

    async def cause(self, kind):
        await getattr(self, kind)()
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def pick(self, nodes):
        """Returns a random node that no other fault is using, or None without waiting."""
        free = [node for node in nodes if node.name not in self.busy_nodes]
        return self.random.choice(free) if free else None

    def duration(self, low, high):
        return low + self.random.random() * (high - low)

    async def with_node(self, nodes, action):
        node = self.pick(nodes)
        while node is None:
            await asyncio.sleep(0.2)
            node = self.pick(nodes)
        self.busy_nodes.add(node.name)
        try:
            await action(node)
        finally:
            self.busy_nodes.discard(node.name)

    async def restart(self, node, pause):
        await asyncio.sleep(pause)
        self.fleet.start_node(node)

    async def kill_router(self):
        async def action(node):
            self.fleet.kill(node.name)
            await self.restart(node, self.duration(0.3, 3))
        await self.with_node(self.deployment.routers(), action)

    async def stop_router(self):
        async def action(node):
            status = await in_thread(self.fleet.stop, node.name)
            if status != 0:
                self.graceful_stop_results.append((node.name, f"exit status {status}"))
            await self.restart(node, self.duration(0.1, 1))
        await self.with_node(self.deployment.routers(), action)

    async def freeze(self, node, seconds):
        self.fleet.send_signal(node.name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.fleet.send_signal(node.name, signal.SIGCONT)

    async def freeze_router(self):
        await self.with_node(self.deployment.routers(),
                             lambda node: self.freeze(node, self.duration(1, 12)))

    async def freeze_agent(self):
        await self.with_node(self.deployment.agents(),
                             lambda node: self.freeze(node, self.duration(1, 8)))

    async def kill_agent(self):
        async def action(node):
            self.fleet.kill(node.name)
            await self.restart(node, self.duration(0.3, 3))
        await self.with_node(self.deployment.agents(), action)

    async def leave_agent(self):
        """Stops an agent gracefully; counts the runs that its backend server starts after 3 s."""
        async def action(node):
            self.fleet.set_vm(node.name, "leaving")
            process = asyncio.create_task(in_thread(self.fleet.stop, node.name))
            await asyncio.sleep(3)
            before = await in_thread(self.runs_at, node)
            status = await process
            after = await in_thread(self.runs_at, node)
            self.graceful_stop_results.append((node.name, after - before))
            if status != 0:
                self.graceful_stop_results.append((node.name, f"exit status {status}"))
            self.fleet.set_vm(node.name, "live")
            await self.restart(node, 0.1)
        await self.with_node(self.deployment.agents(), action)

    def counters(self, node):
        status, text = http("GET", node.backend_server, "/standin/counters")
        return json.loads(text) if status == 200 else {}

    def runs_at(self, node):
        return sum(entry["runs"] for entry in self.counters(node).get("keys", {}).values())

    async def kill_engine(self):
        """Terminates a backend server without notice. The stand-in prints its counters on exit."""
        async def action(node):
            name = f"backend-{node.name}"
            process = self.fleet.processes.pop(name)
            process.terminate()
            await in_thread(process.wait)
            await asyncio.sleep(self.duration(0.2, 2))
            self.fleet.start_backend_server(node)
        await self.with_node(self.deployment.agents(), action)

    async def set_link(self, name, state):
        await in_thread(http, "POST", self.deployment.relay_control, "/standin/links",
                        {"link": name, "state": state})

    async def cut(self, links, seconds):
        state = self.random.choice(["refuse", "swallow", "freeze"])
        for link in links:
            await self.set_link(link, state)
        await asyncio.sleep(seconds)
        for link in links:
            await self.set_link(link, "open")

    async def cut_domains(self):
        """Cuts the links between one failure domain and the others."""
        domain = self.random.choice(self.deployment.domains)
        links = ["|".join(sorted([domain, other])) for other in self.deployment.domains
                 if other != domain]
        await self.cut(links, self.duration(1, 8))

    async def cut_platform(self):
        domain = self.random.choice(self.deployment.domains)
        await self.cut([f"{domain}|platform"], self.duration(1, 8))

    async def platform_fault(self, fault, reset, seconds):
        await in_thread(http, "POST", self.deployment.platform, "/standin/faults", fault)
        await asyncio.sleep(seconds)
        await in_thread(http, "POST", self.deployment.platform, "/standin/faults", reset)

    async def platform_outage(self):
        await self.platform_fault({"outage": True}, {"outage": False}, self.duration(1, 8))

    async def platform_slow(self):
        delay_ms = self.random.choice([50, 200, 800])
        await self.platform_fault({"slow_ms": delay_ms}, {"slow_ms": 0}, self.duration(1, 6))

    async def lost_answers(self):
        await self.platform_fault({"lose_answers": self.random.randint(1, 6)}, {}, 0.5)

    def apply_prepaid(self, prepaid, suffix):
        path = self.fleet.work / f"configuration-{suffix}.json"
        write_json(path, self.scenario.configuration(prepaid))
        return self.fleet.apply(path)

    async def top_up(self):
        """Raises the prepaid total of one budget; repeats the apply until its outcome is known."""
        async with self.config_lock:
            workspace = self.random.choice([name for name, _, _ in self.scenario.workspaces])
            self.next_prepaid[workspace] += self.random.choice([200, 1000, 3000])
            await self.apply_until_accepted(dict(self.next_prepaid), f"top-up-{len(self.applies)}")

    async def apply_until_accepted(self, prepaid, suffix):
        # The new totals may be in force before the command returns, so checks use them from now on.
        self.callers.prepaid.update(prepaid)
        for _ in range(30):
            result = await in_thread(self.apply_prepaid, prepaid, suffix)
            if result.returncode == 0:
                self.applies.append((time.monotonic(), suffix))
                return
            await asyncio.sleep(0.5)

    async def operator_race(self):
        """Two operators apply files based on the same generation.

        Without other faults one exits with 0 and the other with 3; both must never exit with 0.
        """
        async with self.config_lock:
            prepaid = dict(self.next_prepaid)
            shown = await in_thread(self.fleet.run_dotterelctl, "show", "--generation")
            generation = shown.stdout.strip()
            results = await asyncio.gather(*(
                in_thread(self.fleet.run_dotterelctl, "apply", "--if-generation", generation,
                          self.write_race_configuration(prepaid, operator))
                for operator in (1, 2)
            ))
            self.applies.append((time.monotonic(), sorted(r.returncode for r in results)))

    def write_race_configuration(self, prepaid, operator):
        """Writes a configuration whose flush_ms differs in each call; returns its path."""
        document = self.scenario.configuration(prepaid)
        # If the document were already in force, both operators would succeed.
        self.race_count += 1
        document["settings"]["flush_ms"] += self.race_count
        path = self.fleet.work / f"configuration-race-{operator}.json"
        write_json(path, document)
        return str(path)

    async def crashing_request(self):
        """Sends a request that crashes each backend server that runs it; its caller retries it."""
        traffic = next(t for t in self.scenario.traffic if t.kind == "chat")
        self.callers.spawn(traffic, prompt=f"crash-the-backend {self.random.random()}")
