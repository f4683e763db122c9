"""Act of the soak in which engines differ in speed, and say so, and long prompts
come beside short streams. Judged by the pace that the short streams' route
declares: where the fast engines alone have room for all, three of a hundred may
have a longer pause."""
import asyncio
import random
import time

import stepping

GAP_TARGET_MS, LATE_MAX = 400, 0.03
SHORT_TOKENS, SHORT_EVENTS, SHORT_PER_S = 380, 12, 15
LONG_TOKENS, LONG_EVENTS = 17000, 20
# Long prompts a second: with the first, reading them takes a fifth of the time
# of the two fast engines at most; with the second, more than there is.
AMPLE_PER_S, TIGHT_PER_S = 0.8, 5.0
FAST, SLOW = (60, 120), (350, 800)
# What entries have learnt of the engines by then counts.
SETTLED_S, FOR_S = 3.0, 15.0
JUDGED_MIN = 60
ROUTES = [{"name": "short", "gap_target_ms": GAP_TARGET_MS},
          {"name": "long", "gap_target_ms": GAP_TARGET_MS,
           "target_latency_ms": 1500, "timeout_ms": 9000, "priority": 2}]


def percents(pick, count):
    """Two engines are fast, the others slow, and it is not told which."""
    drawn = [pick.randrange(*FAST) for _ in range(2)]
    drawn += [pick.randrange(*SLOW) for _ in range(count - 2)]
    pick.shuffle(drawn)
    return drawn


async def send(soak, fleet, route, per_s, tokens, events, until):
    streams, waiting, number = [], [], 0
    name = f"{route}-{soak.random.randrange(1 << 20):x}"

    async def one(attempt):
        streams.append(await stepping.ask(
            soak, soak.random.randrange(len(fleet.entries)), fleet.keys[-1],
            route, attempt, tokens, events, 8.0))

    while time.monotonic() < until and soak.broken is None:
        number += 1
        waiting.append(asyncio.ensure_future(one(f"{name}-{number}")))
        await asyncio.sleep(soak.random.expovariate(per_s))
    await asyncio.gather(*waiting)
    return streams


def judge(soak, name, begin, short, lag, is_ample):
    late_s = GAP_TARGET_MS / 1000
    # One that is not served is not on time either.
    chosen = [s for s in short if s.sent_at >= begin + SETTLED_S
              and not lag.within(s.sent_at, s.ended_at)]
    late = sum(not s.done or s.longest_pause_s() > late_s for s in chosen)
    served = sum(s.done for s in short)
    first = sorted(s.at[0] - s.sent_at for s in short if s.at)
    print(f"{name}: {served} of {len(short)} short streams served, {late} of "
          f"{len(chosen)} late (not served, or a pause over {GAP_TARGET_MS} ms), median first "
          f"event {first[len(first) // 2] * 1000 if first else -1:.0f} ms",
          flush=True)
    if is_ample and len(chosen) < JUDGED_MIN:
        print(f"{name}: too few to judge", flush=True)
    elif is_ample and late > LATE_MAX * len(chosen):
        soak.fail(f"{late} of {len(chosen)} short streams were not served or had "
                  f"a pause over {GAP_TARGET_MS} ms, with room for all on fast "
                  "engines")


async def uneven_engines(soak, fleet):
    # Drawn apart, so that a seed always gives the same engines and room.
    pick = random.Random(soak.options.seed)
    drawn = percents(pick, len(fleet.engines))
    is_ample = pick.random() < 0.67
    await fleet.set_routes(ROUTES)
    for engine, percent in zip(fleet.engines, drawn):
        engine.begin_steps(percent)
    lag = stepping.Lag()
    begin = time.monotonic()
    short, _ = await asyncio.gather(
        send(soak, fleet, "short", SHORT_PER_S, SHORT_TOKENS, SHORT_EVENTS,
             begin + FOR_S),
        send(soak, fleet, "long", AMPLE_PER_S if is_ample else TIGHT_PER_S,
             LONG_TOKENS, LONG_EVENTS, begin + FOR_S))
    lag.stop()
    judge(soak, f"uneven engines {drawn} room={'ample' if is_ample else 'tight'}",
          begin, short, lag, is_ample)
    for engine in fleet.engines:
        engine.end_steps()
