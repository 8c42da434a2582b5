"""Callers, other instances and the store send heads and answers without end, on
several connections at once, at every port of a gateway.

The process lives, stays within its memory, and serves whoever else calls."""

import asyncio
import random

from endless_answers_scenario import (MEMORY_KB, SHARE_OWED, WAYS,
                                      peak_memory_kb)
from fleet import reserve_port
from platform_fleet import Callers, PlatformFleet

SECONDS_EACH = 1.5
CONNECTIONS = 5
PORTS = ["front", "ready", "directory", "metrics", "internal"]
PIECE = b"x" * 65536
FIELDS = b"X-Field: value\r\n" * 4096
# Name: the first bytes of a request, and those that follow again and again.
REQUESTS = {
    "target": (b"GET /", PIECE),
    "field": (b"GET / HTTP/1.1\r\nX: ", PIECE),
    "fields": (b"GET / HTTP/1.1\r\n", FIELDS),
    "chunk header": (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;",
                     PIECE),
    "no request": (b"", PIECE),
}


async def send_without_end(ip, port, first, repeated):
    """Until the other side closes, or for `SECONDS_EACH`."""
    try:
        _, writer = await asyncio.open_connection(ip, port)
    except OSError:
        return

    async def send():
        writer.write(first)
        while True:
            writer.write(repeated)
            await writer.drain()

    try:
        await asyncio.wait_for(send(), SECONDS_EACH)
    except (OSError, asyncio.TimeoutError):
        pass
    writer.transport.abort()


class Check:
    """What is broken after each way."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.found = []
        self.peak = 0

    def after(self, way):
        if self.gateway.child.poll() is not None:
            self.found.append(f"the gateway has ended: {way}")
            return
        self.peak = peak_memory_kb(self.gateway)
        if self.peak > MEMORY_KB:
            self.found.append(f"{self.peak} KB of {MEMORY_KB}: {way}")


async def spoil_store(fleet, draw, check):
    for way, sent in WAYS.items():
        fleet.store_proxy.endless = sent
        fleet.store_proxy.reset_some(draw, 1)
        await asyncio.sleep(SECONDS_EACH)
        fleet.store_proxy.endless = None
        fleet.store_proxy.reset_some(draw, 1)
        check.after(f"store, {way}")


async def play(build, seed):
    """Returns what was broken, a line about it, and the fleet."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=1, engines=3, plain=3,
                          proxied=False, metrics_port=reserve_port())
    fleet.ports["metrics"] = fleet.metrics_port
    try:
        await fleet.start()
        check = Check(fleet.gateways[0])
        callers = Callers(fleet, draw, count=8)
        load = asyncio.create_task(callers.run())
        for name in PORTS:
            for way, sent in REQUESTS.items():
                await asyncio.gather(*(
                    send_without_end(fleet.gateways[0].ip, fleet.ports[name],
                                     *sent) for _ in range(CONNECTIONS)))
                check.after(f"{name}, {way}")
        await spoil_store(fleet, draw, check)
        await asyncio.sleep(2)
        before = len(callers.seen)
        await asyncio.sleep(2)
        callers.stop = True
        await load
        found = check.found + callers.violations
        after = list(callers.seen.values())[before:]
        served = sum(one["status"] == 200 for one in after)
        if served < SHARE_OWED * len(after):
            found.append(f"only {served} of {len(after)} served afterwards")
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
    finally:
        fleet.stop()
        await asyncio.sleep(0.3)
    return found, (f"seed {seed}: {len(REQUESTS)} requests at {len(PORTS)} "
                   f"ports, {len(WAYS)} answers of the store, peak "
                   f"{check.peak} KB, {len(callers.seen)} requests served "
                   f"beside, {len(found)} violations"), fleet
