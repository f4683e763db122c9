"""Engines of the soak that work in steps, as real ones do: each step makes one
event of each stream that runs and reads a piece of one prompt, and takes longer
the more there is to do and the slower the engine's machine is at that moment.

Such an engine keeps copies of runs that others send it (Kv-Backup), and goes on
from them (Kv-From); a run that goes on is the same run."""
import asyncio
import random
import time

from wire import answer, reset_connection

# A step of an engine with one stream; as long again when all slots are taken.
STEP_S = 0.008
# Prompt tokens that a piece has, and that an engine reads in a second.
PIECE_TOKENS, TOKENS_PER_S = 4096, 54600
# Requests beyond its slots that an engine queues.
QUEUED_MAX = 2
# The speed changes this often, between these shares of what it is usually.
DRIFT_S, DRIFT = 0.2, (0.85, 1.2)
# A run may go on elsewhere this long before its former engine has ended it.
FORMER_ENDS_S = 0.4


class Run:
    """One request at an engine. @turns: a step has made an event."""

    def __init__(self, attempt, prompt_tokens, writer):
        self.attempt, self.left, self.writer = attempt, prompt_tokens, writer
        self.tokens, self.events = prompt_tokens, 0
        self.turns, self.ended, self.begun = asyncio.Queue(), False, False


class Steps:
    """How an engine works. @percent: how long work takes, 100 is as usual."""

    def __init__(self, upstream, percent=100, queue_max=QUEUED_MAX, slots=8):
        self.upstream, self.usual, self.percent = upstream, percent, percent
        self.queue_max = queue_max
        self.slots, self.runs, self.work = slots, [], asyncio.Event()
        self.random = random.Random(percent)
        self.tasks = [asyncio.ensure_future(self.step()),
                      asyncio.ensure_future(self.drift())]

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for run in self.runs:
            reset_connection(run.writer)
            run.turns.put_nowait(False)

    def restart(self):
        """The engine's process has ended: nothing of it goes on."""
        for run in self.runs:
            run.turns.put_nowait(False)
        self.runs = []

    async def drift(self):
        while True:
            await asyncio.sleep(DRIFT_S)
            self.percent = int(self.usual * self.random.uniform(*DRIFT))

    async def step(self):
        while True:
            for run in self.runs:
                if run.writer.transport.is_closing() or (
                        run.writer.reader.at_eof()):
                    run.ended = True
                    run.turns.put_nowait(False)
            self.runs = [run for run in self.runs if not run.ended]
            if not self.runs:
                self.work.clear()
                await self.work.wait()
                continue
            taken = self.runs[:self.slots]
            reading = next((run for run in taken if run.left > 0), None)
            piece = min(reading.left, PIECE_TOKENS) if reading else 0
            took_s = (STEP_S * (1 + len(taken) / self.slots)
                      + piece / TOKENS_PER_S) * self.percent / 100
            await asyncio.sleep(took_s)
            for run in taken:
                if run is reading:
                    run.left -= piece
                if run.left <= 0:
                    run.begun = True
                    run.turns.put_nowait(True)

    def load(self):
        taken = min(len(self.runs), self.slots)
        return (f"Server-Load: {taken},{len(self.runs) - taken},{self.slots},"
                f"{self.percent}\r\n")

    def report(self):
        taken = self.runs[:self.slots]
        return {"active": len(taken), "queued": len(self.runs) - len(taken),
                "kv_used": sum(run.tokens for run in self.runs),
                "runs": [[run.attempt, run.tokens - max(run.left, 0),
                          run.events, 5] for run in taken]}

    def is_full(self):
        return len(self.runs) >= self.slots + self.queue_max

    async def empty(self):
        """Refuses what has not begun, and waits for the end of what has."""
        for run in self.runs:
            if not run.begun:
                run.ended = True
                run.turns.put_nowait("refused")
        self.work.set()
        while any(run.begun and not run.ended for run in self.runs):
            await asyncio.sleep(STEP_S)

    async def serve(self, fields, writer, own, first, events, goes_on):
        """Streams events @first to @events - 1 of one request. @goes_on: its run
        has begun elsewhere."""
        soak, attempt = self.upstream.soak, fields["attempt-id"]
        run = Run(attempt, int(fields["token-count"].split(",")[0]), writer)
        backup = soak.engine_at(fields.get("kv-backup"))
        place = (self.upstream.ip, self.upstream.starts)
        soak.working.setdefault(attempt, set()).add(place)
        self.runs.append(run)
        self.work.set()
        try:
            turn = await run.turns.get()
            if turn == "refused":
                writer.write(answer(503, b"", "Not-Run: 1\r\nAttempt-Id: "
                                    f"{attempt}\r\n"))
            if turn is not True:
                return
            if not goes_on:
                soak.note_run(attempt)
                soak.starts.note_begin(self.upstream, attempt)
            writer.write((f"HTTP/1.1 200 X\r\n{own}{self.load()}"
                          f"Weight-Versions: {self.upstream.version}\r\n"
                          "Content-Type: "
                          "text/event-stream\r\nTransfer-Encoding: chunked"
                          "\r\n\r\n").encode())
            for event in range(first, events):
                line = f"id: {event}\ndata: {attempt}\n\n"
                writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
                await writer.drain()
                run.events = event
                if backup is not None:
                    backup.copies[attempt] = event
                if event + 1 < events and not await run.turns.get():
                    return
            writer.write(b"0\r\n\r\n")
            if backup is not None:
                backup.copies.pop(attempt, None)
        finally:
            run.ended = True
            soak.working[attempt].discard(place)


def take_copy(upstream, fields, writer):
    """Whether a request goes on from a copy that the engine has; if it says so
    and there is none, it is refused, and "refused" is returned."""
    source = fields.get("kv-from")
    if source is None:
        return False
    soak, attempt = upstream.soak, fields["attempt-id"]
    address, _, name = source.rpartition("/")
    if name != attempt:
        soak.fail(f"{attempt} was to go on from the memory of {name}")
    if soak.engine_at(address) is not upstream or (
            upstream.copies.pop(attempt, None) is None):
        writer.write(answer(503, b"", f"Not-Run: 1\r\nAttempt-Id: {attempt}"
                            "\r\n"))
        return "refused"
    asyncio.ensure_future(check_former(soak, attempt))
    return True


async def check_former(soak, attempt):
    """No other engine works on a run some time after it went on elsewhere."""
    former = set(soak.working.get(attempt, ()))
    await asyncio.sleep(FORMER_ENDS_S)
    if former & soak.working.get(attempt, set()):
        soak.fail(f"{attempt} went on at another engine while {former} still "
                  "worked on it")


class Lag:
    """How long this process itself stood still, which no program answers for."""

    def __init__(self):
        self.times, self.task = [], asyncio.ensure_future(self.watch())

    async def watch(self):
        while True:
            at = time.monotonic()
            await asyncio.sleep(0.01)
            late_s = time.monotonic() - at - 0.01
            if late_s > 0.05:
                self.times.append((at, at + 0.01 + late_s))

    def within(self, begin, end):
        return any(a < end and b > begin for a, b in self.times)

    def stop(self):
        self.task.cancel()


class Stream:
    """What a caller has got of one stream. @status: None, there was no
    connection; "cut" the answer has ended within."""

    def __init__(self):
        self.status, self.at, self.done, self.retry_after_s = None, [], False, 0.0
        self.sent_at, self.ended_at = time.monotonic(), None

    def longest_pause_s(self):
        return max((b - a for a, b in zip(self.at, self.at[1:])), default=0.0)


async def read_stream(soak, reader, attempt, events, stream, wait_s):
    """Reads a whole stream and checks the order of its events."""
    data, last = b"", 0
    while True:
        size = int((await asyncio.wait_for(
            reader.readline(), wait_s)).strip() or b"x", 16)
        data += (await reader.readexactly(size + 2))[:size]
        while b"\n\n" in data:
            event, _, data = data.partition(b"\n\n")
            fields = dict(line.split(": ", 1)
                          for line in event.decode().split("\n"))
            if int(fields["id"]) != last + 1 or fields["data"] != attempt:
                soak.fail(f"{attempt}: event {fields} came after {last}")
            last = int(fields["id"])
            stream.at.append(time.monotonic())
        if size == 0:
            if last != events:
                soak.fail(f"{attempt} ended as complete after {last} of "
                          f"{events} events")
            stream.done = True
            return


async def ask(soak, entry, key, route, attempt, tokens, events, wait_s=4.0):
    """One attempt of a prompt of its own at an entry; returns its Stream."""
    stream = Stream()
    soak.sent_to[attempt], soak.sent_at[attempt] = entry, stream.sent_at
    soak.stream_events[attempt] = events
    if not soak.is_resumable(route):
        soak.once.add(attempt)
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*soak.front(entry)), 1)
    except (OSError, asyncio.TimeoutError):
        stream.ended_at = time.monotonic()
        return stream
    try:
        writer.write((f"POST /{route}/p HTTP/1.1\r\nHost: h.example\r\n"
                      f"Attempt-Id: {attempt}\r\n"
                      f"Deadline-Ms: {int(wait_s * 1000)}\r\n"
                      f"Model: {soak.model}\r\nToken-Count: {tokens},{events}"
                      f"\r\nPrompt-Prefix: {attempt.encode().hex()}:{tokens}"
                      f"\r\nAuthorization: Bearer {key}\r\n"
                      f"Connection: close\r\nContent-Length: {len(attempt)}"
                      f"\r\n\r\n{attempt}").encode())
        start, fields = await asyncio.wait_for(soak.read_head(reader),
                                               wait_s + 1)
        stream.status = start[1]
        if start[1] != "200":
            stream.retry_after_s = float(fields.get("retry-after", 0))
            if int(start[1]) in (429, 503, 408, 421):
                soak.promised.add(attempt)
                if attempt in soak.once and soak.runs.get(attempt, 0) > 0:
                    soak.fail(f"{attempt} got {start[1]} and had run")
            soak.failed[attempt] = int(start[1])
            return stream
        await read_stream(soak, reader, attempt, events, stream, wait_s)
    except (OSError, ValueError, asyncio.IncompleteReadError,
            asyncio.TimeoutError):
        stream.status = "cut"
    finally:
        stream.ended_at = time.monotonic()
        writer.close()
    return stream
