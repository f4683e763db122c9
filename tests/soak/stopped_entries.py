"""Entries are stopped in turn while callers are as slow as they may be: bodies
come in parts, answers are read a little at a time, and connections are used
until the process is gone.

A request that its entry has read, and whose connection ends without a complete
answer, is lost, unless it was sent early in the stop and its upstream was still
at work near the end of the grace period. Away from a stop no answer is cut."""
import asyncio
import signal
import socket
import time

from wire import answer

GRACE_S, LOST_S, EARLY_S = 8.0, 0.2, 3.0
# From this time after SIGTERM on, an upstream that is at work excuses a cut.
AT_WORK_S = GRACE_S * 5 / 6
# Requests that were sent so long before SIGTERM may meet it.
NEAR_S = 12.0
TIMEOUT_MS, BODY_BYTES, CALLERS = 10000, 34000, 16
CALM_S, STEP_S, READ_PAUSE_S = 1.5, 0.03, 0.5
TAG = b"stops "


class Request:
    """One attempt, as its caller and its upstreams saw it."""

    def __init__(self, entry, resumable):
        self.entry, self.resumable = entry, resumable
        self.begun_at, self.whole_at, self.end_at = time.monotonic(), None, 0
        self.passed_at, self.work_end = None, 0
        self.end = "open"


class Kind:
    """How callers of one act behave. @body_s: longest time of a body; @answer_s:
    of a stream, which has at most so many @events of so many bytes; @buffer:
    receive buffer, 0: the system's; @read: bytes that are read at once, with a
    pause after each, 0: all"""

    def __init__(self, body_s=0.0, answer_s=3.0, events=60, event=200, buffer=0,
                 read=0):
        self.body_s, self.answer_s, self.events = body_s, answer_s, events
        self.event, self.buffer, self.read = event, buffer, read


class Stops:
    """Requests and stops of an act."""

    def __init__(self, soak):
        self.soak, self.requests, self.terms, self.number = soak, {}, {}, 0
        self.ended = False

    def owns(self, body):
        return body.startswith(TAG)

    async def serve(self, fields, body, writer, own):
        """A stream, or a plain answer if it has no events."""
        request = self.requests[fields["attempt-id"]]
        request.passed_at = request.passed_at or time.monotonic()
        events, size, pause_ms = (int(n) for n in body.split()[1:4])
        try:
            if events == 0:
                await asyncio.sleep(pause_ms / 1000)
                writer.write(answer(200, b"done", own))
                await writer.drain()
                return
            writer.write((f"HTTP/1.1 200 X\r\n{own}Content-Type: "
                          "text/event-stream\r\nTransfer-Encoding: chunked"
                          "\r\n\r\n").encode())
            for event in range(int(fields.get("last-event-id", 0)) + 1,
                               events + 1):
                line = f"id: {event}\ndata: {'x' * size}\n\n"
                writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
                await writer.drain()
                if writer.transport.is_closing():
                    return
                await asyncio.sleep(pause_ms / 1000)
            writer.write(b"0\r\n\r\n")
        finally:
            request.work_end = time.monotonic()

    @staticmethod
    def is_owed(request):
        """Whether it was read as a whole and its time was not over."""
        return request.whole_at is not None and request.end_at < (
            request.begun_at + TIMEOUT_MS / 1000 - 0.1)

    @staticmethod
    def is_excused(request, term):
        """Its upstream was at work near the end, or it was not passed on."""
        if request.passed_at is None:
            return request.end_at <= request.whole_at + LOST_S
        return request.whole_at <= term + EARLY_S and (
            request.work_end >= term + AT_WORK_S or request.work_end == 0)

    def describe(self, attempt, request):
        """What became of a request, in seconds after the SIGTERM before."""
        term = max((at for at in self.terms.get(request.entry, [])
                    if at <= request.end_at), default=request.begun_at)
        worked = (f"{request.work_end - term:.2f}" if request.work_end else "-")
        return (f"{attempt} at entry {request.entry} begun "
                f"{request.begun_at - term:.2f} whole "
                f"{request.whole_at - term:.2f} upstream ended {worked} "
                f"{request.end} {request.end_at - term:.2f} s after SIGTERM, "
                f"passed on: {request.passed_at is not None}")

    def judge(self):
        """Prints what ended how, and fails if a request was lost."""
        lost, excused, cut, ends = [], 0, [], {}
        for attempt, request in self.requests.items():
            kind = "status" if request.end.isdigit() else request.end
            ends[kind] = ends.get(kind, 0) + 1
            if request.end in ("done", "open") or request.end.isdigit() or (
                    not self.is_owed(request)):
                continue
            terms = [at for at in self.terms.get(request.entry, [])
                     if request.end_at >= at and request.end_at
                     <= at + GRACE_S + 1.0]
            if not terms:
                cut.append(self.describe(attempt, request))
            elif self.is_excused(request, terms[-1]):
                excused += 1
            else:
                lost.append(self.describe(attempt, request))
        print(f"stops: {ends} lost={len(lost)} excused={excused} "
              f"cut away from a stop={len(cut)}", flush=True)
        if lost or cut:
            self.soak.fail(f"{len(lost)} requests lost {lost[:3]}, {len(cut)} cut "
                           f"away from a stop {cut[:3]}")


class Connection:
    """A caller's connection, read in pieces of its own choice."""

    def __init__(self, sock, kind, pick):
        self.sock, self.kind, self.pick, self.data = sock, kind, pick, b""
        self.loop = asyncio.get_running_loop()

    async def send(self, data):
        await self.loop.sock_sendall(self.sock, data)

    async def more(self):
        data = await asyncio.wait_for(
            self.loop.sock_recv(self.sock, self.kind.read or 65536), 15)
        if not data:
            raise EOFError
        self.data += data
        if self.kind.read > 0:
            await asyncio.sleep(self.pick.random() * READ_PAUSE_S)

    async def until(self, mark):
        while mark not in self.data:
            await self.more()
        head, _, self.data = self.data.partition(mark)
        return head

    async def exactly(self, size):
        while len(self.data) < size:
            await self.more()
        taken, self.data = self.data[:size], self.data[size:]
        return taken

    async def answer(self):
        """Returns status, fields and body of one answer."""
        lines = (await self.until(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {n.lower(): v.strip() for n, _, v in
                  (line.partition(":") for line in lines[1:])}
        if fields.get("transfer-encoding") != "chunked":
            body = await self.exactly(int(fields.get("content-length", 0)))
            return lines[0].split(" ")[1], fields, body
        body = b""
        while size := int(await self.until(b"\r\n"), 16):
            body += (await self.exactly(size + 2))[:size]
        await self.exactly(2)
        return lines[0].split(" ")[1], fields, body


async def connect(soak, entry, kind):
    sock = socket.socket()
    sock.setblocking(False)
    if kind.buffer > 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, kind.buffer)
    try:
        await asyncio.wait_for(asyncio.get_running_loop().sock_connect(
            sock, (soak.ip(2, entry), soak.front(entry)[1])), 1)
        return Connection(sock, kind, soak.random)
    except (OSError, asyncio.TimeoutError):
        sock.close()
        return None


async def send_request(soak, fleet, connection, kind, attempt, request):
    """Sends one request, its body in parts; @request learns when it was whole."""
    pick = soak.random
    route = pick.choice(["menu", "menu", "course", "print"])
    events, size, pause_ms = 0, kind.event, pick.randrange(10, 60)
    if route != "print":
        events = pick.randrange(5, kind.events)
        pause_ms = int(pick.random() * kind.answer_s * 1000 / events)
    request.resumable = route == "menu"
    model = (f"Model: {soak.model}\r\nToken-Count: 60,{max(events, 1)}\r\n"
             f"Prompt-Prefix: 9:40,{soak.stops.number:x}9:20\r\n"
             if route != "print" else "")
    body = TAG + f"{events} {size} {pause_ms} {attempt} ".encode()
    body += b"." * (BODY_BYTES - len(body))
    if route != "menu":
        soak.once.add(attempt)
    await connection.send(
        (f"POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}"
         f"\r\nDeadline-Ms: {TIMEOUT_MS}\r\n{model}Authorization: Bearer "
         f"{fleet.keys[-1]}\r\nContent-Length: {len(body)}\r\n\r\n").encode())
    takes_s = pick.random() * kind.body_s
    parts = max(1, int(takes_s / STEP_S))
    for part in range(parts):
        await connection.send(body[len(body) * part // parts:
                                   len(body) * (part + 1) // parts])
        await asyncio.sleep(takes_s / parts if part + 1 < parts else 0)
    request.whole_at = time.monotonic()
    return route, events, size


def check(soak, attempt, route, events, size, status, fields, body):
    """A complete answer is the whole one, and a refused request does not run."""
    if status in ("429", "503", "408", "421"):
        soak.promised.add(attempt)
        if route != "menu" and soak.stops.requests[attempt].passed_at:
            soak.fail(f"{attempt} got {status} and was passed on")
    if status != "200":
        soak.failed[attempt] = int(status)
        return
    expected = b"done" if events == 0 else b"".join(
        b"id: %d\ndata: %s\n\n" % (i, b"x" * size) for i in range(1, events + 1))
    if fields.get("server-seal") != f"s.{attempt}" or body != expected:
        soak.fail(f"{attempt} got {len(body)} bytes of {len(expected)} as whole")


async def caller(soak, fleet, entry, kind):
    """Uses a connection for as long as it may, then the next one."""
    stops, connection = soak.stops, None
    while not stops.ended and soak.broken is None:
        if connection is None or soak.random.random() < 0.2:
            if connection is not None:
                connection.sock.close()
            connection = await connect(soak, entry, kind)
        if connection is None:
            await asyncio.sleep(0.1)
            continue
        stops.number += 1
        attempt = f"stop-{stops.number}"
        request = stops.requests[attempt] = Request(entry, True)
        soak.sent_to[attempt], soak.sent_at[attempt] = entry, time.monotonic()
        try:
            route, events, size = await send_request(soak, fleet, connection,
                                                     kind, attempt, request)
            status, fields, body = await connection.answer()
            request.end = "done" if status == "200" else status
            check(soak, attempt, route, events, size, status, fields, body)
            closes = fields.get("connection", "").lower() == "close"
        except (OSError, EOFError, ValueError, asyncio.TimeoutError) as error:
            request.end = type(error).__name__
            closes = True
        request.end_at = time.monotonic()
        if closes:
            connection.sock.close()
            connection = None
    if connection is not None:
        connection.sock.close()


async def stopped(soak, fleet, kind):
    """Stops each entry once, with callers of its own."""
    fleet.more_routes = [
        {"name": name, "host": "h.example", "path_prefix": f"/{name}/",
         "kind": what, "timeout_ms": TIMEOUT_MS, "target_latency_ms": 800,
         "priority": 1, "service": service, "max_attempts": tries,
         "resumable": name == "menu"}
        for name, what, service, tries in (
            ("menu", "stream", "guide", 2), ("course", "stream", "guide", 1),
            ("print", "non_idempotent", "plain", 1))]
    await fleet.configure()
    soak.stops = Stops(soak)
    await asyncio.sleep(1.0)
    waiting = [asyncio.ensure_future(caller(soak, fleet, entry.index, kind))
               for entry in fleet.entries for _ in range(CALLERS)]
    for entry in soak.random.sample(fleet.entries, len(fleet.entries)):
        await asyncio.sleep(CALM_S)
        soak.stops.terms.setdefault(entry.index, []).append(time.monotonic())
        await entry.restart(signal.SIGTERM, 0.5)
        if soak.broken is not None:
            break
    await asyncio.sleep(CALM_S)
    soak.stops.ended = True
    await asyncio.gather(*waiting)
    soak.stops.judge()


KINDS = {
    "stopped_calm": Kind(),
    "stopped_late_bodies": Kind(body_s=2.0, answer_s=9.0),
    "stopped_later_bodies": Kind(body_s=6.0, answer_s=9.0),
    "stopped_slow_readers": Kind(answer_s=1.5, events=20, event=20000,
                                 buffer=16384, read=20000),
    "stopped_slower_readers": Kind(body_s=2.0, answer_s=1.5, events=20,
                                   event=20000, buffer=4096, read=20000),
}


def act(kind):
    async def run_act(soak, fleet):
        await stopped(soak, fleet, kind)
    return run_act


ACTS = {name: act(kind) for name, kind in KINDS.items()}
