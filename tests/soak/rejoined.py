"""Acts of the soak in which all entries are killed at once around a release, and
clients take their streams up again."""
import asyncio
import signal

# Streams last 1.2 s, and one begins every 0.12 s.
EVENT_PAUSE_S, BEGIN_PAUSE_S = 0.03, 0.12
DOWN_S = 0.3


async def kill_all(fleet, sidecars):
    """All entries are killed at one moment, with these sidecars."""
    victims = fleet.entries + [fleet.sidecars[index] for index in sidecars]
    await asyncio.gather(*[process.restart(signal.SIGKILL, DOWN_S)
                           for process in victims])


async def stop_engines(fleet, indices):
    """Engines end with their sidecars, and their records go."""
    for index in indices:
        engine = fleet.engines[index]
        engine.server.close()
        engine.proxy.close()
        await fleet.store.delete("servers", engine.id)
    await asyncio.gather(*[fleet.sidecars[index].stop(signal.SIGKILL)
                           for index in indices])


async def start_engines(fleet, indices, software):
    for index in indices:
        engine = fleet.engines[index]
        engine.software = software
        engine.version = fleet.weights
        await engine.start()
        await fleet.sidecars[index].start()


class Rejoined:
    """What happens before the kill, as one act."""

    def __init__(self, both_stay=False, release=True, gap_s=0.2,
                 sidecars=False):
        self.both_stay, self.release = both_stay, release
        self.gap_s, self.sidecars = gap_s, sidecars

    async def trouble(self, fleet, old, new, software):
        if self.release:
            await start_engines(fleet, new, software)
            await asyncio.sleep(self.gap_s)
        if self.release and not self.both_stay:
            await stop_engines(fleet, old)
            await asyncio.sleep(0.05)
        stay = new if self.release and not self.both_stay else [*old, *new]
        await kill_all(fleet, stay if self.sidecars else [])

    async def __call__(self, soak, fleet, streams_during, settle, judge):
        half = len(fleet.engines) // 2
        old, new = range(half), range(half, 2 * half)
        soak.rejoined += 1
        soak.releases += self.release
        software = f"v1.{soak.releases}"
        soak.event_pause_s, soak.begin_pause_s = EVENT_PAUSE_S, BEGIN_PAUSE_S
        if self.release:
            # One version for long enough that streams of another have ended.
            await stop_engines(fleet, new)
            await asyncio.sleep(2.0)
        streams = await streams_during(
            soak, fleet, f"rejoined-{soak.rejoined}",
            lambda: self.trouble(fleet, old, new, software))
        if self.both_stay or not self.release:
            judge(soak, streams)
        if self.both_stay:
            await stop_engines(fleet, old)
        if self.release:
            await start_engines(fleet, old, software)
        await settle(soak, fleet)


ACTS = {
    "rejoined_replaced": Rejoined(),
    "rejoined_at_once": Rejoined(gap_s=0.0),
    "rejoined_all_processes": Rejoined(sidecars=True),
    "rejoined_both_stay": Rejoined(both_stay=True, gap_s=1.5),
    "rejoined_both_stay_all": Rejoined(both_stay=True, gap_s=1.5,
                                       sidecars=True),
    "rejoined_no_release": Rejoined(release=False),
    "rejoined_no_release_all": Rejoined(release=False, sidecars=True),
}
