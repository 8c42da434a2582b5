"""Runners that answer a large upload before they have read it, and whose
connection ends while the upload is being written.

Nobody gets part of an answer as a whole one: a call that is not idempotent
runs once and fails, an idempotent one is answered by another runner, and a
stream is aborted or goes on elsewhere. An answer that ends in an orderly way
is passed on."""

import asyncio

import raw_server
from platform_fleet import KEY, PlatformFleet, Reply, call

# Exceeds what the kernel buffers.
UPLOAD = "u" * 12_000_000
MAX_BODY_BYTES = 16_000_000
TIME_LIMIT_MS = 8000
SETTLE_S = 1.0  # until a gateway knows of a change in the store
LOG_LIMIT_S = 10.0
LOG_PAUSE_S = 0.05
ENDS = (raw_server.reset, raw_server.close_unread)
HEAD = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\n"
PART = HEAD + b"\r\n" + b"p" * 880
WHOLE = HEAD + b"Content-Length: 5\r\n\r\nwhole"
LAST_EVENT = 8


def events(request_head, last):
    """The events of a stream, up to one of them, that a target sends."""
    attempt = next(line.split(b":")[1].strip()
                   for line in request_head.split(b"\r\n")
                   if line.lower().startswith(b"attempt-id:"))
    first = next((int(line.split(b":")[1]) + 1
                  for line in request_head.split(b"\r\n")
                  if line.lower().startswith(b"last-event-id:")), 1)
    return b"".join(b"id: %d\ndata: %s %d\n\n" % (n, attempt, n)
                    for n in range(first, last + 1))


def part_of_stream(request_head):
    """Whole events, but not all."""
    return (HEAD + b"Content-Type: text/event-stream\r\n\r\n" +
            events(request_head, LAST_EVENT // 2))


def whole_stream(request_head):
    body = events(request_head, LAST_EVENT)
    return (HEAD + b"Content-Type: text/event-stream\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body)


class Play:
    """One fleet, some of whose runners are raw servers."""

    def __init__(self, fleet, found):
        self.fleet = fleet
        self.found = found
        self.calls = 0
        self.servers = []

    async def replace(self, service, *replies):
        """Puts raw servers in the place of all runners of a service; they reply
        in turn."""
        names = [n for n in self.fleet.runners if n.startswith(f"i-{service}")]
        shared = raw_server.Replies(*replies)
        self.servers = [raw_server.RawServer(shared) for _ in names]
        for name, server in zip(names, self.servers):
            await self.fleet.control("/register",
                                     {"id": name, "address": server.address})
        await asyncio.sleep(SETTLE_S)

    async def is_logged(self, words):
        """Waits for a line of the gateway, which logs behind its work."""
        end = asyncio.get_running_loop().time() + LOG_LIMIT_S
        while asyncio.get_running_loop().time() < end:
            if words in self.fleet.gateways[0].log():
                return True
            await asyncio.sleep(LOG_PAUSE_S)
        return False

    def requests(self):
        """How many have reached the raw servers."""
        return sum(server.requests for server in self.servers)

    async def send(self, path):
        """What a caller saw; `complete` is false for an answer that was
        cut."""
        self.calls += 1
        seen = Reply()
        headers = {"Attempt-Id": f"a{self.calls}", "Api-Key": KEY,
                   "Deadline-Ms": TIME_LIMIT_MS}
        if "stream" in path:
            headers["Token-Usage"] = "1000,100"
        try:
            await call(self.fleet.gateways[0].addresses["front"], "POST", path,
                       headers, UPLOAD, limit=TIME_LIMIT_MS / 1000 + 2,
                       reply=seen)
        except (OSError, EOFError, ValueError, IndexError):
            pass
        return seen

    def expect(self, holds, message):
        if not holds:
            self.found.append(message)


async def unsafe_call(play, end):
    await play.replace("plain", (PART, end))
    seen = await play.send("/unsafe/x")
    play.expect(seen.complete and seen.status == 502,
                f"{end.__name__}: an unsafe call got {seen.status} with "
                f"{len(seen.body)} bytes")
    play.expect(play.requests() == 1,
                f"{end.__name__}: an unsafe call ran {play.requests()} times")
    play.expect(await play.is_logged("what=answer"),
                f"{end.__name__}: no line of the log names the broken answer")


async def safe_call(play, end):
    await play.replace("plain", (PART, end), (WHOLE, raw_server.hold))
    seen = await play.send("/safe/x")
    play.expect(seen.complete and seen.body == "whole",
                f"{end.__name__}: a safe call got {seen.status} with "
                f"{len(seen.body)} bytes")
    play.expect(play.requests() == 2,
                f"{end.__name__}: a safe call was sent {play.requests()} times")


async def stream(play, end):
    await play.replace("model", (part_of_stream, end),
                       (whole_stream, raw_server.hold))
    seen = await play.send("/stream/x")
    count = seen.body.count("\n\n")
    play.expect(seen.complete and count == LAST_EVENT,
                f"{end.__name__}: a stream that can be resumed ended after "
                f"{count} events")
    play.expect(play.requests() == 2,
                f"{end.__name__}: a stream was sent {play.requests()} times")


async def once_stream(play, end):
    await play.replace("model", (part_of_stream, end))
    seen = await play.send("/once-stream/x")
    play.expect(not seen.complete,
                f"{end.__name__}: a stream that may run once ended as whole")
    play.expect(play.requests() == 1,
                f"{end.__name__}: a stream ran {play.requests()} times")


async def orderly_answers(play, end):
    """Answers that end before the upload does."""
    await play.replace("plain", (PART, end))
    for path in ("/unsafe/x", "/safe/x"):
        seen = await play.send(path)
        play.expect(seen.complete and seen.body == "p" * 880,
                    f"an orderly answer to {path} was lost: {seen.status}")


CASES = [(case, end) for case in (unsafe_call, safe_call, stream, once_stream)
         for end in ENDS]
CASES.append((orderly_answers, raw_server.finish))


async def play_case(build, seed, case, end, found):
    fleet = PlatformFleet(build, seed, gateways=1, engines=2, plain=2,
                          timeout_ms=TIME_LIMIT_MS, proxied=False,
                          max_body_bytes=MAX_BODY_BYTES)
    try:
        await fleet.start()
        play = Play(fleet, found)
        await case(play, end)
        if "invariant" in fleet.gateways[0].log():
            found.append(f"{case.__name__}: an invariant")
    finally:
        fleet.stop()
    return fleet


async def play(build, seed):
    """Returns what was broken, a line about it, and the last fleet."""
    found = []
    for case, end in CASES:
        fleet = await play_case(build, seed, case, end, found)
    return found, (f"seed {seed}: {len(CASES)} cases, {len(found)} "
                   "violations"), fleet
