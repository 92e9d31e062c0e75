"""Starts and stops the processes of a deployment."""

import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

from deployment import node_settings, relay_settings, write_json

READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 70


def http(method, address, path, body=None, timeout=5, headers=None):
    """Sends an HTTP request; returns (status, body text)."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    request.add_header("content-type", "application/json")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as failure:
        return failure.code, failure.read().decode()


def wait_until(condition, description, timeout=READY_TIMEOUT_S):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"timed out after {timeout} s while waiting for: {description}")


class Fleet:
    """The processes of one deployment, by name."""

    def __init__(self, deployment, build_directory, work_directory, with_relay=False):
        self.deployment = deployment
        self.build = Path(build_directory)
        self.work = Path(work_directory)
        self.with_relay = with_relay
        self.processes = {}
        self.work.mkdir(parents=True, exist_ok=True)

    def start_process(self, name, command):
        with open(self.work / f"{name}.out", "a") as output:
            self.processes[name] = subprocess.Popen(
                [str(argument) for argument in command], stdout=output, stderr=output
            )

    def start_platform(self):
        self.start_process(
            "platform", [self.build / "standin-platform", "--listen", self.deployment.platform]
        )
        wait_until(
            lambda: http("GET", self.deployment.platform, "/v1/vms")[0] == 200, "platform start"
        )
        for node in self.deployment.nodes:
            self.set_vm(node.name, "live")
        if self.with_relay:
            path = self.work / "relay.json"
            write_json(path, relay_settings(self.deployment))
            self.start_process("relay", [self.build / "standin-relay", "--settings", path])

    def set_vm(self, name, state):
        http("POST", self.deployment.platform, "/standin/vms", {"vm": name, "state": state})

    def start_backend_server(self, node):
        application = node.service in ("dispatch", "orders")
        program = "standin-service" if application else "standin-engine"
        command = [self.build / program, "--listen", node.backend_server]
        self.start_process(f"backend-{node.name}", command + ["--crash-marker"])

    def start_node(self, node):
        path = self.work / f"{node.name}.json"
        write_json(path, node_settings(self.deployment, node, self.work, self.with_relay))
        self.start_process(node.name, [self.build / f"dotterelport-{node.kind}", "--settings", path])

    def start_all(self):
        for node in self.deployment.agents():
            self.start_backend_server(node)
        for node in self.deployment.nodes:
            self.start_node(node)

    def is_ready(self, node):
        return http("GET", node.operators, "/readyz")[0] == 200

    def wait_ready(self):
        for node in self.deployment.nodes:
            wait_until(lambda: self.is_ready(node), f"{node.name} ready")

    def apply(self, configuration):
        """Applies a configuration file with dotterelctl; returns the completed process."""
        return self.run_dotterelctl("apply", str(configuration))

    def run_dotterelctl(self, *arguments):
        command = [self.build / "dotterelctl", "--platform", self.deployment.platform, *arguments]
        return subprocess.run(
            [str(argument) for argument in command], capture_output=True, text=True, timeout=60
        )

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name, timeout=STOP_TIMEOUT_S):
        """Stops one process gracefully; returns its exit status."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout)

    def stop_all(self):
        """Stops routers and agents gracefully, then the stand-ins."""
        statuses = {}
        for group in ("router-", "agent-", "backend-", ""):
            names = [name for name in self.processes if name.startswith(group)]
            for name in names:
                self.processes[name].send_signal(signal.SIGCONT)
                self.processes[name].terminate()
            for name in names:
                try:
                    statuses[name] = self.processes[name].wait(STOP_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    self.processes[name].kill()
                    statuses[name] = self.processes[name].wait()
                del self.processes[name]
        return statuses

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()


def build_directory():
    return Path(os.path.dirname(os.path.abspath(__file__))).parent.parent / "build"
