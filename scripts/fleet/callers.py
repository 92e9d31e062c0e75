"""Callers of the fault run: send requests, retry them with the same key and record the answers."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from deployment import bearer_key
from http_stream import BrokenAnswer, ConnectFailure, request
from scenarios import CALL_BOOKING, CHAT

ANSWER_TIMEOUT_S = 20
MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.4
BUDGET_CODES = ("budget_exhausted", "budget_unavailable")


@dataclass
class Record:
    """A request of a caller and its latest known outcome."""

    workspace: str
    key: str
    kind: str
    upper_tokens: int
    attempts: int = 0
    result: str = "open"  # ok, refused, not_run, may_have_run, failed, broken
    code: str = ""
    status: int = 0
    text: str = ""
    usage: dict = field(default_factory=dict)
    text_error: str = ""
    verdicts: list = field(default_factory=list)
    false_refusal: bool = False
    crashing: bool = False
    started: float = 0
    first_token_s: float = 0
    total_s: float = 0

    @property
    def max_charged_tokens(self):
        """Upper bound of the tokens charged for this request, according to its answers."""
        if self.result == "ok" and self.usage:
            return self.usage.get("prompt_tokens", 0) + self.usage.get("completion_tokens", 0)
        if self.result in ("refused", "not_run"):
            return 0
        return self.upper_tokens


class StreamReader:
    """Reassembles the text of a streamed chat completion."""

    def __init__(self, record):
        self.record = record
        self.buffer = b""
        self.done = False
        self.error = None
        self.texts = []

    def feed(self, data):
        self.buffer += data
        while b"\n\n" in self.buffer:
            event, _, self.buffer = self.buffer.partition(b"\n\n")
            for line in event.split(b"\n"):
                if line.startswith(b"data:"):
                    self.handle_event(line[5:].strip().decode())

    def handle_event(self, text):
        if text == "[DONE]":
            self.done = True
            return
        chunk = json.loads(text)
        if "error" in chunk:
            self.error = chunk["error"]
            return
        if not self.record.first_token_s:
            self.record.first_token_s = time.monotonic() - self.record.started
        for choice in chunk.get("choices", []):
            self.texts.append(choice.get("delta", {}).get("content") or "")
        if chunk.get("usage"):
            self.record.usage = chunk["usage"]


def check_text(record):
    """Checks that an answer has all tokens of its own request, in order.

    Returns a description of the first error, or an empty string.
    """
    words = record.text.split()
    for index, word in enumerate(words):
        fields = word.rsplit("/", 2)
        if len(fields) != 3 or not fields[0].endswith(record.key):
            return f"token {index} belongs to another request: {word}"
        if fields[1] != str(index):
            return f"token {index} has number {fields[1]}"
    expected = record.usage.get("completion_tokens")
    if expected is not None and expected != len(words):
        return f"{len(words)} of {expected} tokens arrived"
    return ""


class Callers:
    """Sends the traffic of a scenario to the routers."""

    def __init__(self, scenario, deployment, random, prepaid):
        self.scenario = scenario
        self.deployment = deployment
        self.random = random
        self.prepaid = prepaid  # latest applied prepaid totals by workspace
        self.records = []
        self.request_count = 0
        self.tasks = set()
        self.stopping = False

    async def run(self, traffic, end):
        """Sends one stream of requests until the end time, with exponentially distributed gaps."""
        while time.monotonic() < end:
            await asyncio.sleep(self.random.expovariate(traffic.requests_per_second))
            self.spawn(traffic)

    def spawn(self, traffic, prompt=None):
        self.request_count += 1
        record = Record(traffic.workspace, f"{traffic.workspace}-{self.request_count}",
                        traffic.kind, 1)
        record.crashing = prompt is not None
        self.records.append(record)
        body = self.body(traffic, record, prompt)
        task = asyncio.create_task(self.send_with_retries(traffic, record, body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return record

    def body(self, traffic, record, prompt):
        if traffic.kind != CHAT:
            return {"lot": self.request_count} if traffic.kind == CALL_BOOKING else None
        content = prompt or traffic.prompt + f"number {self.request_count % 17} of this season"
        record.upper_tokens = len(content.split()) + traffic.max_tokens
        return {
            "model": self.scenario.model,
            "stream": True,
            "stream_options": {"include_usage": True},
            "max_tokens": traffic.max_tokens,
            "messages": [{"role": "user", "content": content}],
        }

    def path(self, traffic):
        if traffic.kind == CHAT:
            return "POST", "/v1/chat/completions"
        if traffic.kind == CALL_BOOKING:
            return "POST", f"/v1/services/{traffic.service}/bookings"
        return "GET", f"/v1/services/{traffic.service}/stock/item-{self.request_count % 9}"

    async def send_with_retries(self, traffic, record, body):
        """Retries a request with its key until its outcome is final or MAX_ATTEMPTS is reached."""
        record.started = time.monotonic()
        method, path = self.path(traffic)
        while record.attempts < MAX_ATTEMPTS:
            record.attempts += 1
            final = await self.attempt(record, method, path, body)
            if final:
                break
            await asyncio.sleep(RETRY_DELAY_S * (1 + self.random.random()))
        record.total_s = time.monotonic() - record.started

    async def attempt(self, record, method, path, body):
        router = self.random.choice(self.deployment.routers())
        headers = {
            "authorization": f"Bearer {bearer_key(record.workspace)}",
            "idempotency-key": record.key,
        }
        record.usage = {}
        reader = StreamReader(record)
        streamed = record.kind == CHAT
        try:
            answer = await request(method, router.callers, path, headers, body, ANSWER_TIMEOUT_S,
                                   reader.feed if streamed else None)
        except ConnectFailure:
            if record.result == "open":
                record.result = "not_run"
            return False
        except BrokenAnswer:
            record.result = "broken"
            return False
        return self.record_outcome(record, answer, reader if streamed else None)

    def record_outcome(self, record, answer, reader):
        """Records the outcome of an answer; returns whether it is final."""
        record.status = answer.status
        if answer.status in (200, 201) and (reader is None or (reader.done and not reader.error)):
            record.result = "ok"
            record.text = "".join(reader.texts) if reader else answer.body.decode()
            if reader:
                record.text_error = check_text(record)
            return True
        error = (reader.error if reader and reader.error else None) or answer.json().get("error", {})
        record.code = str(error.get("code", ""))
        verdict = error.get("verdict") or answer.headers.get("x-dotterelport-verdict", "")
        record.verdicts.append((verdict, record.code, answer.status))
        if answer.status in (200, 201):
            record.result = "broken" if verdict != "not_run" else "not_run"
            return False
        if record.code in BUDGET_CODES:
            record.result = "refused"
            record.false_refusal = self.budget_covers(record)
            # budget_exhausted is final; budget_unavailable may succeed on a retry.
            return record.code == "budget_exhausted"
        record.result = verdict or "failed"
        return record.code in ("quarantined", "key_reused", "invalid_request", "invalid_key")

    def budget_covers(self, refused):
        """Returns whether the remaining tokens of the whole budget covered a refused request."""
        spent = sum(record.max_charged_tokens for record in self.records
                    if record.workspace == refused.workspace and record is not refused)
        return self.prepaid[refused.workspace] - spent >= refused.upper_tokens

    async def settle(self):
        """Waits for the in-flight requests."""
        while self.tasks:
            await asyncio.wait(self.tasks, timeout=1)

    async def retry_unresolved(self):
        """Retries the bookings whose outcome is unknown, after the last fault."""
        for record in self.records:
            if record.kind == CALL_BOOKING and record.result not in ("ok", "refused"):
                record.attempts = 0
                traffic = next(t for t in self.scenario.traffic
                               if t.workspace == record.workspace and t.kind == CALL_BOOKING)
                await self.send_with_retries(traffic, record, self.booking_body(record))

    @staticmethod
    def booking_body(record):
        return {"lot": int(record.key.rsplit("-", 1)[1])}
