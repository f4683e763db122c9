"""After all machines have lost power while two software versions serve, streams
that clients take up again are refused, though their version is there."""
import asyncio
import os
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-2"))
from standins import (CANNOT_RUN, FRONT, STORE_PORT, EngineServer, Entry,
                      Sidecar, Store, free_net, now, read_body, read_head)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = os.path.dirname(os.path.abspath(__file__))
# Of the sheet, for `credit-file-review`: time limit, aim, longest pause between
# events of an answer that is on time, tokens out.
LIMIT_S, AIM_MS, PAUSE_MS, EVENTS = 15.0, 800, 400, 64
FIRST_S, PAUSE_S = 0.3, 0.1
STREAMS = 16
# After the streams began: when the power goes. After that: when it is back,
# when clients whose stream broke try again, and when others begin new streams.
CUT_S, DARK_S = 2.0, 1.0
TRIES_S, NEW_S = (0.5, 2.0, 4.6, 6.5), 4.6
CONTACT_S = 3.0
GAP_S = max(2.0, 4 * AIM_MS / 1000, 8 * PAUSE_MS / 1000)


def configuration():
    return {"version": 7,
            "routes": [{"name": "r-1", "host": "h.example",
                        "path_prefix": "/review/", "kind": "stream",
                        "timeout_ms": int(LIMIT_S * 1000),
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
            "tenants": [{"name": "bureaus", "api_keys": ["k1"],
                         "priority": 1, "isolated": False}]}


class VersionedEngine(EngineServer):
    """An engine of one software version."""

    def __init__(self, number, address, software):
        super().__init__(number, "engines", address)
        self.software = software
        self.first_s, self.pause_s = FIRST_S, PAUSE_S
        self.event_count = EVENTS

    def entry(self):
        return {**super().entry(), "version": self.software}


class Deployment:
    """A store, two engines of each of two versions, sidecars, one entry."""

    def __init__(self):
        self.net, self.held = free_net()
        directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.engines = [VersionedEngine(i, f"127.{self.net}.1.{i}",
                                        "v1" if i <= 2 else "v2")
                        for i in (1, 2, 3, 4)]
        self.sidecars = [Sidecar(self.net, directory, engine)
                         for engine in self.engines]
        self.entry = Entry(self.net, directory, {
            "limits.memory_mb": 260, "limits.max_fds": 4100,
            "bounds.contact_ms": 3000, "bounds.config_ms": 2000,
            "bounds.drain_ms": 2000, "bounds.grace_s": 8,
            "bounds.version_ms": 8000, "bounds.lease_ms": 3000})

    async def open(self):
        await self.store.server.open(f"127.{self.net}.0.1", STORE_PORT)
        self.store.put("config", "main", configuration())
        self.store.put("versions", EngineServer.MODEL,
                       {"model": EngineServer.MODEL, "version": 1})
        for engine in self.engines[:2]:
            await engine.open()
            self.store.put("servers", engine.id, engine.entry())
        for sidecar in self.sidecars[:2]:
            sidecar.start()
        self.entry.start()
        await asyncio.sleep(4)
        # The release: engines of the other version join.
        for engine in self.engines[2:]:
            await engine.open()
            self.store.put("servers", engine.id, engine.entry())
        for sidecar in self.sidecars[2:]:
            sidecar.start()
        await asyncio.sleep(10)

    def close(self):
        for process in [*self.sidecars, self.entry]:
            process.kill()

    async def lose_power(self):
        processes = [*self.sidecars, self.entry]
        for process in processes:
            process.process.send_signal(signal.SIGKILL)
        for process in processes:
            process.process.wait()
        await asyncio.sleep(DARK_S)
        for process in processes:
            process.start()

    def began_at(self, attempt):
        """The version that ran an attempt."""
        return {engine.software for engine in self.engines
                if attempt in engine.runs}


class Stream:
    """A client's stream, and what it gets at each try."""

    def __init__(self, deployment, number):
        self.deployment, self.number = deployment, number
        self.first, self.last_event = f"{number:x}", 0
        self.writer, self.tries = None, []

    async def ask(self, attempt, tail=""):
        """One try; returns its status and how it ended."""
        status, outcome = "-", "refused connection"
        try:
            reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.deployment.entry.address, FRONT),
                1)
            self.writer.write((
                f"POST /review/x HTTP/1.1\r\nHost: h.example\r\n"
                f"Attempt-Id: {attempt}\r\nDeadline-Ms: "
                f"{int(LIMIT_S * 1000)}\r\nAuthorization: Bearer k1\r\n"
                f"Model: {EngineServer.MODEL}\r\nToken-Count: 11992,{EVENTS}"
                f"\r\nPrompt-Prefix: 5c1e07a2:5382,{self.first}:6610\r\n{tail}"
                f"Content-Length: 2\r\n\r\n{{}}").encode())
            outcome = "closed"
            start, fields = await asyncio.wait_for(read_head(reader), GAP_S)
            status = start[1]
            if fields.get("transfer-encoding") == "chunked":
                outcome = await self.read_events(reader)
            else:
                await read_body(reader, fields)
                outcome = "answered"
                retry_after = fields.get("retry-after", "-")
                outcome += f" retry-after={retry_after}"
        except asyncio.TimeoutError:
            outcome = "abandoned"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        if self.writer is not None:
            self.writer.close()
        return status, outcome

    async def read_events(self, reader):
        while True:
            line = await asyncio.wait_for(reader.readline(), GAP_S)
            if not line:
                return "broken"
            size = int(line, 16)
            chunk = await reader.readexactly(size + 2)
            if chunk.startswith(b"id: "):
                self.last_event = int(chunk[4:].split(b"\n")[0])
            if size == 0:
                return "whole"

    async def begin(self):
        self.tries.append((now(), self.first,
                           *await self.ask(self.first)))

    async def take_up(self, cut_at):
        """Tries a few times to take the stream up where it broke."""
        for number, after_s in enumerate(TRIES_S):
            await asyncio.sleep(max(0.0, cut_at + after_s - now()))
            attempt = f"{0x10000 * (number + 1) + self.number:x}"
            sent_at = now()
            result = await self.ask(
                attempt, f"Resumes: {self.first}\r\n"
                f"Last-Event-Id: {self.last_event}\r\n")
            self.tries.append((sent_at, attempt, *result))
            if result[0] == "200":
                return


async def play(deployment):
    streams = [Stream(deployment, 0x1000 + i) for i in range(STREAMS)]
    running = [asyncio.ensure_future(s.begin()) for s in streams]
    await asyncio.sleep(CUT_S)
    cut_at = now()
    if TROUBLE:
        power = asyncio.ensure_future(deployment.lose_power())
    else:
        for stream in streams:
            stream.writer.transport.abort()
        power = asyncio.sleep(0)
    await asyncio.gather(*running)
    again = [asyncio.ensure_future(s.take_up(cut_at)) for s in streams]
    await power
    touch_at = (now() if TROUBLE else cut_at) + (CONTACT_S if TROUBLE else 0)
    await asyncio.sleep(max(0.0, cut_at + NEW_S - now()))
    fresh = [Stream(deployment, 0x2000 + i) for i in range(STREAMS)]
    await asyncio.gather(*[s.begin() for s in fresh])
    await asyncio.gather(*again)
    return streams, fresh, cut_at, touch_at


def write_record(deployment, streams, cut_at, touch_at):
    with open(f"{HERE}/record.txt", "w", encoding="ascii") as record:
        record.write(f"trouble {int(TROUBLE)} in touch from "
                     f"{touch_at - cut_at:.2f}\n")
        for stream in streams:
            for sent_at, attempt, status, outcome in stream.tries:
                ran = "".join(deployment.began_at(attempt)) or "-"
                record.write(f"{stream.first} try={attempt} "
                             f"sent={sent_at - cut_at:.2f} ran={ran} "
                             f"status={status} outcome={outcome}\n")


async def main():
    deployment = Deployment()
    try:
        await deployment.open()
        streams, fresh, cut_at, touch_at = await play(deployment)
    finally:
        deployment.close()
    write_record(deployment, streams + fresh, cut_at, touch_at)
    if any(s.tries[0][2] != "200" or s.last_event == 0 for s in streams):
        return CANNOT_RUN
    late = [[t for t in s.tries[1:] if t[0] > touch_at] for s in streams]
    asked = [tries for tries in late if tries]
    went_on = sum(tries[-1][2] == "200" for tries in asked)
    begun = sum(s.tries[0][2] == "200" for s in fresh)
    print(f"at machines in touch {went_on} of {len(asked)} streams that were "
          f"taken up again went on, and {begun} of {STREAMS} new ones began")
    return 1 if len(asked) >= 12 and (
        went_on / len(asked) < 0.5 * begun / STREAMS) else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, KeyError, asyncio.TimeoutError,
            asyncio.IncompleteReadError) as error:
        print(f"cannot run: {error!r}")
        sys.exit(CANNOT_RUN)
