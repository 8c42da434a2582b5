"""Some gateways lose the path to all targets, while callers, the store and the
other gateways reach them.

Judged are the first tries that come to the gateways that are cut, from the
first second of a cut to its end, against those at the others: they are served
as often, what may run once ran once at most, streams are whole. Each play
draws how the links fail, how many, how often, what happens beside it and how
many calls there are; a third of the callers keeps an answer of the directory
three times as long as told."""

import asyncio
import dataclasses
import json
import pathlib
import random
import signal
import socket

from fleet import reserve_port
from platform_fleet import Callers, PlatformFleet, Proxy

HOW = ["reset", "refuse", "hang"]
BESIDE = ["nothing", "nothing", "restarted_behind", "all_killed",
          "engines_crash", "planned_stop", "configurations"]
CUT_SHARES = [0.1, 0.3, 0.6]
CALLS_A_SECOND = [8, 40, 80]
RUNNERS_PER_GATEWAY = 27 / 63
BEFORE_S = 4.0
PAUSE_S = 3.0       # between two cuts
AFTER_S = 2.0
# What the share served at cut gateways may be below that at the others: the
# first tries there are few.
TOLERATED_SHARE = 0.1
TOLERATED_CALLS = 1
RUN_ONCE = ("/once-stream/", "/unsafe/")


@dataclasses.dataclass
class Plan:
    """What one seed plays."""

    how: str
    share: float        # of the gateways that are cut
    cuts: int           # one after another
    cut_s: float
    calls_a_second: int
    beside: str

    @staticmethod
    def drawn(seed, **chosen):
        draw = random.Random(seed)
        plan = Plan(how=draw.choice(HOW), share=draw.choice(CUT_SHARES),
                    cuts=draw.choice([1, 1, 2, 3]), cut_s=8.0,
                    calls_a_second=draw.choice(CALLS_A_SECOND),
                    beside=draw.choice(BESIDE))
        return dataclasses.replace(plan, **chosen)

    def text(self):
        return (f"{self.cuts} x {self.share:.2f} cut for {self.cut_s:.0f} s "
                f"({self.how}), {self.calls_a_second} calls a second, beside "
                f"{self.beside}")


def read_field(name, text):
    """The value of a field of `Plan`, from its text."""
    return Plan.__annotations__[name](text)


class TargetLinks:
    """The links of all gateways to all targets, by the gateways' addresses."""

    def __init__(self):
        self.connections = {}   # of each gateway: pairs of writers
        self.hanging = set()    # addresses of gateways

    def reset(self, ip):
        for pair in list(self.connections.get(ip, ())):
            for writer in pair:
                writer.transport.abort()


class LinkedProxy(Proxy):
    """Passes the connections of gateways on to one target."""

    def __init__(self, target, links):
        super().__init__(target)
        self.links = links

    async def serve(self, reader, writer):
        source = writer.get_extra_info("peername")[0]
        host, port = self.target.split(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(host,
                                                                 int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, to_writer)
        self.links.connections.setdefault(source, set()).add(pair)
        try:
            await asyncio.gather(self.pass_bytes(source, reader, to_writer),
                                 self.pass_bytes(source, to_reader, writer))
        except asyncio.CancelledError:
            pass    # the run is over
        self.links.connections[source].discard(pair)

    async def pass_bytes(self, source, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                while source in self.links.hanging:
                    await asyncio.sleep(0.05)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()


class Sink:
    """A port where connections are neither accepted nor refused."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.waiting = []
        for _ in range(3):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))
            self.waiting.append(one)


class LinkedFleet(PlatformFleet):
    """A fleet whose links between gateways and targets can be cut."""

    def __init__(self, build, seed, **sizes):
        self.links = TargetLinks()
        self.sink = Sink()
        super().__init__(build, seed, metrics_port=reserve_port(),
                         make_proxy=lambda at: LinkedProxy(at, self.links),
                         environment_of=self.link_environment,
                         program="pollenstream-linked-gateway", **sizes)

    def state_file(self, gateway):
        return pathlib.Path(self.folder) / f"{gateway.name}.link"

    def link_environment(self, gateway):
        self.state_file(gateway).write_text("sound\n")
        ports = ",".join(p.address.split(":")[1] for p in self.proxies.values())
        return {"POLLENSTREAM_LINK_SOURCE": gateway.ip,
                "POLLENSTREAM_LINK_STATE": str(self.state_file(gateway)),
                "POLLENSTREAM_LINK_PORTS": f",{ports},",
                "POLLENSTREAM_LINK_SINK": str(self.sink.port)}

    def cut(self, gateway, how):
        """`reset` and `refuse` refuse new connections; `reset` ends the open
        ones, which `refuse` leaves hanging."""
        new = "hang" if how == "hang" else "refuse"
        self.state_file(gateway).write_text(new + "\n")
        if how == "reset":
            self.links.reset(gateway.ip)
        else:
            self.links.hanging.add(gateway.ip)

    def heal(self, gateway):
        self.state_file(gateway).write_text("sound\n")
        self.links.hanging.discard(gateway.ip)


class DirectoryCallers(Callers):
    """Callers that go where the directory's answer says, for as long as they
    keep it. Together they make so many calls a second."""

    KINDS = ["/stream/x", "/once-stream/x", "/safe/x", "/unsafe/x"]

    def __init__(self, fleet, draw, calls_a_second):
        super().__init__(fleet, draw, count=max(9, calls_a_second // 2))
        self.period_s = self.count / calls_a_second

    async def one_caller(self, number):
        loop = asyncio.get_running_loop()
        known, until = [], 0.0
        await asyncio.sleep(self.draw.random() * self.period_s)
        while not self.stop:
            began = loop.time()
            if began > until or not known:
                known = await self.addresses() or known
                until = loop.time() + (3 if number % 3 == 0 else 1)
            if known:
                await self.send(self.draw.choice(known), None)
            left = began + self.period_s - loop.time()
            await asyncio.sleep(max(0.0, left))


class Beside:
    """What happens beside a cut, as methods."""

    def __init__(self, fleet, draw):
        self.fleet = fleet
        self.draw = draw

    async def nothing(self, cut):
        pass

    async def restarted_behind(self, cut):
        """The gateways that are cut are killed and start behind the cut."""
        await self.restart(cut)

    async def all_killed(self, cut):
        await self.restart(self.fleet.gateways)

    async def restart(self, gateways):
        await asyncio.sleep(1)
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)
            gateway.child.wait()
        for gateway in gateways:
            gateway.start()

    async def engines_crash(self, cut):
        names = [n for n in self.fleet.runners if n.startswith("i-model")]
        lost = self.draw.sample(names, max(1, len(names) // 4))
        await asyncio.sleep(self.draw.random() * 2)
        await self.fleet.control("/end", {"ids": lost})

    async def planned_stop(self, cut):
        """One gateway of each side stops as planned."""
        others = [g for g in self.fleet.gateways if g not in cut]
        await asyncio.sleep(1)
        leaving = [cut[0], *others[:1 if len(others) > 1 else 0]]
        for gateway in leaving:
            gateway.signal(signal.SIGTERM)
        for gateway in leaving:
            while gateway.child.poll() is None:
                await asyncio.sleep(0.05)
            gateway.start()

    async def configurations(self, cut):
        for _ in range(8):
            await self.fleet.configure()
            await asyncio.sleep(0.4)


@dataclasses.dataclass
class Cut:
    """One cut as it was played; times of the loop."""

    addresses: set      # of the gateways that were cut
    began: float
    ended: float


def first_tries(callers, cuts, at_cut):
    """Served and all of the first tries during the cuts. One whose connection
    was refused or lost with its gateway's process is none."""
    found = []
    for one in callers.seen.values():
        for cut in cuts:
            is_there = one["address"] in cut.addresses
            if is_there == at_cut and cut.began <= one["began"] < \
                    cut.ended and one["status"] != "cut":
                found.append(one["status"] == 200)
    return sum(found), len(found)


def judge(callers, cuts, record):
    there = first_tries(callers, cuts, True)
    others = first_tries(callers, cuts, False)
    found = []
    if others[0] < 10:
        found.append(f"only {others} served at the others")
    owed = there[1] * (others[0] / max(1, others[1]) - TOLERATED_SHARE)
    if there[0] + TOLERATED_CALLS < owed:
        found.append(f"RECOVER: {there[0]} of {there[1]} first tries served "
                     f"at cut gateways, {others[0]} of {others[1]} at the "
                     "others")
    runs = {}
    for run in record["runs"]:
        if run["ran"] and run["path"].startswith(RUN_ONCE):
            runs[run["attempt"]] = runs.get(run["attempt"], 0) + 1
    found += [f"{attempt} ran {count} times" for attempt, count in runs.items()
              if count > 1]
    return found, there, others


def longest_unserved(callers, cuts):
    """Seconds from the beginning of a cut to the last first try at a cut
    gateway that was not served."""
    late = [one["began"] - cut.began for cut in cuts
            for one in callers.seen.values()
            if one["address"] in cut.addresses and one["status"] != 200 and
            cut.began <= one["began"] < cut.ended]
    return max(late, default=0.0)


async def play_cuts(fleet, plan, draw):
    loop = asyncio.get_running_loop()
    beside = Beside(fleet, draw)
    cuts = []
    for _ in range(plan.cuts):
        count = max(1, round(plan.share * len(fleet.gateways)))
        chosen = draw.sample(fleet.gateways, count)
        for gateway in chosen:
            fleet.cut(gateway, plan.how)
        began = loop.time()
        trouble = asyncio.create_task(getattr(beside, plan.beside)(chosen))
        await asyncio.sleep(plan.cut_s)
        for gateway in chosen:
            fleet.heal(gateway)
        cuts.append(Cut({g.addresses["front"] for g in chosen}, began,
                        loop.time()))
        await trouble
        await asyncio.sleep(PAUSE_S)
    return cuts


async def play(build, seed, count=7, **chosen):
    """Returns what was broken, a line about it, and the fleet."""
    plan = Plan.drawn(seed, **chosen)
    draw = random.Random(seed)
    targets = max(6, round(count * RUNNERS_PER_GATEWAY))
    fleet = LinkedFleet(build, seed, gateways=count, engines=targets * 2 // 3,
                        plain=targets // 3)
    try:
        await fleet.start()
        callers = DirectoryCallers(fleet, draw, plan.calls_a_second)
        load = asyncio.create_task(callers.run())
        await asyncio.sleep(BEFORE_S)
        cuts = await play_cuts(fleet, plan, draw)
        await asyncio.sleep(AFTER_S)
        callers.stop = True
        await load
        found, there, others = judge(callers, cuts,
                                     await fleet.control("/record"))
        found += callers.violations
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
        if found:
            (pathlib.Path(fleet.folder) / "callers.json").write_text(
                json.dumps(callers.seen, indent=0))
    finally:
        fleet.stop()
    statuses = {}
    for one in callers.seen.values():
        for cut in cuts:
            if one["address"] in cut.addresses and \
                    cut.began <= one["began"] < cut.ended:
                statuses[one["status"]] = statuses.get(one["status"], 0) + 1
    text = (f"seed {seed}: {count} gateways, {plan.text()}; {there[0]} of "
            f"{there[1]} first tries served at cut gateways, {others[0]} of "
            f"{others[1]} at the others, the last unserved one "
            f"{longest_unserved(callers, cuts):.1f} s after a cut began, "
            f"statuses there {statuses}, {len(found)} violations")
    return found, text, fleet
