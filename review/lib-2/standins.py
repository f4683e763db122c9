"""Stand-ins of the users' platform for the scripts of this review.

Each process of the project runs on a loopback address of its own, as a machine
would. Everything else runs in the script: the platform's store, plain servers
and clients.
"""
import asyncio
import json
import os
import re
import resource
import signal
import socket
import subprocess
import tempfile
import time

STORE_PORT, FRONT, READY, CONTROL, APP = 18784, 18782, 18789, 18783, 18785
# Second bytes of 127.x that a script may use.
FIRST_NET, NETS = 20, 200
# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
CANNOT_RUN = 2


def now():
    return time.monotonic()


def free_net():
    """Returns a second byte of 127.x that is free, and a socket that holds it."""
    for i in range(NETS):
        net = FIRST_NET + (os.getpid() + i) % NETS
        holder = socket.socket()
        try:
            holder.bind((f"127.{net}.255.1", STORE_PORT))
            return net, holder
        except OSError:
            holder.close()
    raise SystemExit(CANNOT_RUN)


def deploy_command(role):
    """The words of a role's run line in the deploy file."""
    with open("deploy/system.toml", encoding="utf-8") as deploy:
        section = deploy.read().split(f"[roles.{role}]")[1]
    return re.search(r'run = "(.*)"', section).group(1).split()


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return lines[0].split(" "), fields


async def read_body(reader, fields):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding") != "chunked":
        return b""
    body = b""
    while True:
        size = int((await reader.readline()).strip() or b"x", 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return body


def answer(status, body=b"", fields=""):
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}"
            "\r\n\r\n").encode() + body


class Server:
    """Serves HTTP on one address."""

    def __init__(self, handle):
        self.handle = handle

    async def open(self, host, port):
        await asyncio.start_server(self.serve, host, port, backlog=1024)

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.handle(start[0], start[1], fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's store: kinds of objects, lists and watches."""

    def __init__(self):
        self.revision, self.objects, self.events = 1, {}, []
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, kind, name, specification):
        self.revision += 1
        stored = {"metadata": {"name": name, "revision": self.revision,
                               "created": self.revision, "finalizers": [],
                               "deleting": False},
                  "specification": specification, "status": None}
        self.objects.setdefault(kind, {})[name] = stored
        self.events.append((self.revision, kind, stored))
        self.changed.set()
        self.changed = asyncio.Event()
        return stored

    def since(self, kind, revision):
        return [{"object": stored, "deleted": False}
                for at, of, stored in self.events
                if of == kind and at > revision]

    async def wait_for_change(self, kind, revision, wait_s):
        until = now() + wait_s
        while not self.since(kind, revision) and now() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), until - now())
            except asyncio.TimeoutError:
                return

    def write(self, method, body, known):
        given = json.loads(body)
        name = given["metadata"]["name"]
        expected = given["metadata"].get("revision")
        if method == "PUT" and name not in known:
            return answer(404, {})
        if name in known and (method == "POST" or expected not in (
                None, known[name]["metadata"]["revision"])):
            return answer(409, known[name])
        return None

    async def handle(self, method, target, _fields, body, writer):
        path, _, query = target.partition("?")
        parts = path.split("/")
        kind = parts[3]
        known = self.objects.get(kind, {})
        asked = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if method in ("PUT", "POST"):
            given = json.loads(body)
            writer.write(self.write(method, body, known)
                         or answer(200, self.put(kind,
                                                 given["metadata"]["name"],
                                                 given["specification"])))
        elif len(parts) > 4:
            writer.write(answer(200, known[parts[4]]) if parts[4] in known
                         else answer(404, {}))
        elif "watch" in asked:
            revision = int(asked["watch"])
            await self.wait_for_change(kind, revision,
                                       int(asked.get("wait_ms", 0)) / 1000)
            writer.write(answer(200, {"events": self.since(kind, revision),
                                      "current_rev": self.revision}))
        else:
            writer.write(answer(200, {"items": list(known.values()),
                                      "has_more": False,
                                      "current_rev": self.revision}))


class PlainServer:
    """A sound server of a plain service: works on @slots requests at once,
    queues @queue more, refuses others, and drops a request whose connection
    has closed."""

    def __init__(self, number, service, address, work_s, slots=6, queue=24):
        self.id, self.service = f"i-{number}", service
        self.address, self.work_s = address, work_s
        self.slots, self.queue = asyncio.Semaphore(slots), queue
        self.capacity, self.taken = slots, 0
        self.arrived, self.runs = {}, {}
        self.server = Server(self.handle)

    async def open(self):
        await self.server.open(self.address, APP)

    def entry(self):
        return {"service": self.service, "address": f"{self.address}:{APP}",
                "zone": "a", "version": "v1", "capacity": self.capacity,
                "state": "ready", "cold_left_ms": 0, "sequence": 1}

    def own_fields(self):
        running = min(self.taken, self.capacity)
        return (f"Server-Load: {running},{self.taken - running},"
                f"{self.capacity}\r\n")

    async def handle(self, _method, target, fields, body, writer):
        if target == "/healthz":
            writer.write(answer(200, b"", f"Instance-Id: {self.id}\r\n"))
            return
        if fields.get("expect-instance", self.id) != self.id:
            writer.write(answer(421, b"", f"Instance-Id: {self.id}\r\n"))
            return
        attempt = fields["attempt-id"]
        named = f"Attempt-Id: {attempt}\r\n{self.own_fields()}"
        if self.taken >= self.capacity + self.queue:
            writer.write(answer(503, b"", f"Not-Run: 1\r\n{named}"))
            return
        self.arrived[attempt] = now()
        self.taken += 1
        try:
            async with self.slots:
                if writer.transport.is_closing():
                    return
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                await asyncio.sleep(self.work_s)
        finally:
            self.taken -= 1
        writer.write(answer(200, f"{attempt} {len(body)}".encode(),
                            f"{named}Server-Seal: s.{attempt}\r\n"))


class EngineServer:
    """A sound model server: keeps the parts of prompts under their salt, and
    notes which tenant's request made each part and which requests use it."""

    MODEL = "guide"

    def __init__(self, number, service, address):
        self.id, self.service, self.address = f"i-{number}", service, address
        self.running, self.order_count = 0, 0
        # Time until the first event, between two events, and their number.
        self.first_s, self.pause_s, self.event_count = 0.03, 0.03, 5
        # Per salt: the chain of parts up to one -> the tenant that made it.
        self.kept, self.events, self.uses = {}, [], []
        self.runs = {}
        self.server = Server(self.handle)

    async def open(self):
        await self.server.open(self.address, APP)

    def models(self):
        return [{"name": self.MODEL, "version": 1, "adapters": []}]

    def entry(self):
        return {"service": self.service, "address": f"{self.address}:{APP}",
                "zone": "a", "version": "v1", "capacity": 12,
                "state": "ready", "cold_left_ms": 0, "stage": "colocated",
                "models": self.models(), "sequence": 1}

    def report(self):
        return {"stage": "colocated", "models": self.models(), "busy": False,
                "sequence": self.order_count, "queued": 0,
                "active": self.running, "kv_used": 0, "kv_total": 143654,
                "sessions": 0, "state": "ready", "runs": []}

    async def wait_for_events(self, target):
        since = int(target.partition("since=")[2] or 0)
        if since >= len(self.events):
            await asyncio.sleep(0.8)
        events = [[i + 1, "+", *event, self.MODEL]
                  for i, event in enumerate(self.events)][since:]
        return {"boot_epoch": 1, "next": len(self.events),
                "lost_count": False, "events": events}

    def take_parts(self, attempt, fields):
        """Looks up the parts of a prompt, and keeps those that are missing."""
        salt, chain = fields.get("cache-salt", ""), ()
        tenant = fields.get("tenant", "")
        is_kept = True
        for part in fields.get("prompt-prefix", "").split(","):
            name, _, tokens = part.strip().partition(":")
            chain += (name,)
            maker = self.kept.get((salt, chain))
            is_kept = is_kept and maker is not None
            if is_kept:
                self.uses.append((attempt, name, tenant, maker))
            else:
                self.kept[salt, chain] = tenant
                self.events.append((salt, name, int(tokens)))

    async def handle(self, _method, target, fields, _body, writer):
        if target == "/api/report":
            writer.write(answer(200, self.report()))
        elif target.startswith("/api/kv-events"):
            writer.write(answer(200, await self.wait_for_events(target)))
        elif target == "/healthz":
            writer.write(answer(200, b"", f"Instance-Id: {self.id}\r\n"))
        elif target.startswith("/api/"):
            writer.write(answer(404))
        elif fields.get("expect-instance", self.id) != self.id or fields.get(
                "expect-version", "1") != "1":
            writer.write(answer(421, b"", f"Instance-Id: {self.id}\r\n"))
        else:
            await self.run(fields, writer)

    async def run(self, fields, writer):
        attempt = fields["attempt-id"]
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.running += 1
        try:
            self.take_parts(attempt, fields)
            writer.write((f"HTTP/1.1 200 X\r\nAttempt-Id: {attempt}\r\n"
                          f"Server-Seal: s.{attempt}\r\nWeight-Versions: 1"
                          "\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n").encode())
            for event in range(int(fields.get("last-event-id", 0)) + 1,
                               self.event_count + 1):
                await asyncio.sleep(self.first_s if event == 1
                                    else self.pause_s)
                if writer.transport.is_closing():
                    return
                line = f"id: {event}\ndata: {attempt}\n\n"
                writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Sidecar:
    """A sidecar beside an engine."""

    def __init__(self, net, directory, engine):
        self.engine, self.net = engine, net
        self.path = f"{directory}/sidecar-{engine.id}"
        self.process = None

    def start(self):
        ip = self.engine.address
        settings = {"node_name": f"side-{self.engine.id}", "zone": "a",
                    "bind_ip": ip, "port_range": "17340,17355",
                    "seed_nodes": f"127.{self.net}.2.1:{CONTROL}",
                    "bootstrap": "true", "app": f"{ip}:{APP}",
                    "bounds.lease_ms": 3000,
                    "platform.address": f"127.{self.net}.0.1:{STORE_PORT}"}
        with open(f"{self.path}.conf", "w", encoding="ascii") as out:
            out.write("".join(f"{name}={value}\n"
                              for name, value in settings.items()))
        with open(f"{self.path}.log", "ab") as log:
            self.process = subprocess.Popen(
                deploy_command("sidecar"),
                env={"PARSLEYGW_BOOT": f"{self.path}.conf"}, stdout=log,
                stderr=log)

    def kill(self):
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Entry:
    """An entry on an edge machine, started and restarted as the platform does
    it: its descriptors and its memory are those of the settings."""

    def __init__(self, net, directory, bounds):
        self.address = f"127.{net}.2.1"
        self.directory, self.bounds = directory, bounds
        self.store = f"127.{net}.0.1:{STORE_PORT}"
        self.process, self.starts = None, 0

    def settings(self):
        ip = self.address
        return {"node_name": "edge-a-1", "zone": "a", "bind_ip": ip,
                "listen.front": f"{ip}:{FRONT}",
                "listen.ready": f"{ip}:{READY}",
                "listen.control": f"{ip}:{CONTROL}",
                "port_range": "17340,17355", "seed_nodes": f"{ip}:{CONTROL}",
                "bootstrap": "true" if self.starts == 0 else "false",
                "platform.address": self.store, **self.bounds}

    def limit_descriptors(self):
        sockets = self.bounds["limits.max_fds"] - RESERVED_FDS
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    def start(self):
        path = f"{self.directory}/entry.conf"
        with open(path, "w", encoding="ascii") as out:
            out.write("".join(f"{name}={value}\n"
                              for name, value in self.settings().items()))
        self.starts += 1
        with open(f"{self.directory}/entry.log", "ab") as log:
            self.process = subprocess.Popen(
                deploy_command("entry"), env={"PARSLEYGW_BOOT": path},
                stdout=log, stderr=log, preexec_fn=self.limit_descriptors)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def memory_mb(self):
        """Resident memory, without what the kernel holds unread."""
        try:
            with open(f"/proc/{self.process.pid}/statm",
                      encoding="ascii") as statm:
                pages = int(statm.read().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * resource.getpagesize() / 2**20


class Deployment:
    """A store, three plain servers and one entry; one route to the servers."""

    def __init__(self, kind, timeout_ms, work_s, bounds, slots=6):
        self.net, self.held = free_net()
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.servers = [PlainServer(i, "records", f"127.{self.net}.3.{i}",
                                    work_s, slots) for i in (1, 2, 3)]
        self.entry = Entry(self.net, self.directory, bounds)
        self.kind, self.timeout_ms = kind, timeout_ms

    def configuration(self):
        return {"version": 7,
                "routes": [{"name": "r-1", "host": "h.example",
                            "path_prefix": "/records/", "kind": self.kind,
                            "timeout_ms": self.timeout_ms,
                            "target_latency_ms": 300, "priority": 2,
                            "service": "records", "max_attempts": 2,
                            "no_auth": False}],
                "services": [{"name": "records", "health_path": "/healthz",
                              "max_connections": 220, "protocol": "h1",
                              "tls_mode": False}],
                "limits": {"max_header_bytes": 16384,
                           "max_body_bytes": 4194304,
                           "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": "parish", "api_keys": ["k1"],
                             "priority": 1, "isolated": False}]}

    async def open(self):
        await self.store.server.open(f"127.{self.net}.0.1", STORE_PORT)
        self.store.put("config", "main", self.configuration())
        for server in self.servers:
            await server.open()
            self.store.put("servers", server.id, server.entry())
        self.entry.start()
        await self.wait_until_ready()

    async def wait_until_ready(self):
        until = now() + 10
        while now() < until:
            if await self.ask_ready() == 200:
                return
            await asyncio.sleep(0.1)
        raise SystemExit(CANNOT_RUN)

    async def ask_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.entry.address, READY)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
            start, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return int(start[1])
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            return 0

    def ran(self, attempt):
        return sum(server.runs.get(attempt, 0) for server in self.servers)

    def has_arrived(self, attempt):
        return any(attempt in server.arrived for server in self.servers)


def request_head(method, attempt, deadline_ms, size=None):
    length = "" if size is None else f"Content-Length: {size}\r\n"
    return (f"{method} /records/x HTTP/1.1\r\nHost: h.example\r\n"
            f"Attempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer k1\r\n{length}\r\n").encode()
