"""Gateways are stopped as planned while callers go on with them, beside other
planned work or none.

LOST as the users' rules have it: what a process has read whole is answered,
unless its runner broke off, or was still at work in the last sixth of the
grace period on a request that came in the first three seconds of the stop."""

import asyncio
import collections
import random
import signal

from platform_fleet import HOST, KEY, Callers, PlatformFleet, Reply, read_reply

ROUNDS = 3
LOSS_SLACK_MS = 200             # for a request that crosses the close
EARLY_MS = 3000                 # after the signal
LAST_SIXTH = 5 / 6
AFTER_GRACE_MS = 1000
CALLERS_WAIT_S = 0.7            # between the start of all and a stop
BESIDE = ["nothing", "configurations", "reload", "runners_leave", "store_away",
          "just_started", "runners_slow", "runners_shed"]
CUT = (OSError, asyncio.IncompleteReadError, ValueError, IndexError)


class PipeliningCallers(Callers):
    """Some send a second request behind the first on the same connection
    before the answer has come."""

    async def run(self):
        await asyncio.gather(super().run(), self.send_pairs())

    async def send_pairs(self):
        while not self.stop:
            gateway = self.draw.choice(self.fleet.gateways)
            await self.send_pair(gateway.addresses["front"])
            await asyncio.sleep(0.1)

    def request(self, address):
        """An entry of what the caller sees, and the bytes of its request."""
        self.serial += 1
        attempt = f"p{self.serial}"
        path = self.draw.choice(["/safe/x", "/unsafe/x"])
        body = f"body {attempt}"
        now = asyncio.get_running_loop().time()
        self.seen[attempt] = {
            "path": path, "status": "cut", "address": address, "body": body,
            "time_ms": 4000, "fatal_part": "", "began": now, "ended": now,
            "sent": None, "head": 0, "events": 0}
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}",
                 f"Content-Length: {len(body)}", f"Attempt-Id: {attempt}",
                 f"Api-Key: {KEY}", "Deadline-Ms: 4000"]
        return self.seen[attempt], ("\r\n".join(lines) + "\r\n\r\n" +
                                    body).encode()

    async def send_pair(self, address):
        loop = asyncio.get_running_loop()
        pair = [self.request(address) for _ in range(2)]
        try:
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        try:
            writer.write(pair[0][1] + pair[1][1])
            await writer.drain()
            for entry, _ in pair:
                entry["sent"] = loop.time()
            for entry, _ in pair:
                reply = Reply()
                await asyncio.wait_for(read_reply(reader, reply), 6)
                entry["status"] = reply.status
                entry["head"] = reply.status
                entry["ended"] = loop.time()
        except (*CUT, asyncio.TimeoutError):
            pass
        finally:
            for entry, _ in pair:
                if entry["status"] == "cut":
                    entry["ended"] = loop.time()
            writer.close()


class Stops:
    """Stops some gateways at once, kills what is left of them at the end of
    the grace period, and starts them again."""

    def __init__(self, fleet, draw, grace_s):
        self.fleet = fleet
        self.draw = draw
        self.grace_s = grace_s
        self.told = []          # address and time in ms of each signal
        self.killed = 0         # processes that outlived the grace period
        self.unplanned = []     # address and time in ms of other kills

    async def one_round(self, beside):
        chosen = self.draw.sample(self.fleet.gateways, self.draw.randint(1, 3))
        if beside == "just_started":
            for gateway in chosen:
                self.unplanned.append((
                    gateway.addresses["front"],
                    asyncio.get_running_loop().time() * 1000))
                gateway.signal(signal.SIGKILL)
                gateway.child.wait()
                gateway.start()
            await asyncio.sleep(self.draw.random())
        else:
            await asyncio.sleep(CALLERS_WAIT_S)
        work = asyncio.create_task(getattr(self, beside)())
        await asyncio.sleep(self.draw.random() * 0.5)
        await asyncio.gather(*(self.stop(gateway) for gateway in chosen))
        await work

    async def stop(self, gateway):
        loop = asyncio.get_running_loop()
        self.told.append((gateway.addresses["front"], loop.time() * 1000))
        gateway.signal(signal.SIGTERM)
        end = loop.time() + self.grace_s
        while gateway.child.poll() is None and loop.time() < end:
            await asyncio.sleep(0.02)
        if gateway.child.poll() is None:
            self.killed += 1
            gateway.signal(signal.SIGKILL)
            gateway.child.wait()
        gateway.start()

    async def nothing(self):
        pass

    just_started = nothing

    async def configurations(self):
        for _ in range(6):
            await self.fleet.configure(
                timeout_ms=self.draw.choice([3200, 4000, 6000]))
            await asyncio.sleep(0.2)

    async def reload(self):
        for _ in range(4):
            for gateway in self.fleet.gateways:
                gateway.write_settings()
                gateway.signal(signal.SIGHUP)
            await asyncio.sleep(0.3)

    async def runners_leave(self):
        names = [n for n in self.fleet.runners if n.startswith("i-model")]
        await self.fleet.control("/runner", {
            "id": self.draw.choice(names), "leave": "says"})

    async def store_away(self):
        await self.fleet.control("/store", {"silent": True})
        await asyncio.sleep(3)
        await self.fleet.control("/store", {})

    async def runners_slow(self):
        await self.change_runners({"slow": self.draw.choice([10, 40, 100])})

    async def runners_shed(self):
        await self.change_runners({"shed": 0.5, "slow": 10})

    async def change_runners(self, what):
        for name in self.fleet.runners:
            await self.fleet.control("/runner", {"id": name, **what})
        await asyncio.sleep(self.grace_s)
        for name in self.fleet.runners:
            await self.fleet.control("/runner", {"id": name})


def lost(callers, record, stops):
    """What was read whole in a stop and has no complete answer."""
    runs = collections.defaultdict(list)
    for run in record["runs"]:
        runs[run["attempt"]].append(run)
    found = []
    for attempt, seen in callers.seen.items():
        if seen["status"] != "cut" or seen["sent"] is None or \
                was_open_at_kill(seen, stops.unplanned):
            continue
        for told_ms in (at for address, at in stops.told
                        if address == seen["address"]):
            text = lost_in_stop(seen, runs[attempt], told_ms, stops.grace_s)
            if text:
                found.append(f"LOST: {attempt} ({seen['path']}) {text}")
    return found


def was_open_at_kill(seen, kills):
    return any(address == seen["address"] and
               seen["began"] * 1000 <= at <= seen["ended"] * 1000
               for address, at in kills)


def lost_in_stop(seen, runs, told_ms, grace_s):
    """Why the request is lost, or nothing."""
    sent_ms, ended_ms = seen["sent"] * 1000, seen["ended"] * 1000
    late_ms = ended_ms - told_ms
    if not 0 <= late_ms <= grace_s * 1000 + AFTER_GRACE_MS:
        return ""
    if not runs and ended_ms - sent_ms <= LOSS_SLACK_MS:
        return ""
    if any(run["end"] == "broke_off" for run in runs):
        return ""
    if ended_ms - seen["began"] * 1000 >= 0.9 * seen["time_ms"]:
        return ""
    is_at_work = bool(runs) and sent_ms <= told_ms + EARLY_MS and \
        late_ms >= LAST_SIXTH * grace_s * 1000
    if is_at_work:
        return ""
    return (f"sent {sent_ms - told_ms:.0f} ms and cut {late_ms:.0f} ms after "
            f"the signal, {len(runs)} runs")


async def play(build, seed):
    """Returns what was broken, a line about it, and the fleet."""
    draw = random.Random(seed)
    grace_s = draw.choice([1, 2, 3, 5, 8])
    fleet = PlatformFleet(build, seed, gateways=4, engines=6, plain=3,
                          proxied=False)
    stops = Stops(fleet, draw, grace_s)
    played = draw.sample(BESIDE, ROUNDS)
    try:
        await fleet.start()
        for gateway in fleet.gateways:
            gateway.bounds["grace_period_s"] = grace_s
            gateway.write_settings()
            gateway.signal(signal.SIGHUP)
        callers = PipeliningCallers(fleet, draw, count=16)
        load = asyncio.create_task(callers.run())
        for beside in played:
            await stops.one_round(beside)
            for gateway in fleet.gateways:
                await fleet.wait_ready(gateway)
        callers.stop = True
        await load
        found = callers.violations + lost(callers, await fleet.control(
            "/record"), stops)
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
    finally:
        fleet.stop()
    return found, (f"seed {seed}: {len(stops.told)} stops of {grace_s} s "
                   f"beside {', '.join(played)}, {stops.killed} outlived it, "
                   f"{len(callers.seen)} requests, {len(found)} violations"), \
        fleet
