"""Acts of the soak in which upstreams are at work after their entries have
stopped waiting: a request that crashes them then, and one that is only slow."""
import asyncio
import json
import signal
import time

from wire import answer, read_body, read_head

FRONT = 18782
# After this time from the third crash on, so many more may be sent.
CRASHES, CONTACT_S, LATE_MAX = 3, 3.0, 3
# How long an upstream works on after the close of its connection.
CLOSE_SEEN_S = (0.01, 0.4)
CRASH_AFTER_S, PATIENCE_S, DOWN_S = (0.01, 1.2), (0.05, 1.5), (1.0, 3.0)
OBJECTIVE_MS, TIMEOUT_MS, ATTEMPTS = (100, 300, 1000), (300, 1000, 4000), (1, 2, 3)
FOR_S, CALLERS, PAUSE_S = 14.0, 3, 0.1
ROUTE = "late"
RESTART_EVERY_S, RESTART_PAUSE_S = (1.5, 5.0), (0.1, 0.8)


class Late:
    """The request of one act. @crash_after_s: after its begin, None: it does
    not crash what runs it."""

    def __init__(self, soak):
        self.soak, self.body, self.crash_after_s = soak, "", None
        self.crashes, self.runs, self.late, self.slow_s = [], 0, 0, 0.0

    def begin(self, body, crash_after_s, slow_s=0.0):
        self.body, self.crash_after_s = body, crash_after_s
        self.crashes, self.runs, self.late, self.slow_s = [], 0, 0, slow_s
        self.ended = set()
        self.close_seen_s = self.soak.random.uniform(*CLOSE_SEEN_S)

    def note_run(self):
        self.runs += 1
        if len(self.crashes) >= CRASHES and (
                time.monotonic() > self.crashes[CRASHES - 1] + CONTACT_S):
            self.late += 1
        if self.late > LATE_MAX:
            self.soak.fail(f"'{self.body}', under which {len(self.crashes)} "
                           f"upstreams ended, was sent {self.late} times more")


async def works_on(late, writer, for_s):
    """Whether an upstream still runs the request after this time: it stops some
    time after its connection has closed."""
    until, closed_at = time.monotonic() + for_s, None
    while time.monotonic() < until:
        await asyncio.sleep(0.005)
        if writer.reader.at_eof():
            closed_at = closed_at or time.monotonic()
            if time.monotonic() > closed_at + late.close_seen_s:
                return False
    return True


async def serve(upstream, attempt, writer, own):
    """An upstream runs the request."""
    late = upstream.soak.late
    late.note_run()
    if late.crash_after_s is None:
        if await works_on(late, writer, late.slow_s):
            writer.write(answer(200, f"done {attempt}".encode(), own))
    elif await works_on(late, writer, late.crash_after_s) and (
            upstream.server.server is not None) and (
            upstream.id not in late.ended):
        late.ended.add(upstream.id)
        late.crashes.append(time.monotonic())
        asyncio.ensure_future(upstream.crash(
            upstream.soak.random.uniform(*DOWN_S)))


async def ask(soak, fleet, attempt, route, body, patience_s):
    """One request at any entry; returns its status, None: no answer came in
    time, and the body."""
    entry = soak.random.randrange(len(fleet.entries))
    soak.sent_to[attempt], soak.sent_at[attempt] = entry, time.monotonic()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(soak.ip(2, entry), FRONT), 1)
    except (OSError, asyncio.TimeoutError):
        return None, b""
    try:
        writer.write((f"POST /{route}/x HTTP/1.1\r\nHost: h.example\r\n"
                      f"Attempt-Id: {attempt}\r\nDeadline-Ms: 4000\r\n"
                      f"Authorization: Bearer {fleet.keys[-1]}\r\n"
                      f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
                      f"{body}").encode())
        start, fields = await asyncio.wait_for(read_head(reader), patience_s)
        got = await asyncio.wait_for(read_body(reader, fields), patience_s)
    except (OSError, ValueError, asyncio.IncompleteReadError,
            asyncio.TimeoutError):
        return None, b""
    finally:
        writer.close()
    return int(start[1]), got


async def send(soak, fleet, attempt, patience_s):
    """One attempt at any entry; returns the status and the error's code."""
    status, got = await ask(soak, fleet, attempt, ROUTE, soak.late.body,
                            patience_s)
    if status in (None, 200):
        return status, ""
    soak.failed[attempt] = status
    return status, json.loads(got)["error"]["code"]


async def set_route(soak, fleet):
    """Draws the route of an act."""
    pick = soak.random
    route = {"name": ROUTE, "kind": "idempotent", "service": "plain",
             "target_latency_ms": pick.choice(OBJECTIVE_MS),
             "timeout_ms": pick.choice(TIMEOUT_MS),
             "max_attempts": pick.choice(ATTEMPTS)}
    await fleet.set_routes([route])
    return route


async def callers(soak, fleet, name, patience_s, until):
    """Callers that send the request again and again; returns their answers."""
    answers = {}

    async def one(caller):
        number = 0
        while time.monotonic() < until and soak.broken is None:
            number += 1
            got = await send(soak, fleet, f"{name}-{caller}-{number}",
                             patience_s)
            answers[got] = answers.get(got, 0) + 1
            await asyncio.sleep(soak.random.expovariate(1 / PAUSE_S))
    await asyncio.gather(*[one(caller) for caller in range(CALLERS)])
    return answers


async def late_crashes(soak, fleet):
    """A request crashes upstreams some time after it began, perhaps after its
    entry or its caller has left."""
    pick = soak.random
    route, patience_s = await set_route(soak, fleet), pick.uniform(*PATIENCE_S)
    after_s = pick.uniform(*CRASH_AFTER_S)
    name = f"late-{pick.randrange(1 << 20):x}"
    soak.late.begin(name, after_s)
    answers = await callers(soak, fleet, name, patience_s,
                            time.monotonic() + FOR_S)
    late = soak.late
    print(f"{name}: after={after_s:.2f} patience={patience_s:.2f} "
          f"close_seen={late.close_seen_s:.2f} "
          f"objective={route['target_latency_ms']} "
          f"timeout={route['timeout_ms']} attempts={route['max_attempts']} "
          f"crashes={len(late.crashes)} runs={late.runs} late={late.late} "
          f"answers={answers}", flush=True)


async def restart_entries(soak, fleet, until):
    """Kills and stops entries, one after the other."""
    pick = soak.random
    while soak.broken is None:
        await asyncio.sleep(pick.uniform(*RESTART_EVERY_S))
        if time.monotonic() > until:
            return
        entry = pick.choice(fleet.entries)
        if entry.serves():
            await entry.restart(pick.choice([signal.SIGKILL, signal.SIGTERM]),
                                pick.uniform(*RESTART_PAUSE_S))


async def late_crashes_restarts(soak, fleet):
    """The same while entries take evidence along as they are restarted."""
    await asyncio.gather(
        late_crashes(soak, fleet),
        restart_entries(soak, fleet, time.monotonic() + FOR_S))


async def slow_request(soak, fleet):
    """A harmless request is given up again and again, first beside no crash and
    then beside two power losses; afterwards all its callers are served."""
    await set_route(soak, fleet)
    fleet.more_routes[0]["timeout_ms"] = max(TIMEOUT_MS)
    await fleet.configure()
    await asyncio.sleep(1.0)
    name = f"slow-{soak.random.randrange(1 << 20):x}"
    soak.late.begin(name, None, 0.8)
    answers = await callers(soak, fleet, f"{name}-calm", 0.3,
                            time.monotonic() + 4.0)
    if any(code == "crashes_upstreams" for _, code in answers):
        soak.fail(f"{name} was refused though nothing crashed: {answers}")
    for turn in range(2):
        running = asyncio.ensure_future(callers(
            soak, fleet, f"{name}-{turn}", 0.3, time.monotonic() + 1.5))
        await asyncio.sleep(0.8)
        await asyncio.gather(*[plain.crash(1.0) for plain in fleet.plains])
        await running
    soak.late.slow_s = 0.05
    await asyncio.sleep(1.0)
    for turn in range(2):
        outcomes = await asyncio.gather(*[
            send(soak, fleet, f"{name}-back-{turn}-{number}", 5.0)
            for number in range(20)])
        print(f"{name}: {sum(o[0] == 200 for o in outcomes)} of 20 served",
              flush=True)
        if any(status != 200 for status, _ in outcomes):
            soak.fail(f"after power losses callers of a slow request got "
                      f"{sorted(outcomes, key=str)}")
