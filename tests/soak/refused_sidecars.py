"""Connections to sidecars are refused for seconds while weights are named.

The sidecars live and follow the store; entries that are refused for as long look
for engines without a sidecar. Only one process at a time may order an engine.
"""
import asyncio

REFUSED_S, NAMING_S = 9.0, 0.4


async def refused_sidecars(soak, fleet):
    """A cut refuses the connections to two sidecars, and ends while weights are
    still being named."""
    for turn in range(2):
        cut = soak.random.sample(fleet.guards, 2)
        for guard in cut:
            guard.close()
            guard.reset()
        for number in range(int((REFUSED_S + 4.0) / NAMING_S)):
            if soak.broken is not None:
                return
            if number * NAMING_S >= REFUSED_S:
                for guard in cut:
                    await guard.open()
            await fleet.name_weights(fleet.weights + 1)
            await asyncio.sleep(NAMING_S)
