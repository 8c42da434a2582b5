"""Something that a gateway needs is missing at its start, and comes later.

One of its ports is held by another process, or its settings file is missing,
empty or cut in half. The gateway does not end by itself, it serves soon after
the missing thing is there, and it does without what callers do not need."""

import asyncio
import contextlib
import random
import signal
import socket

from fleet import reserve_port
from platform_fleet import KEY, Callers, PlatformFleet, call

HELD_S = (0.4, 1.6)             # for how long something is missing
RETURN_S = 5.0                  # from then on until the gateway serves
NO_ANSWER = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError)
# Port by name in the fleet, and whether it is held for datagrams.
PORTS = {"callers": ("front", False), "readiness": ("ready", False),
         "directory": ("directory", False), "instances": ("internal", False),
         "datagrams": ("internal", True), "metrics": ("metrics", False)}
# Without these a gateway serves callers all the same.
SIDE_PORTS = ("readiness", "directory", "instances", "metrics")
SETTINGS = {"no file": lambda text: None, "empty file": lambda text: "",
            "half a file": lambda text: text[:len(text) // 2]}


@contextlib.contextmanager
def held_port(gateway, name):
    """Another process' use of one of the gateway's ports."""
    port, is_datagram = PORTS[name]
    kind = socket.SOCK_DGRAM if is_datagram else socket.SOCK_STREAM
    with socket.socket(socket.AF_INET, kind) as holder:
        if not is_datagram:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((gateway.ip, gateway.fleet.ports[port]))
        if not is_datagram:
            holder.listen()
        yield


async def is_served(gateway, draw):
    """True if the gateway serves a request that comes to it directly."""
    try:
        reply = await call(gateway.addresses["front"], "POST", "/safe/x",
                           {"Attempt-Id": "%016x" % draw.getrandbits(64),
                            "Api-Key": KEY, "Deadline-Ms": 1000}, "b", limit=1)
        return reply.status == 200 and "server-seal" in reply.headers
    except NO_ANSWER:
        return False


async def served_within(gateway, draw, limit_s):
    end = asyncio.get_running_loop().time() + limit_s
    while asyncio.get_running_loop().time() < end:
        if await is_served(gateway, draw):
            return True
        await asyncio.sleep(0.1)
    return False


def end_at_once(gateway):
    gateway.signal(signal.SIGKILL)
    gateway.child.wait()


class Starts:
    """Starts gateways that miss something, and notes what was broken."""

    def __init__(self, fleet, draw):
        self.fleet = fleet
        self.draw = draw
        self.found = []
        self.count = 0

    async def one(self, gateway, case):
        """`case`: a port or a state of the settings file."""
        end_at_once(gateway)
        self.count += 1
        missing_s = self.draw.uniform(*HELD_S)
        if case in PORTS:
            with held_port(gateway, case):
                gateway.start()
                await self.while_missing(gateway, case, missing_s)
        else:
            path = gateway.write_settings()
            text = path.read_text()
            part = SETTINGS[case](text)
            path.unlink()
            if part is not None:
                path.write_text(part)
            gateway.start(path)
            await self.while_missing(gateway, case, missing_s)
            whole = path.with_suffix(".new")
            whole.write_text(text)
            whole.replace(path)
        await self.afterwards(gateway, case)

    async def while_missing(self, gateway, case, seconds):
        if case in SIDE_PORTS:
            if not await served_within(gateway, self.draw, RETURN_S):
                self.found.append(f"{case}: does not serve without it")
        else:
            await asyncio.sleep(seconds)
        if gateway.child.poll() is not None:
            self.found.append(f"FAULT: {case}: the gateway ended by itself, "
                              f"status {gateway.child.poll()}")

    async def afterwards(self, gateway, case):
        if gateway.child.poll() is not None:
            gateway.start()     # as the platform does
        if not await served_within(gateway, self.draw, RETURN_S):
            self.found.append(f"{case}: does not serve {RETURN_S} s later")

    async def stopped_while_missing(self, gateway):
        """SIGTERM ends a gateway that still waits, and it is no failure."""
        end_at_once(gateway)
        with held_port(gateway, "callers"):
            gateway.start()
            await asyncio.sleep(0.4)
            gateway.signal(signal.SIGTERM)
            for _ in range(100):
                if gateway.child.poll() is not None:
                    break
                await asyncio.sleep(0.1)
        if gateway.child.poll() != 0:
            self.found.append("SIGTERM while a port is held: status "
                              f"{gateway.child.poll()}")
        end_at_once(gateway)
        gateway.start()

    async def all_at_once(self):
        """All start together, each with one of its ports held."""
        for gateway in self.fleet.gateways:
            end_at_once(gateway)
        with contextlib.ExitStack() as held:
            cases = {}
            for gateway in self.fleet.gateways:
                cases[gateway.name] = self.draw.choice(list(PORTS))
                held.enter_context(held_port(gateway, cases[gateway.name]))
                gateway.start()
            await asyncio.sleep(self.draw.uniform(*HELD_S))
            for gateway in self.fleet.gateways:
                if gateway.child.poll() is not None:
                    self.found.append("FAULT: all at once, "
                                      f"{cases[gateway.name]}: ended by itself")
        for gateway in self.fleet.gateways:
            await self.afterwards(gateway, "all at once")


async def play(build, seed):
    """Returns what was broken, a line about it, and the fleet."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=3, engines=2, plain=3,
                          proxied=False, metrics_port=reserve_port())
    fleet.ports["metrics"] = fleet.metrics_port
    starts = Starts(fleet, draw)
    try:
        await fleet.start()
        callers = Callers(fleet, draw, count=4)
        load = asyncio.create_task(callers.run())
        cases = [*PORTS, *SETTINGS]
        draw.shuffle(cases)
        for case in cases:
            await starts.one(draw.choice(fleet.gateways), case)
        await starts.stopped_while_missing(draw.choice(fleet.gateways))
        await starts.all_at_once()
        callers.stop = True
        await load
        found = starts.found + callers.violations
    finally:
        fleet.stop()
        await asyncio.sleep(0.3)
    return found, (f"seed {seed}: {starts.count} starts with something "
                   f"missing, {len(callers.seen)} requests, "
                   f"{len(found)} violations"), fleet
