"""Starts a small fleet, sends a streamed request and a booking, and prints the bill."""

import argparse
import json
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from deployment import build
from processes import Fleet, build_directory, http

KEY = "demo"
CONFIGURATION = Path(__file__).resolve().parents[2] / "examples/config/quickstart.json"
BILL_TIMEOUT_S = 15


def stream_chat(router):
    """Sends one streamed chat completion and prints the text as it arrives."""
    body = {
        "model": "ember-7b",
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": 24,
        "messages": [{"role": "user", "content": "Summarise lot 17 of quebracho charcoal."}],
    }
    request = urllib.request.Request(
        f"http://{router.callers}/v1/chat/completions", data=json.dumps(body).encode()
    )
    request.add_header("content-type", "application/json")
    request.add_header("authorization", f"Bearer {KEY}")
    with urllib.request.urlopen(request, timeout=30) as answer:
        for line in answer:
            text = line.decode().strip()
            if not text.startswith("data: ") or text == "data: [DONE]":
                continue
            chunk = json.loads(text[len("data: "):])
            for choice in chunk.get("choices", []):
                print(choice.get("delta", {}).get("content") or "", end="", flush=True)
            if chunk.get("usage"):
                print(f"\nusage: {chunk['usage']}")


def send_booking(router):
    return http(
        "POST",
        router.callers,
        "/v1/services/dispatch/bookings",
        {"lot": 17, "bags": 40, "depot": "lota"},
        timeout=30,
        headers={"authorization": f"Bearer {KEY}", "idempotency-key": "booking-1"},
    )


def wait_for_bill(fleet, expected_lines):
    """Waits for the lines on the bill, about one flush interval; returns the number of lines."""
    end = time.monotonic() + BILL_TIMEOUT_S
    while True:
        bill = fleet.run_dotterelctl("bill", "--json")
        billed = len(json.loads(bill.stdout)["lines"]) if bill.returncode == 0 else 0
        if billed >= expected_lines or time.monotonic() > end:
            return billed
        time.sleep(0.2)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="leave the fleet running")
    arguments = parser.parse_args()
    deployment = build(
        "quickstart", "south", ["coronel", "lota"], {"coal-llm": 2, "dispatch": 1}
    )
    with tempfile.TemporaryDirectory(prefix="dotterelport-") as directory:
        with Fleet(deployment, build_directory(), directory) as fleet:
            fleet.start_platform()
            applied = fleet.apply(CONFIGURATION)
            print(applied.stdout + applied.stderr, end="")
            if applied.returncode != 0:
                return 1
            fleet.start_all()
            fleet.wait_ready()
            first, second = deployment.routers()
            print(f"--- streamed request through {first.name}")
            stream_chat(first)
            print(f"--- booking through {second.name}")
            status, text = send_booking(second)
            print(status, text)
            print("--- the same booking again: the stored answer, not a second booking")
            again = send_booking(first)
            print(*again)
            billed = wait_for_bill(fleet, 2)
            bill = fleet.run_dotterelctl("bill")
            print("--- bill\n" + bill.stdout + bill.stderr)
            budget = fleet.run_dotterelctl("budget")
            print("--- budget\n" + budget.stdout + budget.stderr)
            if arguments.keep:
                keep_running(fleet, first)
            statuses = fleet.stop_all()
    failed = {name: code for name, code in statuses.items()
              if code != 0 and name.startswith(("router", "agent"))}
    if failed:
        print(f"processes that did not stop cleanly: {failed}")
    ok = status == 201 and again == (201, text) and billed == 2 and not failed
    print("quickstart passed" if ok else "quickstart failed")
    return 0 if ok else 1


def keep_running(fleet, router):
    print("The fleet is running; press Ctrl-C to stop it. Addresses:")
    print(f"  platform stand-in  {fleet.deployment.platform}")
    for node in fleet.deployment.nodes:
        print(f"  {node.name:20} peers {node.peers} operators {node.operators}"
              + (f" callers {node.callers}" if node.kind == "router" else ""))
    print(f"Try: curl -N http://{router.callers}/v1/chat/completions"
          f" -H 'authorization: Bearer {KEY}' -H 'content-type: application/json'"
          " -d '{\"model\":\"ember-7b\",\"stream\":true,"
          "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'")
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print()


if __name__ == "__main__":
    sys.exit(main())
