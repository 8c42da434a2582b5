"""Runners whose bytes have no end, in a head, a body, an event or behind them.

The gateway's process lives and stays within its memory, callers get nothing
but whole answers, and once the runners are sound again all is served."""

import asyncio
import pathlib
import random

from platform_fleet import Callers, PlatformFleet

SECONDS_EACH = 1.5
# What the gateway assumes if its settings name no limit.
MEMORY_KB = 256 * 1024
SHARE_OWED = 0.9
PIECE = b"x" * 65536

STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
# Name: the first bytes of an answer, and those that follow again and again.
WAYS = {
    "status line": (b"", PIECE),
    "head": (STATUS, b"X-Field: value\r\n" * 4096),
    "body": (STATUS + b"Server-Seal: s\r\n\r\n", PIECE),
    "body of chunks": (CHUNKED, b"10000\r\n" + PIECE + b"\r\n"),
    "announced body": (STATUS + b"Server-Seal: s\r\n"
                       b"Content-Length: 1125899906842624\r\n\r\n", PIECE),
    "chunk header": (CHUNKED + b"4;", PIECE),
    "trailer": (CHUNKED + b"0\r\n", b"X-Field: value\r\n" * 4096),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
}


def peak_memory_kb(gateway):
    status = pathlib.Path(f"/proc/{gateway.child.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines()
                if line.startswith("VmHWM:"))


async def play(build, seed):
    """Returns what was broken, a line about it, and the fleet."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=1, engines=4, plain=3)
    found = []
    peak = 0
    try:
        await fleet.start()
        gateway = fleet.gateways[0]
        callers = Callers(fleet, draw, count=16)
        load = asyncio.create_task(callers.run())
        ways = list(WAYS)
        draw.shuffle(ways)
        for way in ways:
            spoiled = [draw.choice([p for name, p in fleet.proxies.items()
                                    if name.startswith("i-model") == is_engine])
                       for is_engine in (True, False)]
            for proxy in spoiled:
                proxy.endless = WAYS[way]
                proxy.reset_some(draw, 1)
            await asyncio.sleep(SECONDS_EACH)
            for proxy in spoiled:
                proxy.endless = None
                proxy.reset_some(draw, 1)
            if gateway.child.poll() is not None:
                found.append(f"the gateway has ended: {way}")
                break
            peak = peak_memory_kb(gateway)
            if peak > MEMORY_KB:
                found.append(f"{peak} KB of {MEMORY_KB}: {way}")
        await asyncio.sleep(2)
        before = len(callers.seen)
        await asyncio.sleep(2)
        callers.stop = True
        await load
        found += callers.violations
        after = list(callers.seen.values())[before:]
        served = sum(one["status"] == 200 for one in after)
        if served < SHARE_OWED * len(after):
            found.append(f"only {served} of {len(after)} served afterwards")
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
    finally:
        fleet.stop()
        # The proxies' connections end with the gateway.
        await asyncio.sleep(0.3)
    return found, (f"seed {seed}: {len(callers.seen)} requests, peak {peak} KB, "
                   f"{len(found)} violations"), fleet
