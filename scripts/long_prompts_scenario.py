"""More long prompts at once than the gateway has memory for.

The gateway's process stays within its memory, serves what fits, refuses the
rest as not run, and answers short calls beside them. What callers without a key
announce takes no memory from others."""

import asyncio
import random

from endless_answers_scenario import MEMORY_KB, peak_memory_kb
from platform_fleet import HOST, KEY, PlatformFleet, Reply, call, read_reply

BODY_BYTES = 900_000            # the fleet's configuration allows 1,000,000
PROMPTS = 400
CALLERS_WITHOUT_KEY = 200
SHORT_CALLS = 60
REFUSAL_LIMIT_S = 2.0           # until those without a key are refused
PAUSE_S = 0.05                  # between short calls
LIMIT_S = 12.0                  # for all of a long prompt
NO_ANSWER = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError)


async def connect(gateway):
    host, port = gateway.addresses["front"].split(":")
    return await asyncio.open_connection(host, int(port))


def head_of_prompt(draw, key):
    lines = ["POST /safe/long HTTP/1.1", f"Host: {HOST}", f"Api-Key: {key}",
             f"Content-Length: {BODY_BYTES}",
             "Attempt-Id: %016x" % draw.getrandbits(64), "Deadline-Ms: 9000"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def announce_without_key(gateway, draw):
    """Announces a long prompt and sends nothing of it; returns the connection's
    writer and the status of the answer, None without one."""
    reader, writer = await connect(gateway)
    writer.write(head_of_prompt(draw, "no-key"))
    reply = Reply()
    try:
        await asyncio.wait_for(read_reply(reader, reply), REFUSAL_LIMIT_S)
    except NO_ANSWER:
        pass
    return writer, reply.status


async def prompts_beside_callers_without_key(gateway, draw):
    """What is broken for long prompts beside callers without a key."""
    without_key = [asyncio.create_task(announce_without_key(gateway, draw))
                 for _ in range(CALLERS_WITHOUT_KEY)]
    await asyncio.sleep(REFUSAL_LIMIT_S / 2)
    sent = Countdown(1)
    status, _ = await send_prompt(gateway, draw, sent)
    found = [] if status == 200 else [
        f"a long prompt beside callers without a key: {status}"]
    answers = await asyncio.gather(*without_key)
    refused = sum(answer == 401 for _, answer in answers)
    if refused != CALLERS_WITHOUT_KEY:
        found.append(f"{refused} of {CALLERS_WITHOUT_KEY} callers without a "
                     "key refused")
    for writer, _ in answers:
        writer.close()
    return found


async def send_prompt(gateway, draw, all_sent):
    """Sends a long prompt but for its last byte, and that once `all_sent`.
    Returns the status of the answer, None without one, and its headers."""
    reader, writer = await connect(gateway)
    reply = Reply()
    reading = asyncio.create_task(read_reply(reader, reply))
    try:
        writer.write(head_of_prompt(draw, KEY) + b"p" * (BODY_BYTES - 1))
        await writer.drain()
        all_sent.count_down()
        await all_sent.wait()
        if not reading.done():
            writer.write(b"p")
    except OSError:
        all_sent.count_down()
    try:
        await asyncio.wait_for(reading, LIMIT_S)
        return reply.status, reply.headers
    except NO_ANSWER:
        return None, {}
    finally:
        writer.close()


class Countdown:
    """Lets its waiters go on when as many have counted down."""

    def __init__(self, count):
        self.left = count
        self.done = asyncio.Event()

    def count_down(self):
        self.left -= 1
        if self.left <= 0:
            self.done.set()

    async def wait(self):
        try:
            await asyncio.wait_for(self.done.wait(), LIMIT_S)
        except asyncio.TimeoutError:
            pass


async def short_call(gateway, draw):
    try:
        reply = await call(gateway.addresses["front"], "POST", "/safe/short",
                           {"Attempt-Id": "%016x" % draw.getrandbits(64),
                            "Api-Key": KEY, "Deadline-Ms": 9000},
                           body="short", limit=10)
        return reply
    except NO_ANSWER:
        return None


async def short_calls(gateway, draw):
    """The answers, None for a call without one."""
    replies = []
    for _ in range(SHORT_CALLS):
        replies.append(await short_call(gateway, draw))
        await asyncio.sleep(PAUSE_S)
    return replies


async def play(build, seed):
    """Returns what was broken, a line about it, and the fleet."""
    draw = random.Random(seed)
    fleet = PlatformFleet(build, seed, gateways=1, engines=1, plain=3,
                          proxied=False)
    found = []
    try:
        await fleet.start()
        gateway = fleet.gateways[0]
        found += await prompts_beside_callers_without_key(gateway, draw)
        calls = asyncio.create_task(short_calls(gateway, draw))
        all_sent = Countdown(PROMPTS)
        long = await asyncio.gather(*(send_prompt(gateway, draw, all_sent)
                                      for _ in range(PROMPTS)))
        short = await calls
        served = sum(status == 200 for status, _ in long)
        refused = [headers for status, headers in long if status == 503]
        if gateway.child.poll() is not None:
            found.append("the gateway has ended")
            peak = 0
        else:
            peak = peak_memory_kb(gateway)
        if peak > MEMORY_KB:
            found.append(f"{peak} KB of {MEMORY_KB}")
        lost = sum(reply is None for reply in short)
        if lost:
            found.append(f"{lost} short calls have no answer")
        # Their runners may be busy, but there is memory for a few bytes.
        crowded_out = sum(reply is not None and "no_memory" in reply.body
                          for reply in short)
        if crowded_out:
            found.append(f"{crowded_out} short calls found no memory")
        if not served:
            found.append("no long prompt was served")
        if any("retry-after" not in headers for headers in refused):
            found.append("a refusal names no time to return")
        unanswered = sum(status is None for status, _ in long)
        if unanswered:
            found.append(f"{unanswered} long prompts have no answer")
        found += [f"{g.name}: invariant" for g in fleet.gateways
                  if "invariant" in g.log()]
    finally:
        fleet.stop()
        # The connections end with the gateway.
        await asyncio.sleep(0.3)
    return found, (f"seed {seed}: {served} of {PROMPTS} long prompts served, "
                   f"{len(refused)} refused, peak {peak} KB, "
                   f"{len(found)} violations"), fleet
