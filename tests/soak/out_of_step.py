"""One entry is out of step for seconds while engines of a new software version
join: it stands still, or the links to the other entries are cut. Streams that
began on these engines through other entries break and are taken up, also there."""
import asyncio
import signal

from rejoined import (BEGIN_PAUSE_S, EVENT_PAUSE_S, start_engines,
                      stop_engines)

OUT_S, BREAK_S, BREAKS = 1.2, 0.15, 14


class OutOfStep:
    """One act. @settled_s: how long one version serves alone before."""

    def __init__(self, cut=False, sidecars=True, settled_s=2.0):
        self.cut, self.sidecars, self.settled_s = cut, sidecars, settled_s

    async def leave(self, fleet):
        if self.cut:
            for link in fleet.links:
                link.close()
                link.reset()
        fleet.entries[0].signal(signal.SIGSTOP)

    async def rejoin(self, fleet):
        fleet.entries[0].signal(signal.SIGCONT)
        # The links stay cut when the entry goes on.
        await asyncio.sleep(OUT_S if self.cut else 0)
        if self.cut:
            for link in fleet.links:
                await link.open()

    async def trouble(self, fleet, new, software):
        await self.leave(fleet)
        await start_engines(fleet, new, software)
        if not self.sidecars:
            for index in new:
                await fleet.sidecars[index].stop(signal.SIGKILL)
        back = None
        for number in range(BREAKS):
            await asyncio.sleep(BREAK_S)
            if back is None and number * BREAK_S >= OUT_S:
                back = asyncio.ensure_future(self.rejoin(fleet))
            for index in new:
                fleet.engines[index].server.reset()
        await back

    async def __call__(self, soak, fleet, streams_during, settle, _judge):
        half = len(fleet.engines) // 2
        new = range(half, 2 * half)
        soak.rejoined += 1
        soak.releases += 1
        soak.event_pause_s, soak.begin_pause_s = EVENT_PAUSE_S, BEGIN_PAUSE_S
        await stop_engines(fleet, new)
        await asyncio.sleep(self.settled_s)
        await streams_during(
            soak, fleet, f"out-of-step-{soak.rejoined}",
            lambda: self.trouble(fleet, new, f"v1.{soak.releases}"))
        if not self.sidecars:
            for index in new:
                await fleet.sidecars[index].start()
        # One version again, for the acts that follow.
        await stop_engines(fleet, range(half))
        await start_engines(fleet, range(half), f"v1.{soak.releases}")
        await settle(soak, fleet)


ACTS = {
    "out_of_step_stopped": OutOfStep(),
    "out_of_step_cut": OutOfStep(cut=True),
    "out_of_step_alone": OutOfStep(sidecars=False),
    "out_of_step_settled": OutOfStep(cut=True, settled_s=66.0),
}
