"""Acts of the soak in which attempts of a request that crashes upstreams end
otherwise than by a broken connection, and harmless ones beside them."""
import asyncio
import json
import time

import late_crashes
from wire import answer

ROUTE = "unproven"
# After this time from the third crash on, so many more may be sent.
CRASHES, CONTACT_S, LATE_MAX = 3, 3.0, 3
CRASH_AFTER_S, ANSWERED_AFTER_S, DOWN_S = (0.02, 0.06), 0.015, (1.0, 3.0)
FOR_S, PAUSE_S = 20.0, 0.3
# Harmless requests: callers of one round, how long upstreams are full, and how
# long after that all must be served.
CALLERS, FULL_S, SERVED_WITHIN_S = 20, 5.0, 8.0


def crash(unproven):
    return "crash"


def after_crashes(result):
    return lambda unproven: (
        result if len(unproven.crashes) >= CRASHES else "crash")


def drawn(unproven):
    return unproven.soak.random.choice(
        ["crash", "answer", "error_crash", "error", "not_run", "unconfirmed"])


# What becomes of the next attempt at an upstream.
RESULTS = {
    "crash": crash,
    "answer": lambda unproven: "answer",
    "error_crash": lambda unproven: "error_crash",
    "not_run": after_crashes("not_run"),
    "error": after_crashes("error"),
    "unconfirmed": after_crashes("unconfirmed"),
    "drawn": drawn,
}


class Unproven:
    """The request of one act, and what upstreams make of it."""

    def __init__(self, soak):
        self.soak, self.body, self.result = soak, "", None
        self.crashes, self.runs, self.late = [], 0, 0
        self.keep_ids = False

    def begin(self, body, result, keep_ids=False):
        """@keep_ids: upstreams start again under their ids."""
        self.body, self.result, self.keep_ids = body, result, keep_ids
        self.crashes, self.runs, self.late = [], 0, 0
        self.ended = set()

    def note_arrival(self):
        self.runs += 1
        if len(self.crashes) >= CRASHES and (
                time.monotonic() > self.crashes[CRASHES - 1] + CONTACT_S):
            self.late += 1
            if self.late == LATE_MAX + 1:
                self.soak.fail(f"'{self.body}', under which "
                               f"{len(self.crashes)} upstreams ended, was "
                               f"sent {self.late} times more")

    async def end(self, upstream, after_s):
        """The upstream crashes some time after it began the request."""
        ended = upstream.id, upstream.starts
        await asyncio.sleep(after_s)
        if ended not in self.ended and (
                upstream.id, upstream.starts) == ended:
            self.ended.add(ended)
            self.crashes.append(time.monotonic())
            await upstream.crash(self.soak.random.uniform(*DOWN_S),
                                 self.keep_ids)


async def serve(upstream, attempt, writer):
    """An upstream gets the request."""
    unproven = upstream.soak.unproven
    own = f"Attempt-Id: {attempt}\r\nServer-Seal: s.{attempt}\r\n"
    result = unproven.result(unproven)
    if result in ("ok", "missing", "flaky"):
        await asyncio.sleep(ANSWERED_AFTER_S)
        failed = result == "flaky" and upstream.soak.random.random() < 0.14
        status = 500 if failed else 404 if result == "missing" else 200
        writer.write(answer(status, f"done {attempt}".encode(), own))
        return
    unproven.note_arrival()
    if result == "not_run":
        writer.write(answer(503, b"", f"Not-Run: 1\r\nAttempt-Id: {attempt}\r\n"))
        return
    ends = result in ("crash", "answer", "error_crash")
    if ends:
        asyncio.ensure_future(unproven.end(
            upstream, upstream.soak.random.uniform(*CRASH_AFTER_S)))
    if result != "crash":
        await asyncio.sleep(ANSWERED_AFTER_S)
        status = {"answer": 200, "unconfirmed": 503}.get(result, 500)
        writer.write(answer(status, f"done {attempt}".encode(), own))


async def send(soak, fleet, attempt):
    """One attempt at any entry; returns the status and the error's code."""
    status, body = await late_crashes.ask(
        soak, fleet, attempt, ROUTE, soak.unproven.body, 5.0)
    if status is None or body.startswith(b"done"):
        return status, ""
    soak.failed[attempt] = status
    return status, json.loads(body)["error"]["code"] if body else ""


async def set_route(fleet):
    await fleet.set_routes([{
        "name": ROUTE, "kind": "idempotent", "service": "plain",
        "target_latency_ms": 100, "timeout_ms": 1000, "max_attempts": 2}])


async def repeat(soak, fleet, result, keep_ids=False):
    """The request is sent again and again, whatever becomes of it."""
    await set_route(fleet)
    name = f"unproven-{result}-{soak.random.randrange(1 << 20):x}"
    soak.unproven.begin(name, RESULTS[result], keep_ids)
    answers, number, until = {}, 0, time.monotonic() + FOR_S
    while time.monotonic() < until and soak.broken is None:
        number += 1
        got = await send(soak, fleet, f"{name}-{number}")
        answers[got] = answers.get(got, 0) + 1
        await asyncio.sleep(PAUSE_S)
    unproven = soak.unproven
    print(f"{name}: crashes={len(unproven.crashes)} runs={unproven.runs} "
          f"late={unproven.late} answers={answers}", flush=True)
    if len(unproven.crashes) < CRASHES:
        print(f"{name}: fewer than {CRASHES} crashes", flush=True)


def repeats(result):
    async def act(soak, fleet):
        await repeat(soak, fleet, result)
    act.__doc__ = f"Attempts of a request that crashes upstreams: {result}."
    return act


async def lose_power(soak, fleet, name):
    """The harmless request runs at each upstream when the service loses its
    power."""
    soak.unproven.begin(name, lambda unproven: "ok")
    for turn in range(2):
        running = [asyncio.ensure_future(send(
            soak, fleet, f"{name}-down-{turn}-{number}"))
            for number in range(4 * len(fleet.plains))]
        await asyncio.sleep(0.008)
        await asyncio.gather(*[plain.crash(1.0) for plain in fleet.plains])
        await asyncio.gather(*running)


async def harmless(soak, fleet, result, status):
    """After power losses all who send a harmless request get its answer, soon
    after upstreams have room for it."""
    await set_route(fleet)
    name = f"harmless-{result}-{soak.random.randrange(1 << 20):x}"
    await lose_power(soak, fleet, name)
    full_until = time.monotonic() + (FULL_S if result == "full" else 0)
    soak.unproven.result = lambda unproven: (
        "ok" if result == "full" else result)
    while time.monotonic() < full_until:
        for plain in fleet.plains:
            plain.full = True
        await asyncio.gather(*[
            send(soak, fleet, f"{name}-full-{time.monotonic()}-{number}")
            for number in range(CALLERS)])
        await asyncio.sleep(0.2)
    for plain in fleet.plains:
        plain.full = False
    began, turn, served = time.monotonic(), 0, 0
    while served < CALLERS and time.monotonic() < began + SERVED_WITHIN_S:
        turn += 1
        outcomes = await asyncio.gather(*[
            send(soak, fleet, f"{name}-back-{turn}-{number}")
            for number in range(CALLERS)])
        served = sum(outcome[0] in status for outcome in outcomes)
        await asyncio.sleep(0.2)
    print(f"{name}: {served} of {CALLERS} after "
          f"{time.monotonic() - began:.1f} s", flush=True)
    if served < CALLERS:
        soak.fail(f"{name}: callers got {sorted(outcomes, key=str)}")


async def same_ids(soak, fleet):
    """A request that crashes upstreams which start again under their ids."""
    await repeat(soak, fleet, soak.random.choice(["crash", "answer"]), True)


def harmless_act(result, *status):
    async def act(soak, fleet):
        await harmless(soak, fleet, result, status)
    act.__doc__ = f"A harmless request after power losses: {result}."
    return act


ACTS = {**{f"unproven_{result}": repeats(result) for result in RESULTS},
        "unproven_same_ids": same_ids,
        "harmless_full": harmless_act("full", 200),
        "harmless_flaky": harmless_act("flaky", 200, 500),
        "harmless_missing": harmless_act("missing", 404)}
