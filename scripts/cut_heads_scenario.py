"""Runners that stop inside an answer and close or reset the connection.

They stop in the head, right behind it or in the body; of whole answers,
streams and resumed parts, on new and kept connections, behind an interim
answer. Nobody gets a part as a whole."""

import asyncio
import random

from platform_fleet import Callers, PlatformFleet

SECONDS_EACH = 1.2
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# Name: how much of the head passes (a part of it, or bytes behind it).
PLACES = {"nothing": 0.0, "status line": 0.1, "a field": 0.5,
          "last field": 0.9, "all but the last line end": -2,
          "all but the empty line": -4}
BODY_BYTES = {"first byte of the body": 1, "some of the body": 20}


class CutAnswer:
    """Passes `skipped` answers on a connection, then part of the next one, and
    ends it."""

    def __init__(self, place, is_interim, skipped):
        self.place = place
        self.is_interim = is_interim
        self.skipped = skipped      # answers that pass before
        self.raw = b""
        self.ended = False

    def feed(self, data):
        if self.skipped > 0 and not self.raw:
            self.skipped -= b"HTTP/1.1 200" in data
            return data
        self.raw += data
        head, separator, body = self.raw.partition(b"\r\n\r\n")
        if not separator:
            return b""
        self.ended = True
        out = self.part_of(head + separator, body)
        return INTERIM + out if self.is_interim else out

    def part_of(self, head, body):
        if self.place in BODY_BYTES:
            return head + body[:BODY_BYTES[self.place]]
        where = PLACES[self.place]
        return head[:int(where if where < 0 else where * len(head))]


async def play(build, seed):
    """Returns what was broken, a line about it, and the fleet."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=2, engines=4, plain=3)
    found = []
    cuts = 0
    try:
        await fleet.start()
        callers = Callers(fleet, draw, count=16)
        load = asyncio.create_task(callers.run())
        places = [*PLACES, *BODY_BYTES]
        draw.shuffle(places)
        for place in places:
            cut = [draw.choice([p for name, p in fleet.proxies.items()
                                if name.startswith("i-model") == is_engine])
                   for is_engine in (True, False)]
            is_interim = draw.random() < 0.3
            skipped = draw.choice([0, 0, 1, 3])
            for proxy in cut:
                proxy.rewriter = lambda: CutAnswer(place, is_interim, skipped)
                proxy.resets = draw.random() < 0.5
                proxy.reset_some(draw, 1)
            await asyncio.sleep(SECONDS_EACH)
            for proxy in cut:
                cuts += proxy.rewritten
                proxy.rewriter = None
                proxy.reset_some(draw, 1)
        await asyncio.sleep(2)
        before = len(callers.seen)
        await asyncio.sleep(2)
        callers.stop = True
        await load
        found += callers.violations
        after = list(callers.seen.values())[before:]
        served = sum(one["status"] == 200 for one in after)
        if served < 0.9 * len(after):
            found.append(f"only {served} of {len(after)} served afterwards")
        found += [f"FAULT: {g.name} ended by itself" for g in fleet.gateways
                  if g.child.poll() is not None]
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
    finally:
        fleet.stop()
        await asyncio.sleep(0.3)
    return found, (f"seed {seed}: {cuts} answers cut, {len(callers.seen)} "
                   f"requests, {len(found)} violations"), fleet
