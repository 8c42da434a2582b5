"""The events of a stream without the runner's digest reach the consumer as a
success."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as s

CONSUMERS, REQUESTS = 8, 40
EVENTS = 5
# `garble` spoils x of the answers of a share of the runners: .5 and .04 here.
# The faulty ones are the two that are used most.
ENGINES, FAULTY = 4, 2
ANSWERS_PER_FAULT = 25


class Engine(s.Runner):
    """Answers with a stream of events. A faulty one leaves the digest out of
    one answer in 25."""

    def __init__(self, world, number):
        super().__init__(world, f"i-model{number}", "model")
        self.is_faulty = False
        self.answered = 0

    async def run(self, request, writer):
        self.note_run(request)
        self.answered += 1
        headers = self.headers(request)
        if self.is_faulty and self.answered % ANSWERS_PER_FAULT == 0:
            headers = [h for h in headers if h[0] != "Server-Seal"]
            self.world.note(self.id, "answers", request.get("Attempt-Id"),
                            "without a digest")
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in headers)
        writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
        begin = int(request.get("Last-Event-Id", "0") or 0)
        for number in range(begin + 1, EVENTS + 1):
            await asyncio.sleep(0.01)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def consumer(world, number, requests, broken):
    """Sends its requests one after the other; returns how many were served."""
    served = 0
    for i in range(requests):
        gateway = world.gateways[(number + i) % len(world.gateways)]
        attempt = world.new_id()
        world.note("sent", attempt)
        answer = await s.call(
            gateway.front, "POST", "/drafts/a", world.request_headers(
                attempt, 8000, [("Model", "m"), ("Token-Usage", "2000,200"),
                                ("Prompt-Prefix", f"a1:40,{attempt}:1960")]),
            b"prompt")
        world.note("answered", attempt, answer)
        served += answer.status == 200
        if answer.status == 200 and "server-seal" not in answer.headers:
            broken.append(f"MIXED: {attempt} got a success without the "
                          f"runner's Server-Seal, from {world.runs[attempt]}")
    return served


async def case(world):
    await world.configure(
        [s.route("drafts", "/drafts/", "streaming", "model",
                 session_affinity=True, stream_resumption=True,
                 target_gap_ms=200)],
        engine_services=["model"])
    for i in range(ENGINES):
        await world.add_runner(Engine(world, i))
    await world.start_gateways(3)
    broken = []
    await asyncio.gather(*(consumer(world, i, 5, broken)
                           for i in range(CONSUMERS)))
    if s.TROUBLE:
        by_use = sorted(world.runners, key=lambda e: -e.answered)
        for engine in by_use[:FAULTY]:
            engine.is_faulty = True
    served = sum(await asyncio.gather(*(consumer(world, i, REQUESTS, broken)
                                        for i in range(CONSUMERS))))
    if not s.TROUBLE and served < CONSUMERS * REQUESTS:
        raise RuntimeError("the calm requests were not served")
    return broken


if __name__ == "__main__":
    s.main(case, __file__)
