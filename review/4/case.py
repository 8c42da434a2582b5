"""One answer of one faulty runner ends the gateway's process, and with it all
requests that it had passed on to sound runners."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as s

CONSUMERS = 8
# One answer in 26 of one runner of four: a share of .25, x of .04.
WHOLE_ANSWERS = 25
WORK_S = 1.0
# More than three is what the rule allows.
ALLOWED = 3


class FaultyRunner(s.Runner):
    """With trouble, it truncates one answer: the head names a length that does
    not fit, and the channel ends after some bytes."""

    answered = 0

    async def run(self, request, writer):
        self.answered += 1
        if not s.TROUBLE or self.answered <= WHOLE_ANSWERS:
            return await super().run(request, writer)
        self.note_run(request)
        head = "HTTP/1.1 200 OK\r\n"
        for name, value in self.headers(request):
            head += f"{name}: {value}\r\n"
        head += f"Content-Length: {1 << 50}\r\n\r\n"
        writer.write(head.encode() + b"some bytes")
        await writer.drain()
        self.world.note(self.id, "truncates an answer and closes the channel")
        return False


async def case(world):
    await world.configure(
        [s.route("orders", "/orders/", "unsafe", "desk", max_attempts=1),
         s.route("stock", "/stock/", "safe", "stock")],
        plain_services=["desk", "stock"])
    for i in range(3):
        await world.add_runner(
            s.Runner(world, f"i-desk{i}", "desk", work_s=WORK_S))
    await world.add_runner(FaultyRunner(world, "i-stock0", "stock"))
    await world.start_gateways(1)
    gateway = world.gateways[0]

    async def ask(channel, method, path):
        attempt = world.new_id()
        world.note("sent", attempt, method, path)
        answer = await channel.ask(method, path,
                                   world.request_headers(attempt, 8000),
                                   b"order" if method == "POST" else b"")
        world.note("answered", attempt, answer)
        return answer

    # A first request on each channel, so that it is a kept one.
    channels = [s.Channel(gateway.front) for _ in range(CONSUMERS)]
    for channel in channels:
        await channel.open()
    warm = await asyncio.gather(*(ask(c, "POST", "/orders/a")
                                  for c in channels))
    other = s.Channel(gateway.front)
    await other.open()
    whole = [await ask(other, "GET", "/stock/a") for _ in range(WHOLE_ANSWERS)]
    if any(a.status != 200 for a in [*warm, *whole]):
        raise RuntimeError("the calm requests were not served")

    orders = [asyncio.create_task(ask(c, "POST", "/orders/b"))
              for c in channels]
    await asyncio.sleep(WORK_S / 2)
    await ask(other, "GET", "/stock/b")
    answers = await asyncio.gather(*orders)
    lost = [a for a in answers if a.status is None]
    world.note("gateway runs:", gateway.is_running(), "exit status:",
               gateway.process.poll())
    if len(lost) > ALLOWED:
        return [f"LOST: {len(lost)} of {CONSUMERS} requests that sound runners "
                "were at work on got no answer on their kept channels"]
    return []


if __name__ == "__main__":
    s.main(case, __file__)
