"""Records of another writer in the platform's store: odd, large or many.

Gateways go on, follow the operators' configuration and the list of targets all
the while, and one that starts beside such records serves."""

import asyncio
import base64
import json
import random

from late_start_scenario import end_at_once, served_within
from platform_fleet import HOST, KEY, Callers, PlatformFleet, call

FOLLOW_S = 4.0                  # for a change beside odd records
START_S = 6.0
NO_ANSWER = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError)
LARGE_BYTES = 900_000           # below the store's limit on a value
MANY = 60


def entry(**changed):
    """A target's entry as the stand-in writes them, with other fields."""
    usual = {"service": "plain", "address": "127.0.0.1:9", "zone": "hall",
             "version": "v1", "slots": 4, "state": "ready",
             "cold_remaining_ms": 0, "sequence": 1}
    return json.dumps({**usual, **changed})


def nested(depth):
    return "[" * depth + "]" * depth


# Values of single records under the targets' prefix.
ODD_ENTRIES = {
    "nested": nested(200_000),
    "nested in a field": '{"service":' + nested(200_000) + "}",
    "unknown field nested": entry()[:-1] + ',"x":' + nested(100_000) + "}",
    "number too large": entry().replace('"slots": 4', '"slots": 1e400'),
    "integer too large": entry(slots=2 ** 70),
    "largest integer": entry(slots=2 ** 64 - 1),
    "warm-up for ever": entry(cold_remaining_ms=1e300),
    "negative warm-up": entry(cold_remaining_ms=-1e300),
    "port out of range": entry(address="127.0.0.1:70000"),
    "port zero": entry(address="127.0.0.1:0"),
    "no address": entry(address="nowhere"),
    "a number": "7",
    "null": "null",
    "empty": "",
    "bytes that are no text": b"\xff\xfe\x00\x80",
    "text that is no UTF-8": b'{"service":"\xff"}',
    "unknown state": entry(state="odd"),
    "lifetime out of range": entry(born=-5),
    "of another service": entry(service="x" * 100_000),
}


class OtherWriter:
    """Writes into the store what nobody asked for."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def put(self, key, value):
        value = value.encode() if isinstance(value, str) else value
        body = {"puts": [{"key": key,
                          "value": base64.b64encode(value).decode()}]}
        await call(self.fleet.where["store"], "POST", "/v1/kv-txn", {},
                   json.dumps(body), limit=10)

    async def remove(self, keys):
        for key in keys:
            await call(self.fleet.where["store"], "POST", "/v1/kv-txn", {},
                       json.dumps({"remove": [key]}), limit=10)


class Play:
    def __init__(self, fleet, draw):
        self.fleet = fleet
        self.draw = draw
        self.writer = OtherWriter(fleet)
        self.found = []
        self.changes = 0

    async def has_route(self, gateway, name):
        try:
            reply = await call(gateway.addresses["front"], "POST",
                               f"/{name}/x",
                               {"Attempt-Id": "%016x" %
                                self.draw.getrandbits(64), "Api-Key": KEY,
                                "Deadline-Ms": 1000}, "b", limit=1)
            return reply.status not in (404, 502) and reply.status < 500
        except NO_ANSWER:
            return False

    async def follows(self, what):
        """A new route is in force at all gateways in time."""
        self.changes += 1
        name = f"new-{self.changes}"
        await self.fleet.configure(extra=[name])
        end = asyncio.get_running_loop().time() + FOLLOW_S
        for gateway in self.fleet.gateways:
            while not await self.has_route(gateway, name):
                if asyncio.get_running_loop().time() > end:
                    self.found.append(f"{what}: {gateway.name} does not follow")
                    break
                await asyncio.sleep(0.05)
        self.note_ends(what)

    def note_ends(self, what):
        for gateway in self.fleet.gateways:
            if gateway.child.poll() is not None:
                self.found.append(f"FAULT: {what}: {gateway.name} ended by "
                                  f"itself, status {gateway.child.poll()}")
                gateway.start()

    async def starts(self, what):
        """One that starts beside the records serves."""
        gateway = self.draw.choice(self.fleet.gateways)
        end_at_once(gateway)
        gateway.start()
        if not await served_within(gateway, self.draw, START_S):
            self.found.append(f"{what}: {gateway.name} serves nobody after a "
                              "start")
        self.note_ends(what)

    async def all_start(self, what):
        """All start beside the records, so that none can ask another one."""
        for gateway in self.fleet.gateways:
            end_at_once(gateway)
        for gateway in self.fleet.gateways:
            gateway.start()
        for gateway in self.fleet.gateways:
            if not await served_within(gateway, self.draw, START_S):
                self.found.append(f"{what}: {gateway.name} serves nobody "
                                  "after the start of all")
        self.note_ends(what)

    async def odd_entries(self):
        names = list(ODD_ENTRIES)
        self.draw.shuffle(names)
        for number, name in enumerate(names):
            await self.writer.put(f"servers/odd-{number}", ODD_ENTRIES[name])
            await self.follows(name)
        await self.starts("odd entries")
        await self.all_start("odd entries")
        await self.writer.remove(f"servers/odd-{n}" for n in range(len(names)))

    async def own_records(self):
        """Odd values among the records of the gateways themselves."""
        for prefix in ("instances", "quarantine"):
            for number, value in enumerate(["", "7", nested(100_000),
                                            '{"suspects":[1e400]}']):
                await self.writer.put(f"pollenstream/{prefix}/odd-{number}",
                                      value)
        await self.follows("odd records of gateways")
        await self.starts("odd records of gateways")

    async def many_large(self, prefix):
        keys = [f"{prefix}large-{n:03}" for n in range(MANY)]
        value = b"v" * LARGE_BYTES
        for key in keys:
            await self.writer.put(key, value)
        await self.follows(f"{MANY} large records under {prefix}")
        await self.starts(f"{MANY} large records under {prefix}")
        await self.all_start(f"{MANY} large records under {prefix}")
        await self.writer.remove(keys)


async def play(build, seed):
    """Returns what was broken, a line about it, and the fleet."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=3, engines=2, plain=3,
                          proxied=False)
    one = Play(fleet, draw)
    try:
        await fleet.start()
        callers = Callers(fleet, draw, count=4)
        load = asyncio.create_task(callers.run())
        steps = [one.odd_entries, one.own_records]
        steps += [lambda p=prefix: one.many_large(p)
                  for prefix in ("a-first/", "other/", "servers/", "zz/")]
        draw.shuffle(steps)
        for step in steps:
            await step()
        callers.stop = True
        await load
        found = one.found + callers.violations
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
    finally:
        fleet.stop()
        await asyncio.sleep(0.3)
    return found, (f"seed {seed}: {one.changes} changes beside odd records, "
                   f"{len(callers.seen)} requests, {len(found)} violations"
                   ), fleet
