"""Starts stand-ins and daemons on loopback, for the demo and the process
tests. Everything it starts is ended by its process id."""

import http.client
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

TOKEN = "demo-operators-token"
START_LIMIT = 30.0
STEP = 0.02


# Bound and not listening: the kernel gives these ports to nobody else, and who
# is told of one can listen there.
RESERVED = []


def reserve_port():
    """A port of loopback that stays reserved until this process ends."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    RESERVED.append(holder)
    return holder.getsockname()[1]


def limit_descriptors(pid, count):
    """Lets a process open no more descriptors; None: as many as before."""
    if count is not None:
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, count))


def wait_until(condition, limit=START_LIMIT, what="a condition"):
    """Polls until the condition holds; raises after the limit."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(STEP)
    raise TimeoutError(f"{what} did not hold within {limit} s")


def is_listening(address):
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=1):
            return True
    except OSError:
        return False


def http_json(method, address, path, body=None, headers=None, timeout=10):
    """One call with JSON; returns the status and the answer."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=None if body is None else json.dumps(body).encode(),
        method=method,
        headers={"Content-Type": "application/json", **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            text = reply.read().decode()
            return reply.status, json.loads(text) if text else None
    except urllib.error.HTTPError as failure:
        text = failure.read().decode()
        try:
            return failure.code, json.loads(text)
        except json.JSONDecodeError:
            return failure.code, text


class Process:
    """One process started here; it may open so many descriptors, None: as many
    as this one."""

    def __init__(self, name, arguments, logs, descriptors=None):
        self.name = name
        self.log = open(pathlib.Path(logs) / f"{name}.log", "ab")
        self.child = subprocess.Popen(
            arguments, stdout=self.log, stderr=self.log,
            stdin=subprocess.DEVNULL,
            preexec_fn=lambda: limit_descriptors(0, descriptors))

    def signal(self, number):
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    def wait(self, limit):
        return self.child.wait(timeout=limit)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.child.wait()
        self.log.close()

    def state(self):
        status = self.child.poll()
        return "runs" if status is None else f"has ended with {status}"

    def last_lines(self, count=10):
        text = pathlib.Path(self.log.name).read_text(errors="replace")
        return "\n".join(text.splitlines()[-count:])


class Fleet:
    """Stand-ins and daemons; use it in a with statement."""

    def __init__(self, build, places=("karratha-hall", "hedland-hall",
                                      "newman-hall")):
        self.build = pathlib.Path(build)
        self.places = places
        self.directory = tempfile.TemporaryDirectory(prefix="pollenstream-")
        self.processes = {}
        self.controls = {}
        self.targets = []
        self.instances = []
        self.settings = {}
        self.store = self.address()
        self.list = self.address()

    def __enter__(self):
        try:
            self.start_platform()
        except BaseException as failure:
            self.__exit__(type(failure))
            raise
        return self

    def start_platform(self):
        self.start_standin("store", ["store", f"--listen={self.store}"], True,
                           self.store)
        self.start_standin("list", ["list", f"--listen={self.list}",
                                    "--lag-ms=200"], False, self.list)

    def __exit__(self, failure, *_):
        if failure:
            self.print_logs()
        for process in self.processes.values():
            process.end()
        self.directory.cleanup()

    def print_logs(self):
        """The last lines of all processes that have written any or ended."""
        for process in self.processes.values():
            lines = process.last_lines()
            if lines or process.child.poll() is not None:
                print(f"{process.name} {process.state()}:\n{lines}",
                      flush=True)

    @staticmethod
    def address():
        return f"127.0.0.1:{reserve_port()}"

    def wait_listening(self, name, address):
        """Raises at once if the process ends instead."""
        process = self.processes[name]

        def listens():
            if process.child.poll() is not None:
                raise RuntimeError(f"{name} {process.state()}")
            return is_listening(address)

        wait_until(listens, what=f"{name} listens")

    def start_standin(self, name, arguments, has_control, address):
        command = [str(self.build / "pollenstream-standin"), *arguments]
        if has_control:
            self.controls[name] = self.address()
            command.append(f"--control={self.controls[name]}")
        self.processes[name] = Process(name, command, self.directory.name)
        self.wait_listening(name, address)

    def add_engine(self, name, service, **options):
        address = self.address()
        arguments = ["engine", f"--listen={address}"]
        arguments += [f"--{key.replace('_', '-')}={value}"
                      for key, value in options.items()]
        self.start_standin(name, arguments, True, address)
        self.add_target(name, service, address)

    def add_plain(self, name, service, work_ms=5):
        address = self.address()
        self.start_standin(name, ["service", f"--listen={address}",
                                  f"--work-ms={work_ms}"], True, address)
        self.add_target(name, service, address)

    def add_target(self, name, service, address):
        place = self.places[len(self.targets) % len(self.places)]
        self.targets.append({"id": name, "service": service, "place": place,
                             "address": address, "state": "live"})

    def add_daemon(self, name, entry_keep_ms=2000, polls=16,
                   drain_limit_ms=600_000, limits=None):
        """`limits`: further settings of that section."""
        place = self.places[len(self.instances) % len(self.places)]
        one = {"id": name, "place": place, "callers": self.address(),
               "peers": self.address(), "state": "live"}
        self.instances.append(one)
        operators = self.address()
        file = pathlib.Path(self.directory.name) / f"{name}.ini"
        file.write_text(
            f"[instance]\nid = {name}\nplace = {place}\n"
            f"callers = {one['callers']}\npeers = {one['peers']}\n"
            f"operators = {operators}\n"
            f"[platform]\nstore = {self.store}\nlist = {self.list}\n"
            f"[operators]\ntoken = {TOKEN}\n"
            f"[limits]\nentry_keep_ms = {entry_keep_ms}\n"
            f"load_polls_per_second = {polls}\n"
            f"drain_limit_ms = {drain_limit_ms}\n" +
            "".join(f"{key} = {value}\n"
                    for key, value in (limits or {}).items()))
        self.settings[name] = (file, one["callers"], operators)

    def publish(self):
        """Tells the instance list what there is."""
        status, answer = http_json(
            "PUT", self.list, "/instances",
            {"instances": self.instances, "targets": self.targets})
        if status != 200:
            raise RuntimeError(f"the list refuses its content: {status} "
                               f"{answer}")

    def start_daemon(self, name, descriptors=None):
        file, callers, _ = self.settings[name]
        if name in self.processes:
            self.processes[name].end()
        self.processes[name] = Process(
            name, [str(self.build / "pollenstreamd"), f"--settings={file}"],
            self.directory.name, descriptors)
        self.wait_listening(name, callers)

    def callers(self, name):
        return self.settings[name][1]

    def operators(self, name):
        return self.settings[name][2]

    def dump(self, name):
        return http_json("GET", self.operators(name), "/v1/dump",
                         headers={"Authorization": f"Bearer {TOKEN}"})[1]

    def control(self, name, method, path):
        return http_json(method, self.controls[name], path)[1]

    def log_of(self, name):
        return (pathlib.Path(self.directory.name) /
                f"{name}.log").read_text(errors="replace")

    def tool(self, *arguments, check=True):
        """Runs the command-line tool and returns what it printed."""
        done = subprocess.run(
            [str(self.build / "pollenstream"), *map(str, arguments)],
            capture_output=True, text=True, timeout=120,
            env={**os.environ, "POLLENSTREAM_TOKEN": TOKEN})
        if check and done.returncode != 0:
            raise RuntimeError(f"{arguments} ended with {done.returncode}: "
                               f"{done.stdout} {done.stderr}")
        return done


def chat(address, workspace, profile, prompt, on_chunk=None, timeout=120):
    """Streams one answer; returns status, text, complete and first token."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    body = json.dumps({"model": "any", "stream": True, "messages": [
        {"role": "user", "content": prompt}]})
    started = time.monotonic()
    connection.request("POST", "/v1/chat/completions", body, {
        "Content-Type": "application/json",
        "Pollenstream-Workspace": workspace,
        "Pollenstream-Profile": profile})
    reply = connection.getresponse()
    if reply.status != 200:
        problem = reply.read().decode()
        connection.close()
        return {"status": reply.status, "text": "", "complete": False,
                "problem": problem, "first": None}
    seen = {"status": 200, "text": "", "complete": False, "problem": "",
            "first": None, "tokens": 0}
    for raw in reply:
        line = raw.decode().strip()
        if not line.startswith("data:"):
            continue
        data = line[len("data:"):].strip()
        if data == "[DONE]":
            seen["complete"] = True
            continue
        chunk = json.loads(data)
        if "choices" not in chunk:
            seen["problem"] = data
            continue
        seen["tokens"] = chunk.get("usage", {}).get(
            "completion_tokens", seen["tokens"])
        text = chunk["choices"][0]["delta"].get("content", "")
        if text and seen["first"] is None:
            seen["first"] = time.monotonic() - started
        seen["text"] += text
        if text and on_chunk:
            on_chunk()
    connection.close()
    return seen
