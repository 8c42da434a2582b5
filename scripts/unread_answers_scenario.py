"""Callers that do not read their answers, and callers that keep connections.

The gateway's process stays within its memory, whoever reads gets whole answers
meanwhile, and what the others did not read leaves nothing behind."""

import asyncio
import random
import socket

from endless_answers_scenario import MEMORY_KB, peak_memory_kb
from platform_fleet import HOST, KEY, PlatformFleet, call

ANSWER_BYTES = 900_000          # below the limit of the fleet's configuration
EVENT_BYTES = 60_000            # eight events, each below the limit on one
SILENT_CALLERS = 500
KEPT_CONNECTIONS = 300
READERS = 4                     # read at once what they get
SLOW_READERS = 2                # take a second for an answer
SHORT_CALLS = 80
PAUSE_S = 0.05                  # between short calls
SILENT_S = 5.0
NO_ANSWER = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError)
# What the drawn callers that do not read ask for.
LONG_ANSWERS = {"whole answers": [f"/safe/x?bytes={ANSWER_BYTES}"],
                "streams": [f"/stream/x?bytes={EVENT_BYTES}"],
                "both": [f"/safe/x?bytes={ANSWER_BYTES}",
                         f"/stream/x?bytes={EVENT_BYTES}"]}


def request_text(path, attempt):
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Api-Key: {KEY}",
             f"Attempt-Id: {attempt}", "Deadline-Ms: 9000",
             "Content-Length: 1"]
    if "stream" in path:
        lines += ["Token-Usage: 1000,100",
                  f"Prompt-Prefix: aa01:40,{attempt}:100"]
    return ("\r\n".join(lines) + "\r\n\r\nb").encode()


class Play:
    """One gateway and its callers."""

    def __init__(self, fleet, draw):
        self.fleet = fleet
        self.draw = draw
        self.gateway = fleet.gateways[0]
        self.found = []
        self.peak = 0
        self.served = 0
        self.unread = 0
        self.done = False

    def new_id(self):
        return "%016x" % self.draw.getrandbits(64)

    async def watch_memory(self):
        while not self.done and self.gateway.child.poll() is None:
            self.peak = max(self.peak, peak_memory_kb(self.gateway))
            await asyncio.sleep(0.05)

    async def silent_caller(self, path):
        """Asks until it is no longer refused, and reads no answer."""
        end = asyncio.get_running_loop().time() + SILENT_S
        while asyncio.get_running_loop().time() < end:
            if await self.ask_and_read_nothing(path, end):
                return
            await asyncio.sleep(self.draw.uniform(0.1, 0.4))

    async def ask_and_read_nothing(self, path, until):
        """False if the request was refused."""
        host, port = self.gateway.addresses["front"].split(":")
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            # Nothing of the answer waits in the system's buffers for long.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.setblocking(False)
            try:
                await loop.sock_connect(connection, (host, int(port)))
                await loop.sock_sendall(connection,
                                        request_text(path, self.new_id()))
                status = await loop.sock_recv(connection, 12)
                if not status.endswith(b"200"):
                    return False
                self.unread += 1
                await asyncio.sleep(until - loop.time())
            except OSError:
                pass
        return True

    async def ask(self, path, limit):
        headers = {"Attempt-Id": self.new_id(), "Api-Key": KEY,
                   "Deadline-Ms": int(limit * 1000)}
        return await call(self.gateway.addresses["front"], "POST", path,
                          headers, "b", limit=limit)

    async def short_calls(self):
        lost = 0
        refused = 0
        for _ in range(SHORT_CALLS):
            try:
                reply = await self.ask("/safe/short", 4)
                refused += "memory" in reply.body
            except NO_ANSWER:
                lost += 1
            await asyncio.sleep(PAUSE_S)
        if lost:
            self.found.append(f"{lost} of {SHORT_CALLS} short calls have no "
                              "answer")
        if refused:
            self.found.append(f"{refused} short calls found no memory")

    async def reader(self):
        """Asks for long answers, one after the other, and reads them."""
        while not self.done:
            try:
                reply = await self.ask(f"/safe/x?bytes={ANSWER_BYTES}", 4)
                whole = len(reply.body) > ANSWER_BYTES
                if reply.status == 200 and not whole:
                    self.found.append("a reader got a part as a whole")
                self.served += reply.status == 200 and whole
                if reply.status not in (200, 503):
                    self.found.append(f"a reader got {reply.status}: "
                                      f"{reply.body.strip()}")
            except NO_ANSWER:
                self.found.append("LOST: a reader's answer broke off")
            await asyncio.sleep(0.1)

    async def slow_reader(self):
        """Takes about a second for an answer, without a long pause."""
        host, port = self.gateway.addresses["front"].split(":")
        while not self.done:
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=65536)
            got = 0
            try:
                writer.write(request_text(f"/safe/x?bytes={ANSWER_BYTES}",
                                          self.new_id()))
                head = await asyncio.wait_for(
                    reader.readuntil(b"\r\n\r\n"), 4)
                while got < ANSWER_BYTES and b" 200 " in head:
                    part = await asyncio.wait_for(reader.read(60_000), 4)
                    if not part:
                        self.found.append("LOST: a slow reader's answer broke "
                                          "off")
                        break
                    got += len(part)
                    await asyncio.sleep(0.06)
                self.served += got >= ANSWER_BYTES
            except NO_ANSWER:
                self.found.append("LOST: a slow reader has no answer")
            finally:
                writer.close()

    async def kept_connections(self):
        """Callers that read all, and keep their connections open and idle."""
        kept = []

        async def one():
            connection = {}
            for _ in range(20):     # runners may be busy
                try:
                    reply = await call(
                        self.gateway.addresses["front"], "POST",
                        f"/safe/x?bytes={ANSWER_BYTES}",
                        {"Attempt-Id": self.new_id(), "Api-Key": KEY,
                         "Deadline-Ms": 4000}, "b", connection=connection)
                except NO_ANSWER:
                    return
                kept.append(connection)
                if reply.status == 200:
                    return
                await asyncio.sleep(0.2)

        for _ in range(KEPT_CONNECTIONS // 20):
            await asyncio.gather(*(one() for _ in range(20)))
        await asyncio.sleep(0.2)
        for connection in kept:
            if connection.get("pair"):
                connection["pair"][1].close()

    async def run(self, paths):
        memory = asyncio.create_task(self.watch_memory())
        await self.kept_connections()
        kept_peak = self.peak
        readers = [asyncio.create_task(self.reader()) for _ in range(READERS)]
        readers += [asyncio.create_task(self.slow_reader())
                    for _ in range(SLOW_READERS)]
        short = asyncio.create_task(self.short_calls())
        await asyncio.gather(*(self.silent_caller(self.draw.choice(paths))
                               for _ in range(SILENT_CALLERS)))
        await short
        self.done = True
        await asyncio.gather(*readers)
        await memory
        return kept_peak


async def play(build, seed):
    """Returns what was broken, a line about it, and the fleet."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=1, engines=2, plain=3,
                          proxied=False)
    try:
        await fleet.start()
        what = draw.choice(list(LONG_ANSWERS))
        one = Play(fleet, draw)
        kept_peak = await one.run(LONG_ANSWERS[what])
        found = one.found
        if one.gateway.child.poll() is not None:
            found.append("FAULT: the gateway has ended")
        if one.peak > MEMORY_KB:
            found.append(f"FAULT: {one.peak} KB of {MEMORY_KB}, {kept_peak} "
                         "with kept connections alone")
        if not one.served:
            found.append("no reader was served")
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
    finally:
        fleet.stop()
        await asyncio.sleep(0.3)
    return found, (f"seed {seed}: {one.unread} {what} not read, "
                   f"{one.served} long answers read, peak {one.peak} KB "
                   f"({kept_peak} with kept connections), "
                   f"{len(found)} violations"), fleet
