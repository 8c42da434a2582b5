"""All gateways are killed or lose power and come back, beside drawn trouble.

RECOVER as the users' rules have it: of the requests sent later than
`recovery_s` after the machines are back, a quarter or more is served, if a
quarter or more was before. A machine without power is one whose process is
stopped: its connections hang, and are reset once its next process starts.
All runners may lose power at the same moment, and a port of each gateway may
still be in use when its next process starts."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import signal

import platform_check
from fleet import reserve_port
from late_start_scenario import PORTS, held_port
from platform_fleet import Callers, PlatformFleet

RECOVERY_S = 15
BEFORE_S = 6
JUDGED_S = 6
SHARE_OWED = 0.25
# Parts of the paths of requests: each kind is owed the share by itself.
KINDS_JUDGED = ["/stream/", "/once-stream/", "/safe/", "/unsafe/"]
# With this factor an answer of the stand-in takes 0.7 s from its first event.
SLOW_ANSWERS = 6
RUNNERS_PER_GATEWAY = 45 / 63
FEWEST_RUNNERS = 18
PORTS_HELD_S = 3.0
RUNNERS_LOST = ["none", "none", "engines", "all"]
# The platform's pause before it starts a process again that has ended.
RESTART_S = 1.0


@dataclasses.dataclass
class Plan:
    """What one seed plays."""

    how: str            # kill, power
    order: str          # together, halves, one_by_one, some_never
    beside: list        # names of troubles, see `Troubles`
    first_parts: int    # from which the prompts draw theirs
    read_ms: int        # of the prompts at the runners
    down_s: float
    trouble_after_s: float  # after the return of the first machine
    lost_runners: str = "none"  # at the moment of the fault: engines, all
    held_port: str = ""     # of each gateway at its return, see `PORTS`
    held_s: float = PORTS_HELD_S    # from the start of the first gateway on
    restarts: bool = True   # a gateway that ends by itself is started again
    # Whose answers come with the head alone and the body behind it, from the
    # fault on: store, runners, all.
    heads_alone: str = ""
    heads_share: float = 1.0    # of these answers

    @staticmethod
    def drawn(seed, **chosen):
        """`chosen` fields are taken in place of what the seed draws."""
        draw = random.Random(seed)
        beside = chosen.pop("beside", None)
        plan = Plan(how=draw.choice(["kill", "power"]),
                    order=draw.choice(["together", "together", "halves",
                                       "one_by_one", "some_never"]),
                    beside=beside or draw.sample(Troubles.names(), 2),
                    first_parts=draw.choice([1, 1, 6, 60]),
                    read_ms=draw.choice([60, 300, 900]),
                    down_s=0.5 + draw.random(),
                    trouble_after_s=-0.8 + 2.2 * draw.random(),
                    lost_runners=draw.choice(RUNNERS_LOST),
                    held_port=draw.choice(["", "", *PORTS]),
                    heads_alone=draw.choice(["", "", "store", "all"]))
        return dataclasses.replace(plan, **chosen)

    def usual(self):
        """How runners work where nothing is wrong with them."""
        return {"slow": SLOW_ANSWERS, "read_ms": self.read_ms // SLOW_ANSWERS}

    def text(self):
        return (f"{self.how}, back {self.order} after {self.down_s:.1f} s, "
                f"{self.first_parts} first parts read in {self.read_ms} ms, "
                f"{self.lost_runners} of the runners lost, "
                f"{self.held_port or 'no'} port held, "
                f"heads of {self.heads_alone or 'none'} alone, "
                f"beside "
                f"{' and '.join(self.beside)} at {self.trouble_after_s:+.1f} s")


def read_field(name, text):
    """The value of a field of `Plan`, from its text; its kind is as declared."""
    kind = Plan.__annotations__[name]
    return text == "True" if kind is bool else kind(text)


class Troubles:
    """What is wrong around the return, as methods."""

    def __init__(self, fleet, callers, plan, draw):
        self.fleet = fleet
        self.callers = callers
        self.usual = plan.usual()
        self.draw = draw
        self.machines_back_at = 0.0
        self.first_is_back = asyncio.Event()

    @staticmethod
    def names():
        return sorted(name for name in vars(Troubles)
                      if not name.startswith("_") and name != "names")

    def _engines(self, share):
        names = [n for n in self.fleet.runners if n.startswith("i-model")]
        return self.draw.sample(names, max(3, round(share * len(names))))

    async def _faulty(self, share, seconds, **what):
        engines = self._engines(share)
        for name in engines:
            await self.fleet.control("/runner",
                                     {"id": name, **self.usual, **what})
        await asyncio.sleep(seconds)
        for name in engines:
            await self.fleet.control("/runner", {"id": name, **self.usual})

    async def _store(self, seconds, **what):
        await self.fleet.control("/store", what)
        await asyncio.sleep(seconds)
        await self.fleet.control("/store", {})

    async def nothing(self):
        pass

    async def working_runners_crash(self):
        """Three to eight of those that work, at the first moment after the
        return at which so many do."""
        wanted = self.draw.choice([3, 3, 5, 8])
        await self.first_is_back.wait()
        for _ in range(200):
            working = await self.fleet.control("/working")
            busy = sorted((n for n in working if n.startswith("i-model") and
                           working[n]), key=lambda n: -working[n])
            if len(busy) >= wanted:
                break
            await asyncio.sleep(0.01)
        await self.fleet.control("/end", {"ids": busy[:wanted]})

    async def any_runners_crash(self):
        await self.fleet.control("/end", {"ids": self._engines(0.3)})

    async def runners_crash_in_series(self):
        for name in self._engines(0.3):
            await self.fleet.control("/end", {"ids": [name]})
            await asyncio.sleep(self.draw.random() * 0.5)

    async def all_runners_crash(self):
        await self.fleet.control("/end", {"ids": self._engines(1)})

    async def fatal_part(self):
        end = asyncio.get_running_loop().time() + 10
        while asyncio.get_running_loop().time() < end:
            gateway = self.draw.choice(self.fleet.gateways)
            await self.callers.send(gateway.addresses["front"], {},
                                    "/stream/x", fatal_part="deadbeef")
            await asyncio.sleep(self.draw.random() * 0.5)

    async def runners_fall_silent(self):
        await self._faulty(0.4, 0, hold_ms=3000)

    async def runners_fail(self):
        await self._faulty(0.4, 4, fail=0.4, shed=0.3)

    async def runners_mute(self):
        await self._faulty(0.3, 4, mute=True)

    async def runners_cut_answers(self):
        await self._faulty(0.5, 4, cut=0.3)

    async def runners_slow(self):
        await self._faulty(0.5, 4, slow=SLOW_ANSWERS * 4)

    async def runners_leave(self):
        for name in self._engines(0.15):
            await self.fleet.control("/runner", {"id": name, "leave": "says"})

    async def store_away(self):
        await self._store(5, silent=True)

    async def store_busy(self):
        await self._store(5, busy=True)

    async def store_slow(self):
        await self._store(5, slow_ms=240)

    async def store_loses_answers(self):
        await self._store(5, lost=0.3, late_ms=2000)

    async def store_forgets(self):
        await self.fleet.control("/forget", {})

    async def configurations(self):
        for _ in range(10):
            await self.fleet.configure()
            await asyncio.sleep(0.3)

    async def killed_again(self):
        await asyncio.sleep(2)
        for gateway in self.fleet.gateways:
            if gateway.child.poll() is None:
                gateway.signal(signal.SIGKILL)
                gateway.child.wait()
                gateway.start()
        self.machines_back_at = asyncio.get_running_loop().time()

    async def gateways_freeze(self):
        frozen = [g for g in self.fleet.gateways if self.draw.random() < 0.3]
        for gateway in frozen:
            gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(3)
        for gateway in frozen:
            gateway.signal(signal.SIGCONT)


class FinalFault:
    """Takes all gateways, and runners with them, down and back."""

    def __init__(self, fleet, plan, draw):
        self.fleet = fleet
        self.gateways = list(fleet.gateways)
        draw.shuffle(self.gateways)
        self.plan = plan
        self.draw = draw
        self.held = contextlib.ExitStack()
        self.release = None     # the task that gives the ports free

    async def strike(self):
        number = signal.SIGKILL if self.plan.how == "kill" else signal.SIGSTOP
        for gateway in self.gateways:
            gateway.signal(number)
        if self.plan.lost_runners != "none":
            await self.fleet.control("/end", {"ids": [
                name for name in self.fleet.runners
                if self.plan.lost_runners == "all" or
                name.startswith("i-model")]})

    def pauses(self):
        """Of each gateway, in seconds before it returns after the one before
        it; shorter than the list where some never do."""
        count = len(self.gateways)
        if self.plan.order == "some_never":
            return [0.0] * max(1, round(count * self.draw.uniform(0.5, 0.85)))
        if self.plan.order == "one_by_one":
            return [0.0] + [6.0 / count] * (count - 1)
        pauses = [0.0] * count
        if self.plan.order == "halves":
            pauses[count // 2] = self.draw.uniform(1.5, 5)
        return pauses

    async def bring_back(self):
        self.release = asyncio.create_task(self.release_ports())
        for gateway, pause in zip(self.gateways, self.pauses()):
            await asyncio.sleep(pause)
            gateway.signal(signal.SIGKILL)
            gateway.child.wait()
            if self.plan.held_port and not self.release.done():
                self.held.enter_context(
                    held_port(gateway, self.plan.held_port))
            gateway.start()

    async def release_ports(self):
        if self.plan.held_port:
            await asyncio.sleep(self.plan.held_s)
        self.held.close()


class Supervisor:
    """Starts gateways again that have ended by themselves, as the platform
    does, and counts them."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.ended = 0
        self.restarted = 0

    async def watch(self, restarts):
        while True:
            await asyncio.sleep(RESTART_S)
            ended = [g for g in self.gateways if g.child.poll() not in
                     (None, -signal.SIGKILL)]
            self.ended = max(self.ended, len(ended))
            for gateway in ended if restarts else []:
                self.restarted += 1
                gateway.start()


class SteadyCallers(Callers):
    """Callers that send no more where they are refused at once. Most of what
    they send are prompts, which draw their first part from `first_parts`."""

    KINDS = ["/stream/x"] * 12 + Callers.KINDS
    PERIOD_S = 1.0
    first_parts = 1

    async def send(self, *arguments, **options):
        began = asyncio.get_running_loop().time()
        try:
            return await super().send(*arguments, **options)
        finally:
            left = began + self.PERIOD_S - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, left))

    def prompt_headers(self, attempt, path, fatal_part):
        headers = super().prompt_headers(attempt, path, fatal_part)
        if headers:
            first = f"aa{self.draw.randrange(self.first_parts):02x}:"
            headers["Prompt-Prefix"] = headers["Prompt-Prefix"].replace(
                "aa01:", first)
        return headers


def served(callers, since, until=float("inf"), kind=""):
    """Served and all of the sound requests sent in that time."""
    found = [one["status"] == 200 for one in callers.seen.values()
             if since <= one["began"] < until and not one["fatal_part"] and
             kind in one["path"]]
    return sum(found), len(found)


def first_served_after(callers, since):
    """Seconds until the end of the first answer to what was sent since."""
    ends = [one["ended"] for one in callers.seen.values()
            if one["status"] == 200 and one["began"] >= since]
    return min(ends) - since if ends else None


def judge(callers, fault_at, back_at):
    """The violations, and what was served before and after."""
    before = served(callers, fault_at - BEFORE_S + 2, fault_at - 1)
    after = served(callers, back_at + RECOVERY_S)
    found = []
    if before[0] < SHARE_OWED * before[1] or before[1] < 20:
        found.append(f"only {before} served before the fault")
    if after[0] < SHARE_OWED * after[1] or after[1] < 20:
        found.append(f"RECOVER: {after[0]} of {after[1]} served later than "
                     f"{RECOVERY_S} s after the return")
    for kind in KINDS_JUDGED:
        kept, all_of = served(callers, back_at + RECOVERY_S, kind=kind)
        if kept < SHARE_OWED * all_of:
            found.append(f"{kept} of {all_of} of {kind} served")
    return found, before, after


async def play(build, seed, count=3, **chosen):
    """Returns the texts of what broke, one line on the play, and the fleet.
    `chosen`: fields of the plan that are not drawn."""
    plan = Plan.drawn(seed, **chosen)
    draw = random.Random(seed)
    engines = max(FEWEST_RUNNERS, round(count * RUNNERS_PER_GATEWAY))
    fleet = PlatformFleet(build, seed, gateways=count, engines=engines,
                          plain=3, proxied=plan.heads_alone not in
                          ("", "store"), metrics_port=reserve_port())
    fleet.ports["metrics"] = fleet.metrics_port
    supervisor = Supervisor(fleet.gateways)
    try:
        await fleet.start()
        for name in fleet.runners:
            if name.startswith("i-model"):
                await fleet.control("/runner", {"id": name, **plan.usual()})
        callers = SteadyCallers(fleet, draw, count=max(20, count))
        callers.first_parts = plan.first_parts
        load = asyncio.create_task(callers.run())
        await asyncio.sleep(BEFORE_S)
        fault_at, back_at = await strike_and_return(fleet, callers, plan, draw)
        watch = asyncio.create_task(supervisor.watch(plan.restarts))
        await asyncio.sleep(back_at + RECOVERY_S + JUDGED_S -
                            asyncio.get_running_loop().time())
        callers.stop = True
        await load
        watch.cancel()
        found, before, after = judge(callers, fault_at, back_at)
        if supervisor.ended:
            found.append(f"FAULT: {supervisor.ended} gateways ended by "
                         "themselves after the return")
        found += callers.violations
        found += platform_check.told_state_violations(
            callers, await fleet.control("/record"), troubled(fleet, back_at))
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
        if found:
            (pathlib.Path(fleet.folder) / "callers.json").write_text(
                json.dumps(callers.seen, indent=0))
    finally:
        fleet.stop()
    first = first_served_after(callers, back_at)
    text = (f"seed {seed}: {count} gateways, {plan.text()}; served "
            f"{before[0]}/{before[1]} before, first after "
            f"{'-' if first is None else f'{first:.1f} s'}, "
            f"{served(callers, back_at, back_at + RECOVERY_S)} until "
            f"{RECOVERY_S} s, then {after[0]}/{after[1]}, "
            f"{len(found)} violations")
    return found, text, fleet


async def strike_and_return(fleet, callers, plan, draw):
    """Plays the fault with its trouble; returns when it struck and when the
    last machine was back."""
    loop = asyncio.get_running_loop()
    fault = FinalFault(fleet, plan, draw)
    troubles = Troubles(fleet, callers, plan, draw)
    await fleet.configure()
    fault_at = loop.time()
    await fault.strike()
    send_heads_alone(fleet, plan)

    async def trouble():
        await asyncio.sleep(plan.down_s + max(-plan.down_s,
                                              plan.trouble_after_s))
        await asyncio.gather(*(getattr(troubles, name)()
                               for name in plan.beside))

    beside = asyncio.create_task(trouble())
    await asyncio.sleep(plan.down_s)
    troubles.first_is_back.set()
    await fault.bring_back()
    back_at = loop.time()
    await asyncio.gather(beside, fault.release)
    return fault_at, max(back_at, troubles.machines_back_at)


def send_heads_alone(fleet, plan):
    if plan.heads_alone in ("store", "all"):
        fleet.store_proxy.heads_alone = plan.heads_share
    if plan.heads_alone in ("runners", "all"):
        for proxy in fleet.proxies.values():
            proxy.heads_alone = plan.heads_share


def troubled(fleet, back_at):
    """Address, begin and end in ms of what was done to gateways."""
    return [(g.addresses["front"], 0, int(back_at * 1000))
            for g in fleet.gateways]
