"""An entry that stops begins streams late, by how long earlier ones took, and
cuts those that take longer."""
import asyncio
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-2"))
from standins import (CANNOT_RUN, FRONT, READY, STORE_PORT, EngineServer,
                      Entry, Sidecar, Store, free_net, now, read_body,
                      read_head)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
GRACE_S = 8.0
# Of the sheet, for `menu-audit`: time limit, aim, longest pause between events
# of an answer that is on time, tokens out.
LIMIT_MS, AIM_MS, PAUSE_MS, EVENTS = 10000, 800, 200, 30
# A calm engine's answer, and one of a busy engine that is on time.
CALM_FIRST_S, CALM_PAUSE_S = 0.35, 0.006
BUSY_FIRST_S, BUSY_PAUSE_S = 0.7, 0.19
ENGINES, EARLIER, CLIENTS = 2, 20, 6
# When the clients connect, as long as the platform hands them to the entry, and
# when they send, both after SIGTERM. The rule excuses what is sent up to 3 s
# after it and cut in the last sixth of the grace period.
CONNECT_S, SEND_S = 0.7, 3.2
# Clients abandon a stream after a gap of two seconds, four times the aim or
# eight times the pause, whichever is longest.
GAP_S = max(2.0, 4 * AIM_MS / 1000, 8 * PAUSE_MS / 1000)


def configuration():
    return {"version": 7,
            "routes": [{"name": "r-1", "host": "h.example",
                        "path_prefix": "/audit/", "kind": "stream",
                        "timeout_ms": LIMIT_MS,
                        "target_latency_ms": AIM_MS, "priority": 1,
                        "service": "engines", "max_attempts": 2,
                        "no_auth": False, "session_affinity": True,
                        "resumable": True, "gap_target_ms": PAUSE_MS}],
            "services": [{"name": "engines", "health_path": "/healthz",
                          "max_connections": 370, "protocol": "h1",
                          "tls_mode": False,
                          "engine_kind": {
                              "capacity": 64, "kv_capacity": 151921,
                              "kv_token_bytes": 163840,
                              "link_mbps": 550000.0, "moves": True,
                              "backups": True, "stride": 4,
                              "max_inflight": 12, "pin_ms": 4000.0,
                              "hold_ms": 2000.0, "handle_s": 5.0,
                              "models": [{"name": EngineServer.MODEL}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "kitchens", "api_keys": ["k1"],
                         "priority": 1, "isolated": False}]}


class Deployment:
    """A store, engines with their sidecars, and one entry."""

    def __init__(self):
        self.net, self.held = free_net()
        directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.engines = [EngineServer(i, "engines", f"127.{self.net}.1.{i}")
                        for i in range(1, ENGINES + 1)]
        self.set_pace(CALM_FIRST_S, CALM_PAUSE_S)
        self.sidecars = [Sidecar(self.net, directory, engine)
                         for engine in self.engines]
        self.entry = Entry(self.net, directory, {
            "limits.memory_mb": 110, "limits.max_fds": 4100,
            "bounds.contact_ms": 3000, "bounds.config_ms": 2000,
            "bounds.drain_ms": 2000, "bounds.grace_s": int(GRACE_S),
            "bounds.version_ms": 8000, "bounds.lease_ms": 3000})

    def set_pace(self, first_s, pause_s):
        for engine in self.engines:
            engine.first_s, engine.pause_s = first_s, pause_s
            engine.event_count = EVENTS

    async def open(self):
        await self.store.server.open(f"127.{self.net}.0.1", STORE_PORT)
        self.store.put("config", "main", configuration())
        self.store.put("versions", EngineServer.MODEL,
                       {"model": EngineServer.MODEL, "version": 1})
        for engine in self.engines:
            await engine.open()
            self.store.put("servers", engine.id, engine.entry())
        for sidecar in self.sidecars:
            sidecar.start()
        self.entry.start()
        await asyncio.sleep(3)

    def close(self):
        for process in [*self.sidecars, self.entry]:
            process.kill()

    def ran(self, attempt):
        return sum(engine.runs.get(attempt, 0) for engine in self.engines)


class Platform:
    """Asks the entry once a second whether it is ready, and hands it no new
    connection after two misses."""

    def __init__(self, address):
        self.address, self.misses = address, 0

    async def ask(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, READY), 1)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
            start, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return start[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def run(self):
        while True:
            self.misses = 0 if await self.ask() else self.misses + 1
            await asyncio.sleep(1)


class Client:
    """One stream on a connection of its own."""

    def __init__(self, deployment, attempt):
        self.deployment, self.attempt = deployment, attempt
        self.sent_at = self.ended_at = 0.0
        self.status, self.events, self.outcome = "-", 0, "not sent"

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.deployment.entry.address, FRONT), 1)

    async def send(self):
        self.sent_at = now()
        self.writer.write((
            f"POST /audit/x HTTP/1.1\r\nHost: h.example\r\n"
            f"Attempt-Id: {self.attempt}\r\nDeadline-Ms: {LIMIT_MS}\r\n"
            f"Authorization: Bearer k1\r\nModel: {EngineServer.MODEL}\r\n"
            f"Token-Count: 17020,{EVENTS}\r\n"
            f"Prompt-Prefix: 5c1e07a2:13300,{self.attempt}:3720\r\n"
            f"Content-Length: 2\r\n\r\n{{}}").encode())
        try:
            start, fields = await asyncio.wait_for(read_head(self.reader),
                                                   GAP_S)
            self.status = start[1]
            if fields.get("transfer-encoding") == "chunked":
                self.outcome = await self.read_events()
            else:
                await read_body(self.reader, fields)
                self.outcome = "answered"
        except asyncio.TimeoutError:
            self.outcome = "abandoned"
        except (OSError, asyncio.IncompleteReadError):
            self.outcome = "closed without an answer"
        self.ended_at = now()
        self.writer.close()

    async def read_events(self):
        while True:
            line = await asyncio.wait_for(self.reader.readline(), GAP_S)
            if not line:
                return "closed without the end of the stream"
            size = int(line, 16)
            chunk = await self.reader.readexactly(size + 2)
            self.events += chunk.count(b"id: ")
            if size == 0:
                return "answered"

    def is_lost(self, stopped_at):
        """Cut between SIGTERM and a second after the grace period, before its
        time limit, though it was sent later than 3 s after SIGTERM."""
        return (self.outcome.startswith("closed without")
                and self.deployment.ran(self.attempt) > 0
                and self.sent_at > stopped_at + 3
                and self.ended_at < stopped_at + GRACE_S + 1
                and self.ended_at < self.sent_at + LIMIT_MS / 1000)


async def stop_after_grace(entry, stopped_at):
    """The platform's SIGKILL after the grace period."""
    while entry.process.poll() is None and now() < stopped_at + GRACE_S:
        await asyncio.sleep(0.05)
    entry.kill()


async def play(deployment):
    platform = Platform(deployment.entry.address)
    asking = asyncio.ensure_future(platform.run())
    earlier = [Client(deployment, f"{0x1000 + i:x}") for i in range(EARLIER)]
    for client in earlier:
        await client.connect()
        await client.send()
    stopped_at = now()
    if TROUBLE:
        deployment.entry.process.send_signal(signal.SIGTERM)
    late = [Client(deployment, f"{0x2000 + i:x}") for i in range(CLIENTS)]
    await asyncio.sleep(stopped_at + CONNECT_S - now())
    handed_over = platform.misses < 2
    for client in late:
        await client.connect()
    deployment.set_pace(BUSY_FIRST_S, BUSY_PAUSE_S)
    await asyncio.sleep(stopped_at + SEND_S - now())
    sending = asyncio.gather(*[client.send() for client in late])
    if TROUBLE:
        await stop_after_grace(deployment.entry, stopped_at)
    await sending
    asking.cancel()
    return earlier, late, stopped_at, handed_over


def write_record(deployment, clients, stopped_at):
    with open(f"{HERE}/record.txt", "w", encoding="ascii") as record:
        record.write(f"trouble {int(TROUBLE)}\n")
        for client in clients:
            record.write(
                f"{client.attempt} sent={client.sent_at - stopped_at:.2f} "
                f"ended={client.ended_at - stopped_at:.2f} "
                f"runs={deployment.ran(client.attempt)} "
                f"status={client.status} events={client.events} "
                f"outcome={client.outcome}"
                f"{' LOST' if client.is_lost(stopped_at) else ''}\n")


async def main():
    deployment = Deployment()
    try:
        await deployment.open()
        earlier, late, stopped_at, handed_over = await play(deployment)
    finally:
        deployment.close()
    write_record(deployment, earlier + late, stopped_at)
    if not handed_over or any(c.events < EVENTS for c in earlier):
        return CANNOT_RUN
    lost = sum(client.is_lost(stopped_at) for client in late) if TROUBLE else \
        sum(client.outcome != "answered" for client in late)
    print(f"{lost} of {CLIENTS} streams that were passed on were cut by the "
          "stop, without an excuse")
    return 1 if lost > 0 else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, KeyError, asyncio.TimeoutError,
            asyncio.IncompleteReadError) as error:
        print(f"cannot run: {error!r}")
        sys.exit(CANNOT_RUN)
