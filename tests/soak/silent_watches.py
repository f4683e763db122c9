"""Open connections to the store fall silent at all entries, without a reset, just
before a key is taken away; new connections work. The key is refused by the time
that holds at any other moment (check_answer)."""
import asyncio

CHANGES, EVERY_S = 5, 6.0


async def silent_watches_keys(soak, fleet):
    for _ in range(CHANGES):
        fleet.store.silence_watches()
        await fleet.change_keys()
        await asyncio.sleep(EVERY_S + soak.random.random())


ACTS = {"silent_watches_keys": silent_watches_keys}
