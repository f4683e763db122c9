"""All entries lose power, twice, while a request that crashes what runs it is sent
again and again. What was counted of its crashes before holds after that."""
import asyncio
import signal

COUNTED_S, LIVES = 4.0, 3


async def forgotten_crashes(soak, fleet, poison):
    soak.poison.is_remembered = True
    sending = asyncio.ensure_future(
        poison(soak, fleet, times=120, pause_s=0.1, down_s=1.0, callers=2))
    for _ in range(LIVES - 1):
        await asyncio.sleep(COUNTED_S)
        await asyncio.gather(*[entry.restart(signal.SIGKILL, 0.3)
                               for entry in fleet.entries])
    await sending
    soak.poison.is_remembered = False
    print(f"forgotten crashes: {len(soak.poison.crashed)} upstreams ended, "
          f"{soak.poison.late} of them late", flush=True)
