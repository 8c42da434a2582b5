"""Runs real daemons and stand-ins on loopback, kills, pauses and stops them
under load, and checks what callers saw against what engines and services
counted. Each scenario prints a line; the last line counts them."""

import argparse
import contextlib
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

import raw_server
from fleet import (TOKEN, Fleet, Process, chat, http_json, is_listening,
                   wait_until)

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples/pilbara"
FILES = [EXAMPLES / name for name in
         ("services.ini", "profiles.ini", "workspaces.ini")]
SHORT = "what is this vehicle worth? " * 20


def expect(holds, message):
    if not holds:
        raise AssertionError(message)


class Caller(threading.Thread):
    """Sends requests one after another, as docs/CALLERS.md asks for: keeps an
    entry answer for its time and goes on to the next address only where a
    connection was refused."""

    def __init__(self, fleet, number, stop):
        super().__init__()
        self.fleet = fleet
        self.number = number
        self.stop = stop
        self.addresses = []
        self.keep_until = 0.0
        self.complete = 0
        self.refused = []
        self.cut = []

    def run(self):
        while not self.stop.is_set():
            self.send_one()

    def entry(self):
        if time.monotonic() < self.keep_until and self.addresses:
            return self.addresses
        for one in self.fleet.instances:
            try:
                status, answer = http_json(
                    "GET", one["callers"],
                    f"/v1/entry?workspace=w{self.number}")
            except OSError:
                continue
            if status == 200 and answer["addresses"]:
                self.addresses = answer["addresses"]
                self.keep_until = time.monotonic() + answer["keep_ms"] / 1000
                return self.addresses
        raise AssertionError("no daemon gives an entry answer")

    def send_one(self):
        for address in self.entry():
            try:
                seen = chat(address, f"w{self.number}", "quick-appraisal",
                            SHORT)
            except ConnectionRefusedError:
                continue
            except (OSError, http.client.HTTPException) as failure:
                self.cut.append(repr(failure))
                return
            if seen["complete"] and len(seen["text"].split()) == 64:
                self.complete += 1
            elif seen["status"] == 503 and '"not-run"' in seen["problem"]:
                self.refused.append(seen["problem"])
            else:
                self.cut.append(str(seen))
            return
        self.keep_until = 0.0


def start(fleet, daemons, engines=4, keep_ms=1000):
    for number in range(engines):
        fleet.add_engine(f"valuer-{number}", "valuer-llm", memory=100_000,
                         prefill_rate=100_000, step_ms=4)
    fleet.add_plain("desk-0", "dealer-desk", work_ms=20)
    fleet.add_plain("desk-1", "dealer-desk", work_ms=20)
    names = [f"entry-{number}" for number in range(daemons)]
    for name in names:
        fleet.add_daemon(name, entry_keep_ms=keep_ms)
    fleet.publish()
    for name in names:
        fleet.start_daemon(name)
    wait_until(lambda: all(alive(fleet, name) == daemons for name in names),
               what="daemons know each other")
    return names


def alive(fleet, name):
    return sum(i["phase"] == "alive" for i in fleet.dump(name)["instances"])


def configure(fleet, name, *further_files):
    done = fleet.tool("config", "apply", "--wait",
                      f"--operators={fleet.operators(name)}", *FILES,
                      *further_files)
    expect("accepted" in done.stdout, done.stdout)


def wait_for_engines(fleet, names, engines=4):
    wait_until(lambda: all(
        sum(t["total_memory_tokens"] == 100_000 and t["phase"] == "alive"
            for t in fleet.dump(name)["targets"]) >= engines for name in names),
        what="daemons have heard of all engines")


def nothing_is_held(fleet, engines=4, limit=30):
    wait_until(lambda: all(
        fleet.control(f"valuer-{n}", "GET", "/counts")["memory_used"] == 0
        for n in range(engines)), limit=limit, what="engines hold no memory")


def no_violations(fleet, names):
    for name in names:
        for which, tally in fleet.dump(name)["invariants"].items():
            expect(tally["violations"] == 0, f"{name}: {which} {tally}")


def configuration_everywhere(build, daemons):
    """An accepted change is in force on all daemons, and operators who race
    are told of each other."""
    with Fleet(build) as fleet:
        names = start(fleet, daemons)
        configure(fleet, names[0])
        begin = time.monotonic()
        done = fleet.tool("profile", "put", "--wait",
                          f"--operators={fleet.operators(names[1])}",
                          EXAMPLES / "profiles.ini")
        took = time.monotonic() - begin
        expect(f"in force on {daemons} of {daemons}" in done.stdout,
               done.stdout)
        raced = [fleet.tool("config", "apply", "--based-on=2",
                            f"--operators={fleet.operators(name)}",
                            EXAMPLES / "workspaces.ini", check=False)
                 for name in names[:2]]
        expect([r.returncode for r in raced] == [0, 3],
               str([(r.returncode, r.stderr) for r in raced]))
        expect("changed meanwhile" in raced[1].stderr, raced[1].stderr)
        return f"{daemons} daemons, in force and told within {took:.2f} s"


def stop_at_its_limit(build, _):
    """What is open when the time of a planned stop runs out is told that it may
    have run; its connection is not just closed."""
    with Fleet(build) as fleet:
        fleet.add_plain("desk-0", "dealer-desk", work_ms=8000)
        fleet.add_daemon("entry-0", entry_keep_ms=500, drain_limit_ms=500)
        fleet.publish()
        fleet.start_daemon("entry-0")
        configure(fleet, "entry-0")
        wait_until(lambda: fleet.dump("entry-0")["targets"],
                   what="the target is known")
        address = fleet.callers("entry-0")
        prefix = http_json("GET", address, "/v1/entry?workspace=w")[1][
            "ticket_prefix"]
        found = {}

        def call(key):
            found[key] = once(fleet, address, prefix, key)

        callers = [threading.Thread(target=call, args=(key,))
                   for key in ("early", "late")]
        callers[0].start()
        time.sleep(0.3)
        fleet.processes["entry-0"].signal(signal.SIGTERM)
        time.sleep(0.2)
        callers[1].start()
        for caller in callers:
            caller.join()
        expect(found == {"early": "unknown", "late": "unknown"}, str(found))
        return f"{len(found)} calls of 8 s told after a stop of 1 s"


def rolling_restart(build, daemons):
    """Every daemon is stopped as planned and started again under load."""
    with Fleet(build) as fleet:
        names = start(fleet, daemons)
        configure(fleet, names[0])
        wait_for_engines(fleet, names)
        stop = threading.Event()
        callers = [Caller(fleet, number, stop) for number in range(8)]
        for caller in callers:
            caller.start()
        try:
            for name in names:
                fleet.processes[name].signal(signal.SIGTERM)
                status = fleet.processes[name].wait(60)
                expect(status == 0, f"{name} ended with {status}")
                fleet.start_daemon(name)
                wait_until(lambda: alive(fleet, names[0]) == daemons,
                           what=f"{name} is back")
        finally:
            stop.set()
            for caller in callers:
                caller.join()
        cut = [each for caller in callers for each in caller.cut]
        refused = [each for caller in callers for each in caller.refused]
        complete = sum(caller.complete for caller in callers)
        expect(not cut, f"{len(cut)} requests cut: {cut[:2]}")
        expect(complete > 100, f"only {complete} answers")
        nothing_is_held(fleet)
        no_violations(fleet, names)
        return (f"{daemons} daemons restarted, {complete} answers whole, "
                f"{len(refused)} refused as not-run, 0 cut")


def engine_dies(build, _):
    """Engines are killed while they answer; answers go on elsewhere."""
    with Fleet(build) as fleet:
        names = start(fleet, 2)
        configure(fleet, names[0])
        wait_for_engines(fleet, names)
        whole = 0
        for victim in ("valuer-0", "valuer-1"):
            began = threading.Event()
            answers = [{} for _ in range(8)]

            def read(into):
                into.update(chat(fleet.callers(names[0]), "w", "fleet-audit",
                                 SHORT, on_chunk=began.set))

            readers = [threading.Thread(target=read, args=(into,))
                       for into in answers]
            for reader in readers:
                reader.start()
            expect(began.wait(30), "no answer began")
            fleet.processes[victim].signal(signal.SIGKILL)
            for reader in readers:
                reader.join()
            for answer in answers:
                words = len(answer["text"].split())
                expect(answer["complete"] and words == 256, str(answer)[:500])
                whole += 1
        expect(len({answer["text"] for answer in answers}) == 1,
               "equal prompts have different answers")
        no_violations(fleet, names)
        return f"2 engines killed, {whole} answers whole and right"


def engine_paused(build, _):
    """The only engine is frozen for longer than a stream may be silent twice,
    and wakes again; its answers go on and none is begun anew."""
    with Fleet(build) as fleet:
        names = start(fleet, 1, engines=1)
        configure(fleet, names[0])
        wait_for_engines(fleet, names, engines=1)
        began = [threading.Event() for _ in range(4)]
        answers = [{} for _ in began]
        readers = [threading.Thread(target=lambda n=n: answers[n].update(
            chat(fleet.callers(names[0]), "w", "fleet-audit", SHORT,
                 on_chunk=began[n].set))) for n in range(len(began))]
        for reader in readers:
            reader.start()
        expect(all(each.wait(30) for each in began), "no answer began")
        fleet.processes["valuer-0"].signal(signal.SIGSTOP)
        time.sleep(15)
        fleet.processes["valuer-0"].signal(signal.SIGCONT)
        for reader in readers:
            reader.join()
        for answer in answers:
            words = len(answer["text"].split())
            expect(answer["complete"] and words == 256, str(answer)[:500])
        expect(len({answer["text"] for answer in answers}) == 1,
               "equal prompts have different answers")
        opened = fleet.control("valuer-0", "GET", "/counts")["opened"]
        expect(opened == len(answers), f"{opened} streams were opened")
        nothing_is_held(fleet, engines=1)
        no_violations(fleet, names)
        return f"1 engine frozen for 15 s, {len(answers)} answers whole"


def instance_paused(build, _):
    """A daemon is frozen and wakes again; its callers get their answers."""
    with Fleet(build) as fleet:
        names = start(fleet, 3)
        configure(fleet, names[0])
        wait_for_engines(fleet, names)
        began = threading.Event()
        answer = {}
        reader = threading.Thread(target=lambda: answer.update(
            chat(fleet.callers(names[2]), "w", "fleet-audit", SHORT,
                 on_chunk=began.set)))
        reader.start()
        expect(began.wait(30), "no answer began")
        fleet.processes[names[2]].signal(signal.SIGSTOP)
        wait_until(lambda: alive(fleet, names[0]) == 2,
                   what="the frozen daemon is not named")
        fleet.processes[names[2]].signal(signal.SIGCONT)
        reader.join()
        expect(answer["complete"], str(answer)[:500])
        wait_until(lambda: alive(fleet, names[0]) == 3,
                   what="the daemon is named again")
        nothing_is_held(fleet)
        no_violations(fleet, names)
        return "1 daemon frozen until forgotten, its answer whole"


def once(fleet, address, ticket, key, body="{}", profile="certificate"):
    """One call to the plain service; returns the outcome."""
    connection = http.client.HTTPConnection(address, timeout=30)
    try:
        connection.request(
            "POST", "/v1/services/dealer-desk/certificates", body,
            {"Content-Type": "application/json",
             "Pollenstream-Workspace": "perth-dealers",
             "Pollenstream-Profile": profile,
             "Pollenstream-Ticket": ticket + key})
        reply = connection.getresponse()
        body = json.loads(reply.read())
        return "complete" if reply.status == 200 else body["outcome"]
    except (OSError, http.client.HTTPException):
        return "lost"
    finally:
        connection.close()


def at_most_once(build, _):
    """Certificates are sent again at other daemons, at the same time, in an
    outage of the store, and after their instance has died."""
    with Fleet(build) as fleet:
        names = start(fleet, 3)
        configure(fleet, names[0])
        wait_for_engines(fleet, names)
        http_json("POST", fleet.controls["store"], "/fault?outage=yes", {})
        outcomes = {}
        told = threading.Lock()

        def certificate(number):
            key = f"certificate-{number}"
            owner = fleet.callers(names[number % 3])
            ticket = http_json("GET", owner, "/v1/entry")[1]["ticket_prefix"]
            tries = [threading.Thread(target=note, args=(
                key, fleet.callers(name), ticket)) for name in names]
            for one in tries:
                one.start()
            for one in tries:
                one.join()

        def note(key, address, ticket):
            outcome = once(fleet, address, ticket, key)
            with told:
                outcomes.setdefault(key, []).append(outcome)

        for number in range(60):
            if number == 45:
                fleet.processes[names[2]].signal(signal.SIGKILL)
                fleet.processes[names[2]].wait(10)
            if number >= 45 and number % 3 == 2:
                continue
            certificate(number)
        runs = {}
        for desk in ("desk-0", "desk-1"):
            for key, count in fleet.control(desk, "GET", "/runs").items():
                runs[key] = runs.get(key, 0) + count
        doubled = {key: count for key, count in runs.items() if count > 1}
        expect(not doubled, f"run more than once: {doubled}")
        for key, seen in outcomes.items():
            ran = runs.get(key, 0)
            expect("complete" not in seen or ran == 1, f"{key}: {seen}, {ran}")
            expect("not-run" not in seen or ran == 0, f"{key}: {seen}, {ran}")
        no_violations(fleet, names[:2])
        return (f"{len(outcomes)} certificates sent 3 times each in a store "
                f"outage, {len(runs)} run once, 0 doubled")


def bad_input(build, _):
    """Malformed, oversized and foreign requests are refused with their fault,
    and the daemon lives on."""
    with Fleet(build) as fleet:
        names = start(fleet, 1)
        configure(fleet, names[0])
        wait_for_engines(fleet, names)
        address = fleet.callers(names[0])
        headers = {"Pollenstream-Workspace": "w",
                   "Pollenstream-Profile": "quick-appraisal"}

        def post(body, extra=None, path="/v1/chat/completions"):
            connection = http.client.HTTPConnection(address, timeout=30)
            connection.request("POST", path, body, {**headers, **(extra or {})})
            reply = connection.getresponse()
            text = reply.read()
            connection.close()
            return reply.status, text.decode()

        cases = [
            (post("{"), 400, "Line 1"),
            (post("[" * 100_000), 400, "nested too deep"),
            (post("{}"), 400, "$.messages"),
            (post('{"messages":[{"role":"user"}]}'), 400, "$.messages[0].content"),
            (post('{"messages":[{"role":"user","content":1}]}'), 400, "string"),
            (post("{}", {"Pollenstream-Workspace": ""}), 400, "Workspace"),
            (post("{}", {"Pollenstream-Deadline-Ms": "soon"}), 400, "Deadline"),
            (post("{}", path="/nowhere"), 404, "unknown-path"),
            (post('{"messages":[{"role":"u","content":"x"}]}',
                  {"Pollenstream-Profile": "none"}), 404, "unknown-profile"),
            (post("{}", path="/v1/services/dealer-desk/x"), 503, "unknown"),
        ]
        cases[-1] = (post("{}", {"Pollenstream-Profile": "certificate",
                                 "Idempotency-Key": "k"},
                          "/v1/services/dealer-desk/x"), 428, "ticket-required")
        for (status, text), wanted, part in cases:
            expect(status == wanted and part in text,
                   f"wanted {wanted} {part}: {status} {text}")
            expect('"not-run"' in text, text)
        connection = http.client.HTTPConnection(address, timeout=30)
        connection.putrequest("POST", "/v1/chat/completions")
        connection.putheader("Content-Length", str(1 << 40))
        connection.endheaders()
        connection.send(b"x" * (1 << 20))
        status, text = post("x" * (20 << 20))
        expect(status == 413 and "too-large" in text, f"{status} {text}")
        connection.close()
        status, _ = http_json("GET", fleet.operators(names[0]), "/v1/dump",
                              headers={"Authorization": "Bearer wrong"})
        expect(status == 401, f"a wrong token gives {status}")
        seen = chat(address, "w", "quick-appraisal", SHORT)
        expect(seen["complete"], str(seen))
        return f"{len(cases) + 2} bad requests refused, the next one served"


def held_ports(build, _):
    """A daemon waits for a port that another process has, serves callers
    without the operators' one, and can be stopped while it waits."""
    with Fleet(build) as fleet:
        name = start(fleet, 1)[0]
        configure(fleet, name)
        file, callers, operators = fleet.settings[name]
        held = {"callers": callers, "peers": fleet.instances[0]["peers"],
                "operators": operators}
        for what, address in held.items():
            fleet.processes[name].end()
            with holding(address):
                run_daemon(fleet, name, file)
                if what == "operators":
                    wait_until(lambda: is_listening(callers),
                               what="callers are served without operators")
                time.sleep(1)
                expect(fleet.processes[name].child.poll() is None,
                       f"{what}: the daemon has ended")
                expect(f"waits for {address}" in fleet.log_of(name),
                       f"{what}: no line tells that the daemon waits")
            wait_until(lambda: is_listening(address), what=f"{what} is open")
            wait_until(lambda: is_listening(callers), what="callers' port")
        fleet.processes[name].end()
        with holding(callers):
            run_daemon(fleet, name, file)
            time.sleep(0.5)
            fleet.processes[name].signal(signal.SIGTERM)
            expect(fleet.processes[name].wait(10) == 0, "no planned stop")
    return f"{len(held)} ports"


@contextlib.contextmanager
def holding(address):
    host, port = address.split(":")
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((host, int(port)))
        holder.listen()
        yield


def run_daemon(fleet, name, file):
    fleet.processes[name] = Process(
        name, [str(fleet.build / "pollenstreamd"), f"--settings={file}"],
        fleet.directory.name)


PIECE = b"x" * 65536
FIELDS = b"X-Field: value\r\n" * 4096
STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
# First bytes of an answer, and those that follow again and again.
ENDLESS_ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", PIECE), "field": (STATUS + b"X: ", PIECE),
    "fields": (STATUS, FIELDS), "chunk extension": (CHUNKED + b"4;", PIECE),
    "trailer": (CHUNKED + b"0\r\n", FIELDS),
    "interim answer": (b"HTTP/1.1 102 Processing\r\nX: ", PIECE),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2048)}
ENDLESS_REQUESTS = {"target": (b"GET /", PIECE),
                    "field": (b"GET / HTTP/1.1\r\nX: ", PIECE),
                    "fields": (b"GET / HTTP/1.1\r\n", FIELDS)}
ENDLESS_SECONDS = 2.0
# Exceeds what the kernel buffers.
LARGE_UPLOAD = "u" * 12_000_000
PART_OF_ANSWER = b"HTTP/1.1 200 OK\r\n\r\n" + b"[]" + b" " * 880
WHOLE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
IDEMPOTENT_PROFILE = """[profile lookup]
service = dealer-desk
time_base_ms = 10000
retries = 1
"""
# What a head of 16 KiB a connection may come to, with the library's buffers.
MOST_GROWTH_KB = 64 * 1024


def send_on(repeated):
    """An end of a reply that does not come."""
    return lambda connection: send_without_end(connection, b"", repeated,
                                               ENDLESS_SECONDS)


def send_without_end(connection, first, repeated, seconds):
    end = time.monotonic() + seconds
    connection.settimeout(seconds)
    connection.sendall(first)
    while time.monotonic() < end:
        connection.sendall(repeated)


def request_without_end(address, first, repeated):
    host, port = address.split(":")
    with contextlib.suppress(OSError), \
            socket.create_connection((host, int(port))) as connection:
        send_without_end(connection, first, repeated, ENDLESS_SECONDS)


def peak_memory_kb(process):
    status = pathlib.Path(f"/proc/{process.child.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines()
                if line.startswith("VmHWM:"))


def endless_heads(build, _):
    """Heads without end, of targets and of callers without a key, take no
    memory and no request of others."""
    with Fleet(build) as fleet:
        name = start(fleet, 1)[0]
        configure(fleet, name)
        wait_for_engines(fleet, [name])
        process = fleet.processes[name]
        before = peak_memory_kb(process)
        sound = list(fleet.targets)
        for way, (first, repeated) in ENDLESS_ANSWERS.items():
            server = raw_server.RawServer(raw_server.Replies(
                (first, send_on(repeated))))
            fleet.targets = list(sound)
            replace_targets(fleet, name, "dealer-desk", server.address, way)
            post_calls(fleet, name, 3)
            server.close()
            check_growth(process, before, way)
        for port in (fleet.callers(name), fleet.operators(name)):
            for way, sent in ENDLESS_REQUESTS.items():
                senders = [threading.Thread(target=request_without_end,
                                            args=(port, *sent))
                           for _ in range(3)]
                for sender in senders:
                    sender.start()
                for sender in senders:
                    sender.join()
                check_growth(process, before, way)
        seen = chat(fleet.callers(name), "w", "quick-appraisal", SHORT)
        expect(seen["complete"], str(seen))
        return (f"{len(ENDLESS_ANSWERS)} answers, {len(ENDLESS_REQUESTS)} "
                f"requests at two ports, {peak_memory_kb(process)} KB")


def post_calls(fleet, name, count):
    """Calls to the plain service at the same time; none is completed, and each
    is answered."""
    address = fleet.callers(name)
    prefix = http_json("GET", address, "/v1/entry?workspace=w")[1][
        "ticket_prefix"]
    found = []

    def post(key):
        found.append(once(fleet, address, prefix, key))

    callers = [threading.Thread(target=post, args=(f"{time.monotonic()}-{n}",))
               for n in range(count)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    expect(len(found) == count and set(found) <= {"unknown", "failed"},
           f"calls were {found}")


def check_growth(process, before, way):
    expect(process.child.poll() is None, f"{way}: the daemon has ended")
    growth = peak_memory_kb(process) - before
    expect(growth < MOST_GROWTH_KB, f"{way}: memory grew by {growth} KB")


ODD_ENTRIES = ({"id": "odd", "service": "valuer-llm", "place": "p",
                "address": "127.0.0.1:70000", "state": "live"},
               {"id": "odd", "service": "s", "address": "127.0.0.1:9",
                "state": "odd"},
               {"service": "s", "address": "127.0.0.1:9"}, 7, None)
ODD_REASONS = 4                 # the last two are no objects


def odd_list_entries(build, _):
    """Entries of the list that cannot be used are left out alone, in a daemon
    that runs and in one that starts, which say so."""
    with Fleet(build) as fleet:
        name = start(fleet, 1)[0]
        configure(fleet, name)
        wait_for_engines(fleet, [name])
        known = 4
        for odd in ODD_ENTRIES:
            fleet.targets.insert(0, odd)
            known += 1
            fleet.add_engine(f"after-{known}", "valuer-llm",
                             memory=100_000, prefill_rate=100_000, step_ms=4)
            fleet.publish()
            wait_for_engines(fleet, [name], known)
        expect(fleet.dump(name)["control"]["unusable_entries"] > 0,
               "no counter tells of odd entries")
        told = fleet.log_of(name).count("left out")
        expect(told == ODD_REASONS, f"{told} lines tell of odd entries, "
                                    f"which are for {ODD_REASONS} reasons")
        fleet.start_daemon(name)
        wait_for_engines(fleet, [name], known)
    return f"{known} engines known beside odd entries"


def replace_targets(fleet, name, service, address, label):
    """Puts one address in the place of all targets of a service."""
    fleet.targets = [one if one["service"] != service else
                     {**one, "id": f"{label}-{one['id']}", "address": address}
                     for one in fleet.targets]
    fleet.publish()
    wait_until(lambda: any(label in t["id"] for t in
                           fleet.dump(name)["targets"]),
               what="the target is known")


def cut_beside_upload(build, _):
    """Part of an answer whose connection ends while the upload is written is
    no answer; one that ends in an orderly way is."""
    with Fleet(build) as fleet:
        fleet.add_plain("desk-0", "dealer-desk")
        fleet.add_plain("desk-1", "dealer-desk")
        fleet.add_daemon("entry-0", limits={
            "largest_body_bytes": 2 * len(LARGE_UPLOAD)})
        fleet.publish()
        fleet.start_daemon("entry-0")
        profile = pathlib.Path(fleet.directory.name) / "lookup.ini"
        profile.write_text(IDEMPOTENT_PROFILE)
        configure(fleet, "entry-0", profile)
        address = fleet.callers("entry-0")
        prefix = http_json("GET", address, "/v1/entry?workspace=w")[1][
            "ticket_prefix"]
        for end, expected in ((raw_server.reset, "unknown"),
                              (raw_server.close_unread, "unknown"),
                              (raw_server.finish, "complete")):
            server = raw_server.RawServer(
                raw_server.Replies((PART_OF_ANSWER, end)))
            replace_targets(fleet, "entry-0", "dealer-desk", server.address,
                            end.__name__)
            outcome = once(fleet, address, prefix, end.__name__, LARGE_UPLOAD)
            server.close()
            expect(outcome == expected, f"{end.__name__}: {outcome}")
            expect(server.requests == 1,
                   f"{end.__name__}: ran {server.requests} times")
        server = raw_server.RawServer(raw_server.Replies(
            (PART_OF_ANSWER, raw_server.reset),
            (WHOLE_ANSWER, raw_server.hold)))
        replace_targets(fleet, "entry-0", "dealer-desk", server.address,
                        "idempotent")
        outcome = once(fleet, address, prefix, "idempotent", LARGE_UPLOAD,
                       "lookup")
        server.close()
        expect(outcome == "complete" and server.requests == 2,
               f"an idempotent call: {outcome}, sent {server.requests} times")
        broken = fleet.dump("entry-0")["metrics"]["broken_answers"]
        expect(broken == {"lost": 3}, f"counted as broken: {broken}")
        no_violations(fleet, ["entry-0"])
        return "2 ways to cut an answer, 1 orderly end, 1 answer elsewhere"


def caller_goes(build, _):
    """A caller that closes its connection frees the engine's memory."""
    with Fleet(build) as fleet:
        names = start(fleet, 1)
        configure(fleet, names[0])
        wait_for_engines(fleet, names)
        connection = http.client.HTTPConnection(fleet.callers(names[0]))
        connection.request("POST", "/v1/chat/completions", json.dumps(
            {"stream": True, "messages": [
                {"role": "user", "content": SHORT}]}), {
                    "Pollenstream-Workspace": "w",
                    "Pollenstream-Profile": "fleet-audit"})
        connection.getresponse().read(1)
        expect(any(fleet.control(f"valuer-{n}", "GET", "/counts")["memory_used"]
                   for n in range(4)), "no engine works for the caller")
        connection.close()
        nothing_is_held(fleet)
        wait_until(lambda: fleet.dump(names[0])["metrics"]["callers_gone"] == 1,
                   what="the daemon has seen the caller go")
        return "1 caller gone, 0 tokens of memory held"


def tool_commands(build, _):
    """Each command of the operators' tool, with its exit status."""
    with Fleet(build) as fleet:
        names = start(fleet, 2)
        configure(fleet, names[0])
        wait_for_engines(fleet, names)
        at = f"--operators={fleet.operators(names[0])}"
        tried = 0

        def run(wanted, part, *arguments):
            nonlocal tried
            tried += 1
            done = fleet.tool(*arguments, check=False)
            text = done.stdout + done.stderr
            expect(done.returncode == wanted and part in text,
                   f"{arguments}: {done.returncode} {text[:300]}")
            return done.stdout

        directory = pathlib.Path(fleet.directory.name)
        changed = directory / "changed.ini"
        changed.write_text("[profile quick-appraisal]\nservice = valuer-llm\n"
                           "priority = urgent\nretries = 1\n")
        faulty = directory / "faulty.ini"
        faulty.write_text("[profile p]\nservice = none\nretries = x\n")
        run(0, "quick-appraisal", "profile", "list", at)
        run(0, "first_token_ms = 400", "profile", "show", "quick-appraisal", at)
        run(1, "no [profile none]", "profile", "show", "none", at)
        run(1, "+++", "profile", "diff", at, changed)
        run(0, "accepted revision 2", "profile", "put", at, changed)
        run(0, "", "profile", "diff", at, changed)
        run(0, "retries = 1", "profile", "show", "quick-appraisal", at)
        run(0, "accepted revision 3", "profile", "remove", "fleet-audit", at)
        run(1, "no [profile fleet-audit]", "profile", "show", "fleet-audit", at)
        run(2, "faulty.ini:3: profile.retries", "config", "check", at, faulty)
        run(2, "faulty", "config", "apply", at, faulty)
        run(0, "no findings", "config", "check", at, *FILES)
        run(0, "# document profiles.ini", "config", "show", at)
        run(0, "unix_seconds", "config", "history", at)
        run(0, names[1], "instances", at)
        run(0, "free_memory_tokens", "targets", at)
        json.loads(run(0, "invariants", "dump", at))
        json.loads(run(0, "phase", "instances", "--json", at))
        run(6, "401", "dump", "--token=wrong", at)
        run(6, "", "dump", f"--operators={fleet.address()}")
        run(0, "draining", "drain", at)
        expect(fleet.processes[names[0]].wait(60) == 0, "drain did not end")
        settings = fleet.settings[names[1]][0]
        for file, wanted, part in ((settings, 0, ""),
                                   (faulty, 2, "faulty.ini:1: profile")):
            done = subprocess.run(
                [f"{build}/pollenstreamd", f"--settings={file}", "--check"],
                capture_output=True, text=True, timeout=30)
            expect(done.returncode == wanted and part in done.stderr,
                   f"--check: {done.returncode} {done.stderr}")
        return f"{tried} commands, settings checked"


SCENARIOS = (tool_commands, configuration_everywhere, engine_dies, engine_paused,
             instance_paused, at_most_once, bad_input, held_ports,
             odd_list_entries, endless_heads, cut_beside_upload, caller_goes,
             stop_at_its_limit, rolling_restart)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--daemons", type=int, default=9)
    parser.add_argument("--only", help="the name of one scenario")
    given = parser.parse_args()
    passed, failed = 0, 0
    for scenario in SCENARIOS:
        if given.only and given.only != scenario.__name__:
            continue
        try:
            said = scenario(given.build, given.daemons)
            print(f"{scenario.__name__}: {said}", flush=True)
            passed += 1
        except (AssertionError, TimeoutError, OSError, RuntimeError) as failure:
            print(f"{scenario.__name__}: FAILED: {failure}", flush=True)
            failed += 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
