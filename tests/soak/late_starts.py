"""Versions of the weights are named one after the other while engines queue what
they cannot begin at once, their orders are lost or carried out late, and the
store's watches fall silent.

A request begins with its first event. From BOUND_MS after the store has
acknowledged a version none begins on an older one."""
import asyncio
import time

import stepping

BOUND_MS = 8000
NAMINGS, NAMING_EVERY_S = 6, 5.0
QUEUE_MAX, TOKENS = 24, 380
# An order without an answer is carried out after a time in this range.
LATE_ORDER_S = (2.0, 6.0)
# This process may have been stopped itself when an engine began a request.
STALL_S = 0.2
ROUTES = [{"name": "short", "priority": 0, "gap_target_ms": 400,
           "target_latency_ms": 800, "timeout_ms": 5000},
          {"name": "menu", "priority": 1, "gap_target_ms": 400,
           "target_latency_ms": 800, "timeout_ms": 10000, "resumable": True}]


class Starts:
    """When versions were named, and which requests began after that."""

    def __init__(self, soak):
        self.soak, self.named, self.begun, self.late = soak, [], 0, []
        self.lag = None

    def begin(self):
        self.lag = stepping.Lag()

    def note_begin(self, engine, attempt):
        now = time.monotonic()
        self.begun += 1
        for version, at in self.named:
            late_s = now - at - BOUND_MS / 1000
            if version > engine.version and late_s > 0 and (
                    not self.lag.within(now - late_s - STALL_S, now)):
                sent_s = self.soak.sent_at[attempt] - at
                self.late.append(
                    f"{attempt} from entry {self.soak.sent_to[attempt]} on "
                    f"version {engine.version} at {engine.ip} {now - at:.2f} s "
                    f"after {version} was acknowledged, received at "
                    f"{sent_s:.2f} s")
                return

    def judge(self, name, streams):
        served = sum(s.done for s in streams)
        self.lag.stop()
        print(f"{name}: {served} of {len(streams)} served, {self.begun} begun, "
              f"{len(self.late)} of them late {self.late[:4]}", flush=True)
        if self.late:
            self.soak.fail(f"{len(self.late)} requests began on older weights "
                           f"later than {BOUND_MS} ms after a newer version was "
                           f"acknowledged: {self.late[0]}")
        self.soak.starts = Starts(self.soak)


class Play:
    """@percent: how slow engines are; @events: most events of a run; @per_s:
    requests a second; @orders: what becomes of the first engine's orders;
    @watches: what becomes of watches; @killed: the first engine's process starts
    again under its id between two namings"""

    def __init__(self, percent=300, events=14, per_s=60, orders="answered",
                 watches="good", killed=False):
        self.percent, self.events, self.per_s = percent, events, per_s
        self.orders, self.watches, self.killed = orders, watches, killed


async def send(soak, fleet, play, until):
    streams, waiting, number = [], [], 0

    async def one(attempt, route, events, wait_s):
        streams.append(await stepping.ask(
            soak, soak.random.randrange(len(fleet.entries)), fleet.keys[-1],
            route, attempt, TOKENS, events, wait_s))

    while time.monotonic() < until:
        number += 1
        route, wait_s = soak.random.choice([("short", 5.0), ("menu", 10.0)])
        waiting.append(asyncio.ensure_future(one(
            f"{route}-{number}", route,
            soak.random.randrange(play.events // 2, play.events), wait_s)))
        await asyncio.sleep(soak.random.expovariate(play.per_s))
    await asyncio.gather(*waiting)
    return streams


async def name_versions(soak, fleet, play):
    for _ in range(NAMINGS):
        await asyncio.sleep(NAMING_EVERY_S * (0.8 + 0.4 * soak.random.random()))
        if play.watches == "silent":
            fleet.store.silence_watches("versions")
        await fleet.name_weights(fleet.weights + 1)
        soak.starts.named.append((fleet.weights, time.monotonic()))
        if play.killed and soak.random.random() < 0.5:
            asyncio.ensure_future(fleet.engines[0].restart())


async def late_starts(soak, fleet, name, play):
    await fleet.set_routes(ROUTES)
    for engine in fleet.engines:
        engine.begin_steps(play.percent, QUEUE_MAX)
    fleet.engines[0].orders = play.orders
    fleet.store.tell_late_s = 1.0 if play.watches == "late" else 0.0
    soak.starts.begin()
    until = time.monotonic() + (NAMINGS + 1) * NAMING_EVERY_S
    streams, _ = await asyncio.gather(send(soak, fleet, play, until),
                                      name_versions(soak, fleet, play))
    fleet.engines[0].orders, fleet.store.tell_late_s = "answered", 0.0
    for engine in fleet.engines:
        engine.end_steps()
    soak.starts.judge(name, streams)


LONG = {"percent": 800, "events": 50, "per_s": 12}
PLAYS = {
    "late_starts_calm": Play(per_s=20),
    "late_starts_overload": Play(),
    "late_starts_late_orders": Play(orders="late"),
    "late_starts_late_orders_killed": Play(orders="late", killed=True),
    "late_starts_late_orders_long": Play(orders="late", **LONG),
    "late_starts_lost_orders": Play(orders="lost"),
    "late_starts_late_watches_long": Play(watches="late", **LONG),
    "late_starts_silent_watches": Play(per_s=20, watches="silent"),
    "late_starts_silent_watches_lost_orders": Play(orders="lost",
                                                   watches="silent"),
}


def act(name, play):
    async def run_act(soak, fleet):
        await late_starts(soak, fleet, name, play)
    return run_act


ACTS = {name: act(name, play) for name, play in PLAYS.items()}
