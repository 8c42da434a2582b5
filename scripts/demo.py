"""The demo: stand-ins, three daemons, and one request of each kind."""

import json
import pathlib
import signal
import sys
import threading

from fleet import Fleet, chat, wait_until

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples/pilbara"
DAEMONS = ("entry-1", "entry-2", "entry-3")
ENGINE_MEMORY = 100_000
LONG_PROMPT = 250_000


def expect(holds, message):
    if not holds:
        raise AssertionError(message)


def prompt_of(tokens):
    line = "odometer 81234 km, serviced at Newman, no faults found; "
    return (line * (tokens * 4 // len(line) + 1))[:tokens * 4]


def start(fleet):
    for number in range(1, 5):
        fleet.add_engine(f"valuer-{number}", "valuer-llm",
                         memory=ENGINE_MEMORY, prefill_rate=100_000)
    fleet.add_plain("desk-1", "dealer-desk")
    for name in DAEMONS:
        fleet.add_daemon(name)
    fleet.publish()
    for name in DAEMONS:
        fleet.start_daemon(name)
    wait_until(lambda: all(
        sum(i["phase"] == "alive" for i in fleet.dump(name)["instances"]) == 3
        for name in DAEMONS), what="daemons know each other")


def configure(fleet):
    files = [EXAMPLES / name for name in
             ("services.ini", "profiles.ini", "workspaces.ini")]
    done = fleet.tool("config", "apply", "--wait",
                      f"--operators={fleet.operators('entry-1')}", *files)
    print("configuration:", done.stdout.strip().replace("\n", "; "))
    expect("in force on 3 of 3" in done.stdout, done.stdout)


def targets_are_seen(fleet):
    wait_until(lambda: all(
        sum(t["phase"] == "alive" and t["report_age_ms"] < 5000 and
            t["total_memory_tokens"] == ENGINE_MEMORY
            for t in fleet.dump(name)["targets"]) == 4
        for name in DAEMONS), what="daemons know all engines")


def send(fleet, kind, profile, tokens):
    done = fleet.tool("send", f"--entry={fleet.callers('entry-2')}",
                      "--workspace=perth-dealers", f"--profile={profile}",
                      f"--pad-tokens={tokens}", "--json",
                      f"{kind}: what is it worth?", check=False)
    expect(done.returncode == 0, f"{kind}: {done.stdout} {done.stderr}")
    seen = json.loads(done.stdout)
    print(f"{kind}: prompt={seen['prompt_tokens']} tokens, "
          f"answer={seen['output_tokens']} tokens, first token after "
          f"{seen['first_token_seconds']:.3f} s, whole after "
          f"{seen['total_seconds']:.3f} s: {seen['text'][:48]}...")
    expect(seen["complete"], f"{kind} is not complete")
    words = len(seen["text"].split())
    expect(words == seen["output_tokens"], f"{kind}: {words} words")


def call_once(fleet):
    arguments = ("call", f"--entry={fleet.callers('entry-1')}",
                 "--workspace=perth-dealers", "--profile=certificate",
                 "--key=certificate-7", "dealer-desk", "/certificates")
    print("certificate:", fleet.tool(*arguments).stdout.strip())
    runs = fleet.control("desk-1", "GET", "/runs")
    expect(runs == {"certificate-7": 1}, f"runs: {runs}")


def stop_while_streaming(fleet):
    """A planned stop of one daemon while an answer streams through it."""
    first_chunk = threading.Event()
    answer = {}

    def stream():
        answer.update(chat(fleet.callers("entry-3"), "perth-dealers",
                           "fleet-audit", prompt_of(500),
                           on_chunk=first_chunk.set))

    reader = threading.Thread(target=stream)
    reader.start()
    expect(first_chunk.wait(30), "no first token before the stop")
    fleet.processes["entry-3"].signal(signal.SIGTERM)
    reader.join(60)
    status = fleet.processes["entry-3"].wait(60)
    print(f"planned stop: answer of {answer['tokens']} tokens whole, daemon "
          f"ended with {status}")
    expect(answer["complete"] and answer["tokens"] == 256, f"cut: {answer}")
    expect(status == 0, f"entry-3 ended with {status}")


def nothing_is_held(fleet):
    engines = [f"valuer-{number}" for number in range(1, 5)]
    wait_until(lambda: all(
        fleet.control(name, "GET", "/counts")["memory_used"] == 0
        for name in engines), limit=10, what="engines hold no memory")


def invariants_hold(fleet):
    for name in DAEMONS[:2]:
        for which, tally in fleet.dump(name)["invariants"].items():
            expect(tally["violations"] == 0, f"{name}: {which} {tally}")


def main():
    with Fleet(sys.argv[1]) as fleet:
        try:
            start(fleet)
            configure(fleet)
            targets_are_seen(fleet)
            entry = fleet.tool("entry", f"--entry={fleet.callers('entry-1')}",
                               "--workspace=perth-dealers",
                               "--place=newman-hall").stdout.split()
            print("entry addresses:", " ".join(entry))
            expect(len(entry) == 3, f"entry: {entry}")
            send(fleet, "quick appraisal", "quick-appraisal", 1_000)
            send(fleet, "dossier review", "dossier-review", 20_000)
            send(fleet, "fleet audit", "fleet-audit", LONG_PROMPT)
            call_once(fleet)
            stop_while_streaming(fleet)
            nothing_is_held(fleet)
            invariants_hold(fleet)
        except BaseException:
            for name in DAEMONS:
                print(f"--- log of {name}\n{fleet.log_of(name)}"
                      if name in fleet.processes else "", file=sys.stderr)
            raise
    print("demo: 4 answers whole, 1 certificate run once, 1 planned stop, "
          "0 requests cut, 0 tokens of engine memory held: ok")


if __name__ == "__main__":
    main()
