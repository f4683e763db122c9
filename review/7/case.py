"""Most new connections go to one entry, whose descriptors run out."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-2"))
from standins import (CANNOT_RUN, FRONT, READY, Deployment, now, read_body,
                      read_head, request_head)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
# Of the sheet: descriptors and edge machines, time limit and work of
# `catalogue-read`, requests a second of all four kinds, `contact_ms`.
FDS, EDGES, LIMIT_MS, WORK_S = 3075, 26, 1500, 0.03
PER_S = 65.2 + 732 + 199 + 79.7
CONTACT_S = 4.0
# Clients keep a connection until the entry closes it, after `idle_timeout_ms`.
KEEP_S = 20.0
# New connections that the platform hands to this entry, and for how long.
# Afterwards it gets its share again.
SKEW_PER_S, SKEW_S = 900.0, 4.0
AFTER_S = 11.0
# Clients give a connection one second.
PATIENCE_S = 1.0
# The rule asks for so many clients that try.
TRIES_MIN = 7


class Platform:
    """Asks the entry once a second, on a connection that it keeps, whether it
    is ready. Two misses in a row take the entry out."""

    def __init__(self, address):
        self.address, self.answers, self.stopped = address, [], False
        self.reader = self.writer = None

    async def exchange(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.address, READY)
        self.writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
        start, fields = await read_head(self.reader)
        await read_body(self.reader, fields)
        return int(start[1])

    async def ask(self):
        try:
            return await asyncio.wait_for(self.exchange(), PATIENCE_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            if self.writer is not None:
                self.writer.close()
            self.writer = None
            return 0

    async def run(self):
        while not self.stopped:
            due = now() + 1
            self.answers.append((now(), await self.ask()))
            await asyncio.sleep(max(due - now(), 0))

    def is_in(self, at):
        """Whether the entry was in rotation at a moment."""
        misses = 0
        for asked, status in self.answers:
            if asked <= at:
                misses = 0 if status == 200 else misses + 1
        return misses < 2


class Try:
    """A client's new connection with one request."""

    def __init__(self, number):
        self.attempt, self.at, self.outcome = f"a{number:05d}", now(), None
        self.ended = 0.0

    async def send(self, address):
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(address, FRONT), PATIENCE_S)
            writer.write(request_head("GET", self.attempt, LIMIT_MS))
            start, fields = await asyncio.wait_for(read_head(reader),
                                                   PATIENCE_S)
            await read_body(reader, fields)
            self.outcome = start[1]
        except asyncio.TimeoutError:
            self.outcome = "not taken" if writer is None else "not answered"
        except (OSError, asyncio.IncompleteReadError):
            self.outcome = "closed"
        self.ended = now()
        if writer is not None and self.outcome == "200":
            try:
                await asyncio.wait_for(reader.read(1), KEEP_S)
            except (OSError, asyncio.TimeoutError):
                pass
        if writer is not None:
            writer.close()


async def send_all(deployment, tries, tasks, per_s, for_s):
    began, count = now(), int(per_s * for_s)
    for i in range(count):
        attempt = Try(len(tries))
        tries.append(attempt)
        tasks.append(asyncio.ensure_future(
            attempt.send(deployment.entry.address)))
        await asyncio.sleep(max(began + (i + 1) / per_s - now(), 0))


def longest_refusal(tries, platform):
    """Returns the longest time between tries that were taken while the entry
    was in rotation, and the clients that tried meanwhile."""
    best, since, count = (0.0, 0), None, 0
    for attempt in sorted(tries, key=lambda one: one.at):
        taken = attempt.outcome not in ("not taken", "not answered")
        if taken or not platform.is_in(attempt.at):
            since, count = None, 0
            continue
        since = attempt.at if since is None else since
        count += 1
        best = max(best, (attempt.ended - since, count))
    return best


def write_record(tries, platform, deployment, began):
    with open(f"{HERE}/record.txt", "w", encoding="ascii") as record:
        record.write(f"trouble {int(TROUBLE)}, descriptors {FDS}\n")
        for asked, status in platform.answers:
            record.write(f"{asked - began:7.3f} ready answer={status}\n")
        for attempt in tries:
            record.write(f"{attempt.at - began:7.3f} {attempt.attempt} "
                         f"outcome={attempt.outcome} "
                         f"runs={deployment.ran(attempt.attempt)}\n")


async def main():
    deployment = Deployment("idempotent", LIMIT_MS, WORK_S, {
        "limits.memory_mb": 120, "limits.max_fds": FDS,
        "bounds.contact_ms": 4000, "bounds.drain_ms": 3000,
        "bounds.grace_s": 8}, slots=60)
    await deployment.open()
    platform = Platform(deployment.entry.address)
    asking = asyncio.ensure_future(platform.run())
    tries, tasks, began = [], [], now()
    try:
        await send_all(deployment, tries, tasks,
                       SKEW_PER_S if TROUBLE else PER_S / EDGES, SKEW_S)
        await send_all(deployment, tries, tasks, PER_S / EDGES, AFTER_S)
        platform.stopped = True
        await asking
        await asyncio.gather(*tasks)
    finally:
        deployment.entry.kill()
    write_record(tries, platform, deployment, began)
    refusal_s, count = longest_refusal(tries, platform)
    print(f"in rotation, the entry took no new connection for {refusal_s:.1f} "
          f"s while {count} clients tried; allowed {CONTACT_S:.1f} s or fewer "
          f"than {TRIES_MIN} clients")
    return 1 if refusal_s >= CONTACT_S and count >= TRIES_MIN else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, KeyError) as error:
        print(f"cannot run: {error!r}")
        sys.exit(CANNOT_RUN)
