"""Act of the soak in which engines are killed under streams of a route that may
not be resumed: no event is lost, doubled or joined, and no run happens twice. A
run may go on from a copy of its memory."""
import asyncio
import time

import stepping

TOKENS, EVENTS, PER_S = 2000, 60, 18
# A second attempt is allowed where the first has not run.
ROUTES = [{"name": "river", "max_attempts": 2, "resumable": False}]
FOR_S, PAUSE_S, DOWN_S = 12.0, (0.3, 1.2), (0.3, 1.5)


async def kill(soak, fleet, until):
    """Engines end one after the other; two always serve. Returns how many."""
    killed, running = 0, []
    while time.monotonic() < until and soak.broken is None:
        await asyncio.sleep(soak.random.uniform(*PAUSE_S))
        serving = [e for e in fleet.engines if e.server.server is not None]
        if len(serving) > 2:
            killed += 1
            engine = soak.random.choice(serving)
            # A port that is closed, or one that resets what it accepts.
            down_s = soak.random.choice([None, soak.random.uniform(*DOWN_S)])
            running.append(asyncio.ensure_future(engine.crash(down_s)))
    await asyncio.gather(*running)
    return killed


async def killed_engines(soak, fleet):
    name, streams, waiting = f"killed-{soak.random.randrange(1 << 20):x}", [], []
    await fleet.set_routes(ROUTES)
    for engine in fleet.engines:
        engine.begin_steps(100)

    async def one(number):
        streams.append(await stepping.ask(
            soak, soak.random.randrange(len(fleet.entries)), fleet.keys[-1],
            "river", f"{name}-{number}", TOKENS, EVENTS))

    until = time.monotonic() + FOR_S
    killing = asyncio.ensure_future(kill(soak, fleet, until))
    while time.monotonic() < until and soak.broken is None:
        waiting.append(asyncio.ensure_future(one(len(waiting))))
        await asyncio.sleep(soak.random.expovariate(PER_S))
    await asyncio.gather(*waiting)
    killed = await killing
    done = sum(stream.done for stream in streams)
    cut = sum(stream.status == "cut" for stream in streams)
    print(f"{name}: {killed} engines killed, {done} of {len(streams)} streams "
          f"whole, {cut} cut, {soak.gone_on} went on from a copy", flush=True)
    for engine in fleet.engines:
        engine.end_steps()
