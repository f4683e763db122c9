"""A tenant becomes isolated; others go on with what its requests have cached."""
import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-2"))
from standins import (CANNOT_RUN, FRONT, STORE_PORT, EngineServer,
                      Entry, Sidecar, Store, free_net, now, read_body,
                      read_head)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
# A configuration is in force at all machines so long after its ack; the script
# waits for a second more.
CONFIG_S = 2.0
ENGINES, LIMIT_MS = 3, 6000
# The shared parts of `route-counsel` prompts, and the part of a request.
SHARED, OWN_TOKENS = ("5c1e07a2:8000", "91bd3f06:5300"), 3720
REQUESTS = 12


def configuration(version, isolated):
    return {"version": version,
            "routes": [{"name": "r-1", "host": "h.example",
                        "path_prefix": "/counsel/", "kind": "stream",
                        "timeout_ms": LIMIT_MS, "target_latency_ms": 600,
                        "priority": 1, "service": "engines",
                        "max_attempts": 2, "no_auth": False,
                        "session_affinity": True, "resumable": True,
                        "gap_target_ms": 250}],
            "services": [{"name": "engines", "health_path": "/healthz",
                          "max_connections": 160, "protocol": "h1",
                          "tls_mode": False,
                          "engine_kind": {
                              "capacity": 12, "kv_capacity": 143654,
                              "kv_token_bytes": 163840,
                              "link_mbps": 1100000.0, "moves": True,
                              "backups": True, "stride": 8,
                              "max_inflight": 12, "pin_ms": 4000.0,
                              "hold_ms": 2000.0, "handle_s": 5.0,
                              "models": [{"name": EngineServer.MODEL}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "skalholt", "api_keys": ["key-s"],
                         "priority": 1, "isolated": isolated},
                        {"name": "hella", "api_keys": ["key-h"],
                         "priority": 1, "isolated": False}]}


class Deployment:
    """A store, engines with their sidecars, and one entry."""

    def __init__(self):
        self.net, self.held = free_net()
        directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.engines = [EngineServer(i, "engines", f"127.{self.net}.1.{i}")
                        for i in range(1, ENGINES + 1)]
        self.sidecars = [Sidecar(self.net, directory, engine)
                         for engine in self.engines]
        self.entry = Entry(self.net, directory, {
            "limits.memory_mb": 260, "limits.max_fds": 4100,
            "bounds.contact_ms": 3000, "bounds.config_ms": 2000,
            "bounds.drain_ms": 2000, "bounds.grace_s": 8,
            "bounds.version_ms": 6000, "bounds.lease_ms": 3000})
        self.sent = []

    async def open(self):
        await self.store.server.open(f"127.{self.net}.0.1", STORE_PORT)
        self.store.put("config", "main", configuration(7, False))
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

    async def ask(self, key, attempt):
        """One prompt with the shared parts and a part of its own."""
        parts = ",".join([*SHARED, f"{attempt}:{OWN_TOKENS}"])
        body = b"{}"
        reader, writer = await asyncio.open_connection(self.entry.address,
                                                       FRONT)
        writer.write((f"POST /counsel/x HTTP/1.1\r\nHost: h.example\r\n"
                      f"Attempt-Id: {attempt}\r\nDeadline-Ms: {LIMIT_MS}\r\n"
                      f"Authorization: Bearer {key}\r\n"
                      f"Model: {EngineServer.MODEL}\r\n"
                      f"Token-Count: {13300 + OWN_TOKENS},15\r\n"
                      f"Prompt-Prefix: {parts}\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        start, fields = await asyncio.wait_for(read_head(reader),
                                               LIMIT_MS / 1000)
        await read_body(reader, fields)
        writer.close()
        self.sent.append((now(), attempt, key, start[1]))

    async def ask_often(self, key, first):
        for i in range(REQUESTS):
            await self.ask(key, f"{first + i:016x}")


def foreign_uses(engines, isolated, after):
    """Uses of parts that another tenant's request made, where one of the two
    tenants is isolated, by requests that were sent later than @after."""
    return [use for engine in engines for use in engine.uses
            if use[0] in after and use[2] != use[3]
            and (use[2] in isolated or use[3] in isolated)]


def write_record(deployment, acked_at, foreign):
    with open(f"{HERE}/record.txt", "w", encoding="ascii") as record:
        record.write(f"trouble {int(TROUBLE)}\n")
        for at, attempt, key, status in deployment.sent:
            record.write(f"{at - acked_at:7.3f} s after the ack: {attempt} "
                         f"key={key} status={status}\n")
        for engine in deployment.engines:
            for attempt, part, tenant, maker in engine.uses:
                use = (attempt, part, tenant, maker)
                record.write(f"{engine.id} {attempt} of {tenant} uses part "
                             f"{part} that {maker} made"
                             f"{' FOREIGN' if use in foreign else ''}\n")


async def main():
    deployment = Deployment()
    try:
        await deployment.open()
        await deployment.ask_often("key-s", 0x1000)
        deployment.store.put("config", "main", configuration(9, TROUBLE))
        acked_at = now()
        await asyncio.sleep(CONFIG_S + 1)
        known = len(deployment.sent)
        await deployment.ask_often("key-h", 0x2000)
        await deployment.ask_often("key-s", 0x3000)
    finally:
        deployment.close()
    after = {attempt for _, attempt, _, _ in deployment.sent[known:]}
    foreign = foreign_uses(deployment.engines,
                           {"skalholt"} if TROUBLE else set(), after)
    write_record(deployment, acked_at, foreign)
    answered = sum(status == "200" for _, _, _, status in deployment.sent)
    print(f"{answered} of {len(deployment.sent)} answered; "
          f"{len({use[0] for use in foreign})} requests used parts that "
          "another tenant's request made, one of the two being isolated")
    if answered < len(deployment.sent):
        return CANNOT_RUN
    return 1 if foreign else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, KeyError, asyncio.TimeoutError,
            asyncio.IncompleteReadError) as error:
        print(f"cannot run: {error!r}")
        sys.exit(CANNOT_RUN)
