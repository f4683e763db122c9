"""One machine is suspended and three servers crash, while long streams that
share a part of their prompt are under way. Judged are the requests of clients
with kept connections for another service, whose servers are sound."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins
from standins import Fleet, Run, new_id, read_body, read_head, request

ENGINES, PLAINS, ENTRIES = 10, 3, 2
FILERS, STREAMS = 12, 40
IN_TOUCH_S = 3.0
# A rule is broken by more than so many requests.
LOST_MAX = 3


class Case:
    def __init__(self, run):
        self.run = run
        self.fleet = Fleet(run, ENTRIES, ENGINES, PLAINS)
        self.reached, self.lost, self.served, self.other = {}, [], 0, {}
        self.stopping = False
        for server in self.fleet.plains:
            server.on_run = lambda attempt, s: self.reached.setdefault(
                attempt, s.id)

    async def filer(self):
        """Files records over one connection, one after the other."""
        run, reader, writer, used = self.run, None, None, 0
        while not self.stopping:
            if writer is None:
                try:
                    reader, writer = await asyncio.open_connection(
                        *self.fleet.front(0))
                    used = 0
                except OSError:
                    await asyncio.sleep(0.1)
                    continue
            attempt, sent = new_id(), run.now()
            try:
                writer.write(request("POST", "/file/a", attempt, 3000, "",
                                     b"record"))
                start, fields = await asyncio.wait_for(read_head(reader), 4)
                await read_body(reader, fields)
                status = int(start[1])
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError) as error:
                status = type(error).__name__
            run.note(f"client file {attempt} sent={sent:.3f} kept={used > 0} "
                     f"status={status} "
                     f"server={self.reached.get(attempt, '-')}")
            if status == 200:
                self.served += 1
                used += 1
                continue
            if isinstance(status, str):
                # Passed on to a server, whose process lives and works on it.
                if used > 0 and attempt in self.reached and not self.stopping:
                    self.lost.append(attempt)
                writer = None
            self.other[status] = self.other.get(status, 0) + 1

    async def stream(self, number, tokens):
        attempt, run = new_id(), self.run
        own = new_id()
        more = (f"Model: {standins.MODEL}\r\nToken-Count: {tokens},64\r\n"
                f"Prompt-Prefix: 5c1e07a2:512,{number % 20:x}f:1500,"
                f"{own}:{tokens - 2012}\r\n")
        status, events = "-", 0
        try:
            reader, writer = await asyncio.open_connection(
                *self.fleet.front(0))
            writer.write(request("POST", "/review/a", attempt, 15000, more,
                                 attempt.encode()))
            start, fields = await asyncio.wait_for(read_head(reader), 15)
            status = int(start[1])
            body = await asyncio.wait_for(read_body(reader, fields), 15)
            events = body.count(b"id: ")
            writer.close()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.TimeoutError) as error:
            status = f"{status} {type(error).__name__}"
        run.note(f"client stream {attempt} tokens={tokens} status={status} "
                 f"events={events}")

    async def suspend(self, index, for_s):
        """The machine of an engine is suspended, with its sidecar."""
        import signal
        engine, sidecar = self.fleet.engines[index], self.fleet.sidecars[index]
        self.run.note(f"machine of {engine.id} is suspended")
        engine.frozen = True
        sidecar.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        sidecar.signal(signal.SIGCONT)
        engine.frozen = False
        self.run.note(f"machine of {engine.id} wakes")

    async def trouble(self):
        tasks = [asyncio.ensure_future(self.suspend(0, 4.0))]
        for index, pause in ((1, 0.35), (2, 0.15), (3, 0.15)):
            await asyncio.sleep(pause)
            tasks.append(asyncio.ensure_future(
                self.fleet.engines[index].crash(1.0)))
        await asyncio.gather(*tasks)

    async def main(self):
        run, fleet = self.run, self.fleet
        await fleet.start()
        # The entries are in touch, and clients have used their connections.
        await asyncio.sleep(IN_TOUCH_S + 1.0)
        filers = [asyncio.ensure_future(self.filer()) for _ in range(FILERS)]
        await asyncio.sleep(1.5)
        if self.served < FILERS:
            run.note(f"only {self.served} requests were served")
            return 2
        entry = fleet.entries[0].process
        for wave in range(3):
            streams = []
            trouble = None
            if run.trouble:
                trouble = asyncio.ensure_future(self.trouble())
            await asyncio.sleep(0.05)
            for number in range(STREAMS):
                streams.append(asyncio.ensure_future(self.stream(
                    number, 2800 + 50 * (number % 20))))
                await asyncio.sleep(0.005)
            await asyncio.gather(*streams)
            if trouble is not None:
                await trouble
            await asyncio.sleep(1.0)
            if entry.returncode is not None:
                run.note(f"entry-0 ended by itself: {entry.returncode}")
                break
            await asyncio.sleep(8.0)
        self.stopping = True
        await asyncio.sleep(1.0)
        for filer in filers:
            filer.cancel()
        run.note(f"served={self.served} lost={len(self.lost)} "
                 f"others={self.other} entry={entry.returncode}")
        print(f"served={self.served} lost={len(self.lost)} "
              f"others={self.other} entry={entry.returncode}")
        return 1 if len(self.lost) > LOST_MAX else 0


standins.main(Case, __file__)
