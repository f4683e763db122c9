"""Upstreams answer a request twice: the second answer comes up to 30 ms later on
the kept connection, where the answer to the next request is expected.

Some upstreams name the attempt in refusals and some do not; a second answer may
lack the name that the first one had. A part of the requests is refused, or
answered with an error whose status looks like a refusal."""
import asyncio

from wire import answer, reset_connection

LATE_S, LOAD_S, PAUSE_S = 0.03, 5.0, 0.005
REFUSED, LOOKS_REFUSED, BROKEN_OFF, REPEATED = 1 / 12, 1 / 50, 1 / 50, 0.5
LONGEST = 2000


class Recorder:
    """A writer that keeps what is written, to repeat it."""

    def __init__(self, writer):
        self.writer, self.data = writer, b""

    def write(self, data):
        self.data += data
        self.writer.write(data)

    def __getattr__(self, name):
        return getattr(self.writer, name)


class Repeats:
    """What upstreams repeat. @only_refusals: nothing else; @named: with the
    attempt's id, if the first answer had it."""

    def __init__(self, soak, only_refusals, named):
        self.soak, self.only_refusals, self.named = soak, only_refusals, named
        self.count = 0

    @staticmethod
    def names_refusals(upstream):
        return sum(upstream.ip.encode()) % 2 == 0

    def refuse(self, upstream, attempt, writer):
        """Returns whether the request was answered without a run."""
        own = (f"Attempt-Id: {attempt}\r\n"
               if self.names_refusals(upstream) else "")
        draw = self.soak.random.random()
        if draw < REFUSED:
            writer.write(answer(503, b"", f"Not-Run: 1\r\n{own}"))
        elif attempt in self.soak.once and draw < REFUSED + LOOKS_REFUSED:
            self.soak.note_run(attempt)
            writer.write(answer(503, b"", f"Attempt-Id: {attempt}\r\n"
                                f"Server-Seal: s.{attempt}\r\n"))
        elif draw < REFUSED + LOOKS_REFUSED + BROKEN_OFF:
            self.soak.note_run(attempt)
            reset_connection(writer)
        else:
            return False
        return True

    def repeat(self, recorder):
        data = recorder.data
        if len(data) > LONGEST or not data.startswith(b"HTTP/1.1 ") or (
                self.only_refusals and b"Not-Run" not in data) or (
                self.soak.random.random() > REPEATED):
            return
        if not self.named:
            data = b"\r\n".join(line for line in data.split(b"\r\n")
                                if not line.startswith(b"Attempt-Id"))
        asyncio.ensure_future(self.send(recorder.writer, data))

    async def send(self, writer, data):
        await asyncio.sleep(self.soak.random.random() * LATE_S)
        if not writer.transport.is_closing():
            self.count += 1
            writer.write(data)


async def load(soak, fleet, call, prefix):
    waiting, number = set(), 0
    end = asyncio.get_running_loop().time() + LOAD_S
    while asyncio.get_running_loop().time() < end and soak.broken is None:
        number += 1
        route = soak.random.choice(["once", "brook"])
        waiting.add(asyncio.ensure_future(
            call(soak, fleet, route, f"{prefix}-{number}")))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*waiting)


async def repeated(soak, fleet, call, only_refusals, named):
    soak.repeats = Repeats(soak, only_refusals, named)
    await load(soak, fleet, call, f"r{int(only_refusals)}{int(named)}")
    print(f"repeated answers: {soak.repeats.count}", flush=True)
    soak.repeats = None


ACTS = {"repeated_refusals": (True, False), "repeated_answers": (False, False),
        "repeated_named": (False, True)}
