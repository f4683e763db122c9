"""Stand-ins for the cases in this folder: the platform's store, servers, and
clients, as the users' pages describe them, and the project's own processes.

Everything is on loopback addresses. Each machine has an address of its own.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MODEL = "m0"
HOST = "app.example"
KEY = "key-one"
TENANT = "tenant-one"
FRONT, READY, CONTROL, STORE, APP, RANGE = 8782, 8789, 8783, 8784, 8785, 7340
# The in-touch time of the deployment, and its other bounds.
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8,
          "config_ms": 2000, "retry_budget_ratio": 0.2, "budget_slack": 52,
          "lease_ms": 3000, "version_ms": 12000, "require_fencing": "false"}


class Run:
    """One run of a case: its record, its folder, and what it started."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w",
                           encoding="utf-8")
        self.net, self.holder = self.free_net()
        self.processes = []
        self.note(f"trouble={int(self.trouble)}")

    @staticmethod
    def free_net():
        for i in range(200):
            net = (os.getpid() + i) % 200 + 20
            holder = socket.socket()
            try:
                holder.bind((f"127.{net}.255.1", STORE))
                return net, holder
            except OSError:
                holder.close()
        raise OSError("every 127.x is used")

    def ip(self, kind, index):
        return f"127.{self.net}.{kind}.{index + 1}"

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def close(self):
        for process in self.processes:
            process.kill()
        self.record.close()
        self.holder.close()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.dir, ignore_errors=True)


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
    body = b""
    while fields.get("transfer-encoding") == "chunked":
        size = int((await reader.readline()).strip(), 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            break
    return body


def answer(status, body=b"", fields=""):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}"
            "\r\n\r\n").encode() + body


class Listener:
    """Serves HTTP/1.1 on one address, one request at a time a connection."""

    def __init__(self, handle):
        self.handle, self.server, self.writers = handle, None, set()

    async def open(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port,
                                                 reuse_address=True,
                                                 backlog=256)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.handle(start[0], start[1], fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """The process ends: its connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store."""

    def __init__(self, run):
        self.run, self.revision = run, 1
        self.objects, self.events = {}, []
        self.changed = asyncio.Condition()
        self.listener = Listener(self.handle)

    async def open(self, port=STORE):
        await self.listener.open(self.run.ip(0, 0), port)

    async def put(self, kind, name, specification):
        async with self.changed:
            self.revision += 1
            known = self.objects.setdefault(kind, {})
            known[name] = {"metadata": {"name": name,
                                        "revision": self.revision,
                                        "created": 1, "finalizers": [],
                                        "deleting": False},
                           "specification": specification, "status": None}
            self.events.append((self.revision, kind, known[name], False))
            self.changed.notify_all()
            return known[name]

    async def delete(self, kind, name):
        async with self.changed:
            known = self.objects.get(kind, {}).pop(name, None)
            if known is not None:
                self.revision += 1
                self.events.append((self.revision, kind, known, True))
                self.changed.notify_all()

    def since(self, kind, revision):
        return [{"object": o, "deleted": d} for r, k, o, d in self.events
                if k == kind and r > revision]

    async def handle(self, method, target, fields, body, writer):
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        parts = path.split("/")
        kind, name = parts[3], parts[4] if len(parts) > 4 else None
        asked = dict(p.partition("=")[::2] for p in query.split("&") if p)
        known = self.objects.get(kind, {})
        if method in ("PUT", "POST"):
            given = json.loads(body)
            name = given["metadata"]["name"]
            revision = given["metadata"].get("revision")
            if method == "PUT" and name not in known:
                writer.write(answer(404, {}))
            elif method == "POST" and name in known or (
                    revision is not None
                    and known[name]["metadata"]["revision"] != revision):
                writer.write(answer(409, known[name]))
            else:
                writer.write(answer(200, await self.put(
                    kind, name, given["specification"])))
            return
        if name is not None:
            writer.write(answer(200, known[name]) if name in known
                         else answer(404, {}))
            return
        if "watch" not in asked:
            writer.write(answer(200, {"items": list(known.values()),
                                      "has_more": False,
                                      "current_rev": self.revision}))
            return
        revision = int(asked["watch"])
        try:
            async with self.changed:
                await asyncio.wait_for(
                    self.changed.wait_for(lambda: self.since(kind, revision)),
                    int(asked["wait_ms"]) / 1000)
        except asyncio.TimeoutError:
            pass
        writer.write(answer(200, {"events": self.since(kind, revision),
                                  "current_rev": self.revision}))


class Server:
    """A server of a service; with @engine a model server."""

    def __init__(self, run, store, service, kind, index, engine):
        self.run, self.store, self.service = run, store, service
        self.ip, self.engine = run.ip(kind, index), engine
        self.zone = "zone-a"
        self.lives, self.version, self.sequence, self.fence = 0, 1, 0, 0
        self.frozen, self.alive, self.busy = False, False, False
        self.active, self.work_s = 0, 0.4
        self.prefill_per_s, self.event_s, self.events = 92000, 0.03, 64
        self.listener = Listener(self.handle)
        self.on_run = lambda attempt, server: None
        self.on_order = lambda order, server: None

    @property
    def id(self):
        return f"i-{self.ip.replace('.', '-')}-{self.lives}"

    async def start(self):
        self.lives += 1
        self.sequence, self.fence, self.busy, self.active = 0, 0, False, 0
        self.alive = True
        await self.listener.open(self.ip, APP)
        await self.list()
        self.run.note(f"server {self.id} ({self.service}) is up")

    async def list(self, state="ready"):
        await self.store.put("servers", self.id, {
            "service": self.service, "address": f"{self.ip}:{APP}",
            "zone": self.zone, "version": "v1", "capacity": 64 if self.engine
            else 6, "state": state, "cold_left_ms": 0, "stage": "colocated",
            "models": [{"name": MODEL, "version": self.version,
                        "adapters": []}] if self.engine else [],
            "sequence": 1})

    async def crash(self, down_s):
        """The process ends; a new one starts, with a new id. The old entry
        goes after three check-ins of 1.2 s."""
        old = self.id
        self.run.note(f"server {old} crashes")
        self.alive = False
        self.listener.close()
        asyncio.get_running_loop().call_later(
            3.6, lambda: asyncio.ensure_future(
                self.store.delete("servers", old)))
        await asyncio.sleep(down_s)
        await self.start()

    async def thaw(self):
        """A machine that is suspended does nothing until it wakes."""
        while self.frozen:
            await asyncio.sleep(0.02)

    async def handle(self, method, target, fields, body, writer):
        await self.thaw()
        life = self.lives
        if target == "/api/report":
            writer.write(answer(200, {
                "stage": "colocated", "models": [
                    {"name": MODEL, "version": self.version, "adapters": []}],
                "busy": self.busy, "sequence": self.sequence, "queued": 0,
                "active": self.active, "kv_used": self.active * 6000,
                "kv_total": 242177, "sessions": 0}))
        elif target.startswith("/api/kv-events"):
            await asyncio.sleep(int(fields.get("wait-ms", 0)) / 1000)
            await self.thaw()
            writer.write(answer(200, {"boot_epoch": life, "next": 0,
                                      "lost_count": False, "events": []}))
        elif fields.get("expect-instance") not in (None, self.id):
            writer.write(answer(421, b"", f"Instance-Id: {self.id}\r\n"))
        elif target == "/api/order":
            await self.take_order(json.loads(body), writer)
        else:
            await self.serve(fields, writer, life)

    async def take_order(self, order, writer):
        self.on_order(order, self)
        if self.busy or order.get("expect", self.sequence) != self.sequence:
            writer.write(answer(409))
            return
        self.sequence += 1
        self.busy = True
        writer.write(answer(202))

        async def load():
            await asyncio.sleep(1.0)
            self.version, self.busy = order["version"], False
            await self.list()
        asyncio.ensure_future(load())

    async def serve(self, fields, writer, life):
        attempt = fields["attempt-id"]
        own = (f"Attempt-Id: {attempt}\r\nServer-Seal: s.{attempt}\r\n"
               f"Server-Load: {self.active},0,{64 if self.engine else 6}\r\n")
        if fields.get("expect-version", str(self.version)) != str(
                self.version):
            writer.write(answer(421, b"", f"Instance-Id: {self.id}\r\n"))
            return
        self.run.note(f"server {self.id} runs {attempt}")
        self.on_run(attempt, self)
        self.active += 1
        try:
            if not self.engine:
                await asyncio.sleep(self.work_s)
                writer.write(answer(200, f"done {attempt}".encode(), own))
                return
            tokens = int(fields["token-count"].partition(",")[0])
            await asyncio.sleep(0.03 + tokens / self.prefill_per_s)
            await self.thaw()
            writer.write((f"HTTP/1.1 200 X\r\n{own}Weight-Versions: "
                          f"{self.version}\r\nContent-Type: text/event-stream"
                          "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            for event in range(int(fields.get("last-event-id", 0)) + 1,
                               self.events + 1):
                line = f"id: {event}\ndata: {attempt}\n\n"
                writer.write(f"{len(line):x}\r\n{line}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(self.event_s)
                await self.thaw()
                if life != self.lives or not self.alive:
                    return
            writer.write(b"0\r\n\r\n")
        finally:
            if life == self.lives:
                self.active -= 1


class Process:
    """One of the project's programs, by the command of the deploy file."""

    def __init__(self, run, role, name, settings):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"][role]["run"].split()
        self.run, self.name = run, name
        self.path = os.path.join(run.dir, name)
        with open(self.path + ".conf", "w", encoding="ascii") as out:
            for key, value in settings.items():
                out.write(f"{key}={value}\n")
        self.process, self.started_at = None, 0.0
        run.processes.append(self)

    async def start(self):
        log = open(self.path + ".log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""),
                 "PARSLEYGW_BOOT": self.path + ".conf"})
        log.close()
        self.started_at = self.run.now()
        self.run.note(f"{self.name} starts")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)


class Fleet:
    """A small deployment: entries, sidecars, servers and the store."""

    def __init__(self, run, entries, engines, plains, limits=None):
        self.run, self.store = run, Store(run)
        self.engines = [Server(run, self.store, "engines", 1, i, True)
                        for i in range(engines)]
        self.plains = [Server(run, self.store, "records", 3, i, False)
                       for i in range(plains)]
        self.entries, self.sidecars, self.limits = [], [], limits or {}
        self.entry_count, self.version = entries, 0
        self.store_address = f"{run.ip(0, 0)}:{STORE}"

    def settings(self, name, ip, extra):
        seeds = ",".join(f"{self.run.ip(2, i)}:{CONTROL}"
                         for i in range(min(self.entry_count, 3)))
        return {"node_name": name, "bind_ip": ip, "zone": "zone-a",
                "region": "region-a", "zones.zone-a": "region-a",
                "port_range": f"{RANGE},{RANGE + 15}", "seed_nodes": seeds,
                "bootstrap": "true", "limits.memory_mb": 260,
                "limits.max_fds": 4100, "heartbeat_ms": 1200,
                "platform.address": self.store_address,
                "platform.form": "objects",
                **{f"bounds.{k}": v for k, v in BOUNDS.items()}, **extra}

    async def configure(self):
        self.version += 1
        await self.store.put("config", "main", {
            "version": self.version,
            "routes": [
                {"name": "r-review", "host": HOST, "path_prefix": "/review/",
                 "kind": "stream", "timeout_ms": 15000,
                 "target_latency_ms": 800, "priority": 1,
                 "service": "engines", "max_attempts": 2, "no_auth": False,
                 "session_affinity": True, "resumable": True,
                 "gap_target_ms": 400},
                {"name": "r-file", "host": HOST, "path_prefix": "/file/",
                 "kind": "non_idempotent", "timeout_ms": 3000,
                 "target_latency_ms": 300, "priority": 2,
                 "service": "records", "max_attempts": 1, "no_auth": False},
                {"name": "r-read", "host": HOST, "path_prefix": "/read/",
                 "kind": "idempotent", "timeout_ms": 3000,
                 "target_latency_ms": 300, "priority": 2,
                 "service": "records", "max_attempts": 2, "no_auth": False}],
            "services": [
                {"name": "engines", "health_path": "/healthz",
                 "max_connections": 360, "protocol": "h1", "tls_mode": False,
                 "engine_kind": {"capacity": 64, "kv_capacity": 242177,
                                 "kv_token_bytes": 35136,
                                 "link_mbps": 260000.0, "moves": True,
                                 "backups": True, "max_inflight": 12,
                                 "models": [{"name": MODEL}]}},
                {"name": "records", "health_path": "/healthz",
                 "max_connections": 96, "protocol": "h1",
                 "tls_mode": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       **self.limits},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1,
                         "isolated": False}]})

    async def start(self):
        await self.store.open()
        await self.configure()
        await self.store.put("versions", MODEL, {"model": MODEL, "version": 1})
        for server in self.engines + self.plains:
            await server.start()
        for i in range(self.entry_count):
            ip = self.run.ip(2, i)
            self.entries.append(Process(
                self.run, "entry", f"entry-{i}", self.settings(
                    f"entry-{i}", ip, {"listen.front": f"{ip}:{FRONT}",
                                       "listen.ready": f"{ip}:{READY}",
                                       "listen.control": f"{ip}:{CONTROL}",
                                       "machine_class": "edge"})))
        for i, engine in enumerate(self.engines):
            self.sidecars.append(Process(
                self.run, "sidecar", f"side-{i}", self.settings(
                    f"side-{i}", engine.ip, {"app": f"{engine.ip}:{APP}",
                                             "machine_class": "side"})))
        for process in self.entries + self.sidecars:
            await process.start()

    def front(self, index):
        return self.run.ip(2, index), FRONT


def request(method, path, attempt, deadline_ms, more="", body=b""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {KEY}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(case, path):
    """Runs a case and ends with its status, without waiting for stand-ins."""
    run = Run(os.path.dirname(os.path.abspath(path)))

    def stop():
        run.note("stopped from outside")
        run.close()
        os._exit(2)

    async def play():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        try:
            status = await case(run).main()
        except (OSError, RuntimeError, AssertionError) as error:
            run.note(f"could not run: {error!r}")
            status = 2
        run.note(f"status={status}")
        run.close()
        os._exit(status)

    asyncio.run(play())
