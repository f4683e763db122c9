"""An entry is partitioned from the store for some seconds. Soon after the cut
has healed a server leaves: its entry is removed. Judged are the requests that
still reach it later than the drain time, sent on by an entry in touch."""
import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins
from standins import Fleet, Run, new_id, read_body, read_head, request

STORE_WAY = 8794
CUT_S, DRAIN_S, IN_TOUCH_S = 5.5, 2.0, 3.0
# From the end of the cut to the store's ack of the removal.
LEAVES_AFTER_S = (1.0, 1.1, 1.2, 1.0, 1.1, 1.2, 1.1)
SERVES_S = 6.0
# What is under way when the bound ends is not late: time for one way.
ONE_WAY_S = 0.05
CLIENTS = 16


class Link:
    """The link between an entry and the store. While it is cut, nothing
    passes, and the packets that open connections are dropped."""

    def __init__(self, run, ip, port, behind):
        self.run, self.ip, self.port, self.behind = run, ip, port, behind
        self.socket, self.task, self.fill = None, None, []
        self.cut, self.pairs = False, set()

    async def open(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.ip, self.port))
        self.socket.listen(0)
        self.socket.setblocking(False)
        self.task = asyncio.ensure_future(self.accept())

    async def accept(self):
        while True:
            await asyncio.sleep(0.002)
            try:
                client = None if self.cut else self.socket.accept()[0]
            except BlockingIOError:
                continue
            if client is not None:
                client.setblocking(False)
                asyncio.ensure_future(self.pair(client))

    async def pair(self, client):
        try:
            server = await asyncio.open_connection(*self.behind)
            near = await asyncio.open_connection(sock=client)
        except OSError:
            client.close()
            return
        self.pairs.add(near[1])
        await asyncio.gather(self.pump(near[0], server[1]),
                             self.pump(server[0], near[1]))
        self.pairs.discard(near[1])

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if not self.cut:
                    writer.write(data)
        except OSError:
            pass
        writer.close()

    async def begin(self):
        """Fills the queue of new connections, so that more are dropped."""
        self.cut = True
        await asyncio.sleep(0.05)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.ip, self.port))
            self.fill.append(filler)
        # The keep-alive probes of the machine end its connections.
        await asyncio.sleep(2.5)
        for writer in list(self.pairs):
            writer.transport.abort()

    def end(self):
        for filler in self.fill:
            filler.close()
        self.fill = []
        self.cut = False


class Case:
    def __init__(self, run):
        self.run, self.fleet = run, Fleet(run, 2, 2, 3)
        self.sent, self.late, self.served, self.stopping = {}, [], 0, False
        self.left, self.healed = {}, 0.0
        for server in self.fleet.plains:
            server.work_s = 0.06
            server.on_run = self.arrived

    def arrived(self, attempt, server):
        left = self.left.get(server.id)
        if left is None:
            return
        now = self.run.now()
        sent = self.sent.get(attempt, 0)
        bound = max(left + DRAIN_S, self.healed + IN_TOUCH_S)
        if sent > bound + ONE_WAY_S:
            self.late.append(attempt)
            self.run.note(f"LATE {attempt} reaches {server.id} "
                          f"{now - left:.3f} s after the ack of its removal, "
                          f"{now - self.healed:.3f} s after the cut; sent "
                          f"{sent - left:.3f} s after the ack")

    async def client(self):
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection(
                    *self.fleet.front(0))
                while not self.stopping:
                    attempt = new_id()
                    self.sent[attempt] = self.run.now()
                    writer.write(request("GET", "/read/a", attempt, 3000))
                    start, fields = await asyncio.wait_for(
                        read_head(reader), 4)
                    await read_body(reader, fields)
                    self.served += start[1] == "200"
                    self.run.note(f"client read {attempt} status={start[1]}")
                    await asyncio.sleep(0.05)
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError):
                await asyncio.sleep(0.05)

    async def leave(self, server):
        """It never reports that it drains; it serves on for some seconds."""
        old = server.id
        await self.fleet.store.delete("servers", old)
        self.left[old] = self.run.now()
        self.run.note(f"store acks the removal of {old}")
        await asyncio.sleep(SERVES_S)
        server.listener.close()
        self.run.note(f"server {old} ends")
        await server.start()

    async def main(self):
        run, fleet = self.run, self.fleet
        link = Link(run, run.ip(0, 0), STORE_WAY,
                    (run.ip(0, 0), standins.STORE))
        await link.open()
        settings = fleet.settings

        def settings_of(name, ip, extra):
            if name == "entry-0":
                extra = {**extra, "platform.address":
                         f"{run.ip(0, 0)}:{STORE_WAY}"}
            return settings(name, ip, extra)
        fleet.settings = settings_of
        await fleet.start()
        await asyncio.sleep(IN_TOUCH_S)
        clients = [asyncio.ensure_future(self.client())
                   for _ in range(CLIENTS)]
        await asyncio.sleep(1)
        if self.served < CLIENTS:
            run.note(f"only {self.served} requests were served")
            return 2
        for number, after_s in enumerate(LEAVES_AFTER_S):
            if run.trouble:
                run.note("entry-0 is cut off from the store")
                cutting = asyncio.ensure_future(link.begin())
                await asyncio.sleep(CUT_S)
                await cutting
                link.end()
                self.healed = run.now()
                run.note("the cut has healed")
            else:
                await asyncio.sleep(CUT_S)
            await asyncio.sleep(after_s)
            await self.leave(fleet.plains[number % len(fleet.plains)])
        self.stopping = True
        await asyncio.sleep(0.3)
        for client in clients:
            client.cancel()
        run.note(f"served={self.served} late={len(self.late)}")
        print(f"served={self.served} late={len(self.late)}")
        return 1 if self.late else 0


standins.main(Case, __file__)
