"""Act of the soak in which most new connections meet one entry, and then
another, judged by the share of requests that are served at the first attempt
that an entry has read."""
import asyncio
import time

# From this time on the share is judged.
CONTACT_S = 3.0
CALM_S, HERD_S = 4.0, 7.0
CALM_PER_S, HERD_PER_S, HERD_SHARE = 60, 150, 0.95
SHARE_MIN = 0.75


async def phase(soak, fleet, call, entry, per_s, for_s, settle_s):
    """Returns how many requests after @settle_s were read, and how many of them
    were served. @entry: meets most of them, None: all alike."""
    outcomes, waiting = [], []
    begin = time.monotonic()

    async def one(number):
        at = time.monotonic()
        chosen = soak.random.randrange(len(fleet.entries))
        if entry is not None and soak.random.random() < HERD_SHARE:
            chosen = entry
        route = soak.random.choice(["flow", "brook", "once", "again"])
        outcome = await call(soak, fleet, route, f"1e{number}", entry=chosen)
        # A connection that is refused or closed unread does not count.
        if at >= begin + settle_s and outcome.isdigit():
            outcomes.append(outcome == "200")

    while time.monotonic() < begin + for_s and soak.broken is None:
        soak.one_entry_number += 1
        waiting.append(asyncio.ensure_future(one(soak.one_entry_number)))
        await asyncio.sleep(soak.random.expovariate(per_s))
    await asyncio.gather(*waiting)
    return len(outcomes), sum(outcomes) / max(len(outcomes), 1)


async def one_entry(soak, fleet, call):
    soak.one_entry_number = 0
    read, before = await phase(soak, fleet, call, None, CALM_PER_S, CALM_S, 0)
    for entry in soak.random.sample(range(len(fleet.entries)), 2):
        herd, share = await phase(soak, fleet, call, entry, HERD_PER_S,
                                  HERD_S, CONTACT_S)
        print(f"one entry {entry}: {share:.2f} of {herd} served, {before:.2f} of "
              f"{read} before", flush=True)
        if share < SHARE_MIN * before:
            soak.fail(f"{share:.2f} of the requests that entry {entry} had read "
                      f"were served, {before:.2f} before")
