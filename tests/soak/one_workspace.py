"""Act of the soak in which one workspace sends nine times its usual while about a
third of all requests can be served. Judged by shares: each other workspace is
served at least a quarter as often as all are."""
import asyncio
import time

import stepping

WORKSPACES, TIMES = 6, 9
# A stream takes 1.3 s on a full engine; four engines serve about 24 a second.
TOKENS, EVENTS, USUAL_PER_S = 60, 80, 5.0
SETTLED_S, FOR_S = 3.0, 14.0
# A caller comes back once, when it was told to, within a third of its time.
WAIT_S = 4.0
SHARE_MIN, JUDGED_MIN = 0.25, 20
ROUTES = [{"name": "crowded", "resumable": False}]


async def workspace(soak, fleet, name, per_s, until):
    """Returns when each request was sent and whether it was served."""
    outcomes, waiting, number = [], [], 0

    async def one(number):
        at, served = time.monotonic(), False
        for turn in range(2):
            stream = await stepping.ask(
                soak, soak.random.randrange(len(fleet.entries)), f"key-{name}",
                "crowded", f"{name}-{number}-{turn}", TOKENS, EVENTS, WAIT_S)
            served = stream.done
            if stream.status not in ("503", "429"):
                break
            await asyncio.sleep(min(stream.retry_after_s, WAIT_S / 3))
        outcomes.append((at, served))

    while time.monotonic() < until and soak.broken is None:
        number += 1
        waiting.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(soak.random.expovariate(per_s))
    await asyncio.gather(*waiting)
    return outcomes


def share(outcomes):
    return sum(served for _, served in outcomes) / max(len(outcomes), 1)


def judge(soak, begin, crowd, by_name):
    settled = {name: [o for o in outcomes if o[0] >= begin + SETTLED_S]
               for name, outcomes in by_name.items()}
    mean = share([o for outcomes in settled.values() for o in outcomes])
    shares = {name: share(outcomes) for name, outcomes in settled.items()}
    print(f"crowd of {crowd}: {mean:.2f} of all served, by workspace "
          f"{ {n: round(s, 2) for n, s in sorted(shares.items())} }", flush=True)
    for name, of_it in shares.items():
        if name != crowd and len(settled[name]) >= JUDGED_MIN and (
                of_it < SHARE_MIN * mean):
            soak.fail(f"{of_it:.2f} of the requests of {name} were served and "
                      f"{mean:.2f} of all, beside a crowd of {crowd}")


async def one_workspace(soak, fleet):
    names = [f"w{number}" for number in range(WORKSPACES)]
    crowd = soak.random.choice(names)
    await fleet.set_workspaces({name: f"key-{name}" for name in names})
    await fleet.set_routes(ROUTES)
    for engine in fleet.engines:
        engine.begin_steps(100)
    await asyncio.sleep(1.0)
    begin = time.monotonic()
    outcomes = await asyncio.gather(*[
        workspace(soak, fleet, name, USUAL_PER_S * (
            TIMES if name == crowd else 1), begin + FOR_S) for name in names])
    judge(soak, begin, crowd, dict(zip(names, outcomes)))
    for engine in fleet.engines:
        engine.end_steps()
