"""Acts of the soak in which one part of a prompt crashes each engine that begins
to answer it, judged by two bounds: how often such prompts are sent on, and how
many sound prompts still begin."""
import asyncio
import signal
import time

# An entry without a disruption for so long is bound.
CONTACT_S = 3.0
# From this time on after the fifth crash, so many more may be sent.
CRASHES, LATE_MAX = 5, 3
# Sound prompts that must have been sent, in each of the times compared.
COMPARED_MIN = 20
SOUND_PER_S, FAULTY_SHARE = 25, 12
CALM_S, FAULTY_S, DOWN_S = 4.0, 18.0, (1.5, 3.0)


class Parts:
    """Prompts of one act. @bad: ids of the parts that crash engines."""

    def __init__(self, soak):
        self.soak = soak
        self.bad, self.crashes, self.late = [], {}, {}
        self.result = "crash"
        self.disturbed, self.sent, self.last_faulty = {}, [], 0.0

    def begin(self, bad, result="crash"):
        """@result: what becomes of attempts: "crash", "answer" before the crash,
        or "not_run" from the fifth crash on."""
        self.bad, self.result = bad, result
        self.crashes, self.ended = {part: [] for part in bad}, set()
        self.late = {part: 0 for part in bad}
        self.sent, self.last_faulty = [], 0.0

    def in_touch(self, entry, now):
        return now - self.disturbed.get(entry, 0.0) > CONTACT_S

    def faulty(self, fields):
        """Parts of a request's prompt that crash engines; never its last."""
        ids = [item.split(":")[0]
               for item in fields.get("prompt-prefix", "").split(",")[:-1]]
        return [part for part in self.bad if part in ids]

    def refuses(self, fields):
        """Whether engines refuse a request as not run."""
        return self.result == "not_run" and any(
            len(self.crashes[part]) >= CRASHES for part in self.faulty(fields))

    def note_arrival(self, fields, entry):
        now = time.monotonic()
        for part in self.faulty(fields):
            crashes = self.crashes[part]
            if len(crashes) < CRASHES or (
                    now <= crashes[CRASHES - 1] + CONTACT_S) or (
                    not self.in_touch(entry, now)):
                continue
            self.late[part] += 1
            if self.late[part] > LATE_MAX:
                self.soak.fail(f"prompts with part {part}, under which "
                               f"{len(crashes)} engines ended, were sent on "
                               f"{self.late[part]} times more")

    def note_crash(self, parts, engine):
        """@engine: its id; prompts that crash it together count once."""
        for part in parts:
            if (part, engine) not in self.ended:
                self.ended.add((part, engine))
                self.crashes[part].append(time.monotonic())

    def share(self, since, until):
        """Of sound prompts of this time: how many, and the share that began."""
        chosen = [begun for at, begun in self.sent if since <= at < until]
        return len(chosen), sum(chosen) / max(len(chosen), 1)

    def judge(self, name, calm):
        """@calm: begin and end of the time without faulty prompts."""
        before, calm_share = self.share(*calm)
        print(f"{name}: crashes={[len(c) for c in self.crashes.values()]} "
              f"late={list(self.late.values())} sound before={calm_share:.2f} "
              f"of {before}", end="", flush=True)
        for crashes in self.crashes.values():
            known = crashes[min(len(crashes), CRASHES) - 1] if (
                crashes) else calm[1]
            after, share = self.share(known + 2 * CONTACT_S, self.last_faulty)
            print(f" after={share:.2f} of {after}", end="", flush=True)
            if before >= COMPARED_MIN and after >= COMPARED_MIN and (
                    share * 2 < calm_share):
                self.soak.fail(f"{share:.2f} of sound prompts began at the "
                               f"first attempt, {calm_share:.2f} before")
        print(flush=True)


async def crash(upstream, writer, own):
    """The engine begins to answer the faulty prompt, and ends."""
    soak = upstream.soak
    parts = upstream.crashing
    if soak.parts.result == "answer":
        await crash_later(upstream, writer, own)
        return
    await asyncio.sleep(soak.random.random() * 0.05)
    if upstream.server.server is not None:
        soak.parts.note_crash(parts, upstream.id)
    if soak.random.random() < 0.5:
        writer.write((f"HTTP/1.1 200 X\r\n{own}Content-Type: "
                      "text/event-stream\r\nTransfer-Encoding: chunked"
                      "\r\n\r\n").encode())
    asyncio.ensure_future(upstream.crash(soak.random.uniform(*DOWN_S)))


async def crash_later(upstream, writer, own):
    """The engine answers the faulty prompt, and ends shortly afterwards."""
    soak, parts, life = upstream.soak, upstream.crashing, upstream.id
    writer.write((f"HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "b\r\nid: 1\ndata:\r\n3\r\n x\n\r\n1\r\n\n\r\n0\r\n\r\n"
                  ).encode())

    async def end():
        await asyncio.sleep(0.02 + soak.random.random() * 0.04)
        if upstream.server.server is not None and upstream.id == life:
            soak.parts.note_crash(parts, life)
            await upstream.crash(soak.random.uniform(*DOWN_S))
    asyncio.ensure_future(end())


async def send(soak, fleet, ask, route, attempt, prompt):
    """One attempt at any entry; notes whether a sound prompt begins."""
    parts, entry = soak.parts, soak.random.randrange(len(fleet.entries))
    at = time.monotonic()
    in_touch = parts.in_touch(entry, at)
    begun = await ask(soak, fleet, route, attempt, entry, prompt)
    faulty = parts.faulty({"prompt-prefix": prompt})
    if faulty:
        parts.last_faulty = max(parts.last_faulty, at)
    elif in_touch and parts.in_touch(entry, time.monotonic()):
        parts.sent.append((at, begun))


def prompts(soak, place):
    """Prompts of one act, sound and faulty. @place of the faulty part: "first",
    "middle", or "before" a part that sound ones share."""
    number, act = 0, soak.random.randrange(4096, 65536)
    while True:
        number += 1
        shared, own = "5ha2ed:40", f"{act:x}{number:x}:20"
        middle = f"{number % 7:x}11d:10"
        bad = f"{soak.random.choice(soak.parts.bad)}:20" if (
            soak.parts.bad) else middle
        faulty = {"first": f"{bad},{middle},{own}",
                  "middle": f"{shared},{bad},{own}",
                  "before": f"{shared},{bad},{middle},{own}"}[place]
        yield f"{shared},{middle},{own}", faulty


async def traffic(soak, fleet, ask, route, source, name, for_s, faulty_share):
    waiting, until, number = [], time.monotonic() + for_s, 0
    while time.monotonic() < until and soak.broken is None:
        number += 1
        sound, faulty = next(source)
        prompt = faulty if faulty_share and soak.random.randrange(
            faulty_share) == 0 else sound
        waiting.append(asyncio.ensure_future(send(
            soak, fleet, ask, route, f"{name}-{number}", prompt)))
        await asyncio.sleep(soak.random.expovariate(SOUND_PER_S))
    await asyncio.gather(*waiting)


async def fifth_crash(soak):
    """Returns when a part has crashed five engines, or at the act's end."""
    for _ in range(int(FAULTY_S * 20)):
        if soak.broken is not None or any(
                len(c) >= CRASHES for c in soak.parts.crashes.values()):
            return
        await asyncio.sleep(0.05)


async def entry_ends(soak, fleet):
    """An entry is killed after the fifth crash and starts again."""
    await fifth_crash(soak)
    entry = soak.random.choice(fleet.entries)
    soak.parts.disturbed[entry.index] = time.monotonic() + 1.0
    await entry.restart(signal.SIGKILL, 0.3)
    soak.parts.disturbed[entry.index] = time.monotonic()


async def store_silent(soak, fleet):
    await asyncio.sleep(1.0)
    fleet.store.mode = "silent"
    await asyncio.sleep(FAULTY_S / 2)
    fleet.store.mode = "good"
    fleet.store.server.reset()
    fleet.store_troubled = time.monotonic()


async def engines_lose_power(soak, fleet):
    await fifth_crash(soak)
    await asyncio.gather(*[engine.crash(1.0) for engine in fleet.engines])


async def nothing(_soak, _fleet):
    pass

TROUBLES = {"none": nothing, "entry_ends": entry_ends,
            "store_silent": store_silent, "power": engines_lose_power}


async def burst(soak, fleet, ask, source, name):
    """As many faulty prompts at once as there are engines."""
    await asyncio.gather(*[send(
        soak, fleet, ask, "flow", f"{name}-burst-{number}", next(source)[1])
        for number in range(len(fleet.engines))])


async def crashing_parts(soak, fleet, ask, result="crash"):
    """What is drawn: one such part or two, its place, the route, and what else
    happens meanwhile."""
    pick = soak.random
    count, place = pick.randrange(1, 3), pick.choice(
        ["first", "middle", "before"])
    route, trouble = pick.choice(["flow", "brook"]), pick.choice(
        sorted(TROUBLES))
    name = f"parts-{pick.randrange(1 << 20):x}"
    soak.parts.begin([])
    source = prompts(soak, place)
    calm = time.monotonic()
    await traffic(soak, fleet, ask, route, source, f"{name}-calm", CALM_S, 0)
    calm = (calm, time.monotonic())
    sent = soak.parts.sent
    soak.parts.begin([f"bad{name[6:]}{i}" for i in range(count)], result)
    soak.parts.sent = sent
    if result == "not_run":
        await burst(soak, fleet, ask, source, name)
    beside = asyncio.ensure_future(TROUBLES[trouble](soak, fleet))
    await traffic(soak, fleet, ask, route, source, name, FAULTY_S,
                  FAULTY_SHARE)
    await beside
    soak.parts.judge(f"{name} parts={count} place={place} route={route} "
                     f"beside={trouble} result={result}", calm)


async def shared_part_power_losses(soak, fleet, ask):
    """All engines lose power, twice, under a part that all prompts share; then
    all prompts are served at the first attempt."""
    soak.parts.begin([])
    source = prompts(soak, "middle")
    for turn in range(2):
        running = asyncio.ensure_future(traffic(
            soak, fleet, ask, "flow", source, f"loss-{turn}", 2.0, 0))
        await asyncio.sleep(1.0)
        await asyncio.gather(*[e.crash(1.0) for e in fleet.engines])
        await running
    since = time.monotonic()
    await traffic(soak, fleet, ask, "flow", source, "back", 3.0, 0)
    count, share = soak.parts.share(since, time.monotonic())
    print(f"power losses: {share:.2f} of {count} began", flush=True)
    if share < 0.97:
        soak.fail(f"after power losses {share:.2f} of {count} prompts began at "
                  "the first attempt")
