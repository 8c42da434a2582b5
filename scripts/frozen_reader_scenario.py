"""Instances that read the store freeze around large changes of the configuration.

CONFIG as the users' rules have it: no calm instance handles a request that is
sent later than `config_apply_ms` after the ack as only an older version allows.
The frozen instance is not judged, nor the others within `stable_window_ms` of a
freeze of their own."""

import asyncio
import os
import random
import re
import signal

from platform_fleet import PlatformFleet, call, KEY

CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
EXTRA_ROUTES = 340      # as many as the users' large configurations add
LONGEST_FREEZE_S = 4.0
METRICS_PORT = 9464


async def metric(gateway, name):
    """The value of one line of a gateway's metrics; 0 if it is missing."""
    reply = await call(f"{gateway.ip}:{METRICS_PORT}", "GET", "/metrics", {},
                       limit=2)
    found = re.search(rf"^{re.escape(name)} (\S+)$", reply.body, re.M)
    return float(found[1]) if found else 0.0


async def readers(gateways):
    """The gateways that watch the store."""
    name = 'pollenstream_store_calls_total{kind="watch"}'
    before = [await metric(g, name) for g in gateways]
    await asyncio.sleep(1.0)
    return [g for g, count in zip(gateways, before)
            if await metric(g, name) > count]


async def status_of(gateway, path):
    try:
        reply = await call(gateway.addresses["front"], "GET", path,
                           {"Attempt-Id": os.urandom(8).hex(), "Api-Key": KEY,
                            "Deadline-Ms": 1500}, limit=2)
        return reply.status
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


async def one_change(fleet, draw, number, frozen):
    """Writes a version, freezes `frozen` around it, and returns what calm
    gateways did as only the version before allows."""
    loop = asyncio.get_running_loop()
    freeze_after = draw.uniform(-0.3, 0.4)
    freeze_for = draw.uniform(0.5, LONGEST_FREEZE_S)
    if freeze_after < 0:
        frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(-freeze_after)
    await fleet.configure(extra=[f"new-{number}",
                                 *(f"x{n}-{draw.getrandbits(40):x}"
                                   for n in range(EXTRA_ROUTES))])
    acked = loop.time()
    if freeze_after >= 0:
        await asyncio.sleep(freeze_after)
        frozen.signal(signal.SIGSTOP)
    thaw = loop.call_later(freeze_for, frozen.signal, signal.SIGCONT)
    await asyncio.sleep(max(0.0, acked + CONFIG_APPLY_S + 0.01 - loop.time()))
    found = []

    async def judge(gateway):
        for path, wrong in ((f"/new-{number}/a", 404),
                            (f"/new-{number - 1}/a", 200)):
            late = loop.time() - acked
            if await status_of(gateway, path) == wrong:
                found.append(f"{gateway.name} answers {wrong} to {path} "
                             f"{late:.2f} s after the ack")

    await asyncio.gather(*(judge(g) for g in fleet.gateways if g is not frozen))
    await asyncio.sleep(max(0.0, thaw.when() - loop.time()) + STABLE_WINDOW_S)
    return found


async def play(build, seed, gateways, changes=6):
    """Returns what was broken, a line about it, and the fleet."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=gateways, engines=1, plain=3,
                          metrics_port=METRICS_PORT)
    found = []
    try:
        await fleet.start()
        await fleet.configure(extra=["new-0"])
        await asyncio.sleep(STABLE_WINDOW_S)
        reading = await readers(fleet.gateways)
        for number in range(1, changes + 1):
            found += await one_change(fleet, draw, number,
                                      draw.choice(reading))
        longest = max([await metric(
            g, "pollenstream_configuration_delay_max_seconds")
            for g in fleet.gateways])
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
    finally:
        fleet.stop()
        # The proxies' connections end with the gateways.
        await asyncio.sleep(0.3)
    return found, (f"seed {seed}: {gateways} gateways, {changes} changes, "
                   f"longest delay, also of those frozen, {longest:.2f} s, "
                   f"{len(found)} violations"), fleet
