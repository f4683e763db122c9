#!/usr/bin/env python3
"""Tests of the soak's own parts."""
import asyncio
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


class StoreTest(unittest.TestCase):
    def test_cancelled_watches_end(self):
        """Guards against a soak that goes on for good after its last line."""
        for turns in range(0, 120, 4):
            self.assertEqual(asyncio.run(watch_until_cancelled(turns)), 0)


if __name__ == "__main__":
    unittest.main()
