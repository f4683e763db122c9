#!/usr/bin/env python3
"""Tests of the soak's own parts."""
import asyncio
import random
import types
import unittest

import soak

WATCHES, WAIT_MS = 40, 20
# A run that does not end is given up after this time.
PATIENCE_S = 10.0


class Writer:
    """A connection that takes every answer."""

    def write(self, data):
        pass


async def watch_until_cancelled(turns):
    """Cancels watches in the turns of the loop in which their time ends."""
    store = soak.Store(None)
    watches = [asyncio.ensure_future(store.handle(
        "GET", f"/platform/objects/servers?watch=1&wait_ms={WAIT_MS}", {}, b"",
        Writer())) for _ in range(WATCHES)]
    await asyncio.sleep(WAIT_MS / 1000)
    for _ in range(turns):
        await asyncio.sleep(0)
    for watch in watches:
        watch.cancel()
    _, pending = await asyncio.wait(watches, timeout=PATIENCE_S)
    return len(pending)


async def replace_while_leaving(replace):
    """Returns how often an upstream started that was replaced as it left."""
    net, held = soak.free_net()
    run = types.SimpleNamespace(
        random=random.Random(1), engines={},
        ip=lambda role, index: f"127.{net}.{role}.{index + 1}")
    upstream = soak.Upstream(run, soak.Store(run), 3, 0, False)
    await upstream.start()
    try:
        await asyncio.gather(upstream.leave(), replace(upstream))
    finally:
        upstream.server.close()
        upstream.proxy.close()
        held.close()
    return upstream.starts


async def crash_late(upstream):
    """Its port is closed when the time to leave is over."""
    await asyncio.sleep(soak.LEAVE_S - 0.1)
    await upstream.crash(0.5)


class UpstreamTest(unittest.TestCase):
    def test_leaves_twice(self):
        """Guards against a second process that cannot listen on the port."""
        self.assertEqual(asyncio.run(replace_while_leaving(
            soak.Upstream.leave)), 2)

    def test_crashes_while_leaving(self):
        """Guards against the same when it crashes just before its end."""
        self.assertEqual(asyncio.run(replace_while_leaving(crash_late)), 2)


class StoreTest(unittest.TestCase):
    def test_cancelled_watches_end(self):
        """Guards against a soak that goes on for good after its last line."""
        for turns in range(0, 120, 4):
            self.assertEqual(asyncio.run(watch_until_cancelled(turns)), 0)


if __name__ == "__main__":
    unittest.main()
