"""Another writer leaves odd objects in the store while an entry starts and a
server joins; no process ends, and all are served on."""
import asyncio
import signal

SHOWN_S, TURNS, DEPTH = 0.3, 10, 400


def nested(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


def odd_values(address):
    good = {"service": "plain", "zone": "a", "capacity": 8, "state": "ready",
            "address": address, "software": "v1", "model": "guide"}
    ip = address.partition(":")[0]
    return ([{**good, "address": f"{ip}:{port}"}
             for port in (0, -1, 65536, 99999, 2 ** 64, "x")]
            + [{**good, key: number} for key in ("capacity", "version", "born",
                                                 "sequence", "cold_left_ms")
               for number in (2 ** 64, -1, 10 ** 400, 1.5, None, [], "8")]
            + [nested(DEPTH), {**good, "models": nested(DEPTH)},
               {"holder": nested(DEPTH)}, {"holder": 7, "fence": "x"}, 7, None,
               "x" * 70000, {}])


async def odd_objects(soak, fleet):
    values = odd_values(f"{fleet.plains[0].ip}:1")
    kinds = ["servers", "versions", "parsleygw-leases", "parsleygw-software"]
    for turn in range(TURNS):
        names = [(kind, f"odd-{turn}-{number}") for number in range(3)
                 for kind in kinds]
        for kind, name in names:
            await fleet.store.put(kind, name, soak.random.choice(values))
        if turn % 4 == 1:
            victim = soak.random.choice(fleet.entries + fleet.sidecars)
            await victim.restart(signal.SIGKILL, SHOWN_S)
        await asyncio.sleep(SHOWN_S)
        for process in fleet.entries + fleet.sidecars:
            process.check_alive()
        for kind, name in names:
            await fleet.store.delete(kind, name)


ACTS = {"odd_objects": odd_objects}
