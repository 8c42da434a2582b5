"""Stand-ins for the scripts of review/4 to review/8: the platform's store, its
runners and consumers, all on loopback. The gateways are the project's own
program, started with the command of the deploy file as separate processes.

Each case is a class with an async `play( world )` that returns a list of broken
promises; `main` turns it into the exit code and writes record.txt."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "quotes.example"
KEY = "k3yk3yk3y"
TENANT = "tenant-a"
HEARTBEAT_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Request:
    """A request as it came in on a connection."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query))

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Start line and headers (names in lower case), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """The whole body; None if the connection ends before it is complete."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return body
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    body = await read_body(reader, head[1])
    if body is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], body)


def answer_bytes(status, headers=(), body=b"", reason="Status"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Serves HTTP/1.1 connections; `handle` answers one request and returns
    False to close the connection."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if await self.handle(request, writer) is False:
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self):
        super().__init__()
        self.items, self.events, self.revision = {}, [], 1
        self.leases, self.last_lease = {}, 0
        self.changed = asyncio.Condition()

    async def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.events.append(item)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision,
                            "tombstone": True})
        async with self.changed:
            self.changed.notify_all()

    def reply(self, writer, status, body):
        writer.write(answer_bytes(
            status, [("Content-Type", "application/json")],
            json.dumps(body).encode()))

    async def handle(self, request, writer):
        body = json.loads(request.body) if request.body else {}
        path, query = request.path, request.query
        if path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(prefix) and k > after]
            self.reply(writer, 200, {"items": found, "has_more": False,
                                     "at": self.revision})
        elif path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            self.reply(writer, 200 if item else 404, item or {})
        elif path == "/v1/kv-watch":
            await self.watch(query, writer)
        elif path == "/v1/kv-txn":
            await self.change(body, writer)
        elif path == "/v1/kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = body["ttl_ms"]
            self.reply(writer, 200, {"lease": self.last_lease,
                                     "ttl_ms": body["ttl_ms"]})
        elif path.startswith("/v1/kv-keep/"):
            known = int(path.rsplit("/", 1)[1]) in self.leases
            self.reply(writer, 200 if known else 404, {})
        elif path.startswith("/v1/kv-lease-end/"):
            self.leases.pop(int(path.rsplit("/", 1)[1]), None)
            self.reply(writer, 200, {})
        else:
            self.reply(writer, 404, {})
        await writer.drain()
        return True

    async def watch(self, query, writer):
        prefix, after = query.get("prefix", ""), int(query["after"])
        limit = time.monotonic() + int(query["wait_ms"]) / 1000

        def found():
            return [e for e in self.events
                    if e["revision"] > after and e["key"].startswith(prefix)]
        async with self.changed:
            while not found() and time.monotonic() < limit:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(),
                                           limit - time.monotonic())
        self.reply(writer, 200, {"events": found(), "at": self.revision})

    async def change(self, body, writer):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return self.reply(writer, 412, {"items": []})
        for put in body.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return self.reply(writer, 403, {})
            await self.put(put["key"], base64.b64decode(put["value"]),
                           put.get("lease", 0))
        for key in body.get("remove", []):
            await self.remove(key)
        return self.reply(writer, 200, {"revision": self.revision})


class Runner(Server):
    """A sound runner. `work_s` is how long it works on a request; cases
    override `run` for what a faulty one does."""

    def __init__(self, world, name, service, slots=16, work_s=0.03):
        super().__init__()
        self.world, self.id, self.service = world, name, service
        self.slots, self.work_s = slots, work_s
        self.sequence = 0

    async def register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address,
                 "zone": "zone-a", "version": "v1", "slots": self.slots,
                 "state": "ready", "cold_remaining_ms": 0,
                 "stage": "colocated",
                 "models": [{"name": "m", "version": 1, "adapters": []}],
                 "sequence": self.sequence}
        await self.world.store.put("servers/" + self.id,
                                   json.dumps(entry).encode())

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def headers(self, request):
        """The headers of an answer to `request`."""
        return [("Attempt-Id", request.get("Attempt-Id")),
                ("Server-Seal", f"{self.id}.{request.get('Attempt-Id')}")]

    async def handle(self, request, writer):
        if request.path == "/health":
            writer.write(answer_bytes(200, [("Instance-Id", self.id)]))
            return True
        if request.get("Expect-Instance", self.id) != self.id:
            writer.write(answer_bytes(421, [("Instance-Id", self.id)]))
            return True
        if request.path == "/v1/order":
            return await self.order(json.loads(request.body), writer)
        return await self.run(request, writer)

    async def order(self, body, writer):
        writer.write(answer_bytes(400))
        return True

    def note_run(self, request):
        self.world.note("run", request.get("Attempt-Id"), self.id)
        self.world.runs.setdefault(request.get("Attempt-Id"),
                                   []).append(self.id)

    async def run(self, request, writer):
        self.note_run(request)
        await asyncio.sleep(self.work_s)
        body = f"answer to {request.get('Attempt-Id')}\n".encode()
        writer.write(answer_bytes(200, self.headers(request), body, "OK"))
        await writer.drain()
        return True


class Gateway:
    """One process of the project's gateway, as the deploy file starts it."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.ip = f"127.{world.net}.{number // 250}.{number % 250 + 2}"
        self.name = f"frontend-zone-a-{number}"
        self.process = None

    def write_settings(self, seeds):
        w = self.world
        lines = [
            f"node_name={self.name}", "role=gateway",
            "machine_class=frontend",
            "serves=frontend,control_plane,directory",
            f"ip_address={self.ip}", "zone=zone-a", "region=region-a",
            "zones.zone-a=region-a",
            f"listen_addresses.front={self.ip}:{w.ports['front']}",
            f"listen_addresses.ready={self.ip}:{w.ports['ready']}",
            f"listen_addresses.control={self.ip}:{w.ports['control']}",
            f"listen_addresses.directory={self.ip}:{w.ports['directory']}",
            f"internal_port_range={w.ports['peer']},{w.ports['peer'] + 15}",
            "seed_nodes=" + ",".join(f"{ip}:{w.ports['control']}"
                                     for ip in seeds),
            "bootstrap=true", "loss_counts=false", "limits.cpu_share=0.25",
            "limits.cpu_cores=1", "limits.memory_mb=260",
            "limits.file_descriptors=4200", "limits.link_mbps=1000.0",
            "limits.disk_mb=0", "discovery=platform", "entry=directory",
            "heartbeat_interval_ms=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,platform,spans",
            "fault_tolerance.machines=2", "bounds.seed_lag_s=3",
            "bounds.address_reuse_s=2", "bounds.stable_window_ms=3000",
            "bounds.ack_timeout_ms=4000", "bounds.catch_up_s=4",
            "bounds.drain_timeout_ms=2000", "bounds.grace_period_s=8",
            "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
            "bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=5000",
            "bounds.strict_revocation=false", "bounds.revoke_ms=5000",
            "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
            "bounds.retry_budget_slack=102", "bounds.recovery_s=12",
            "bounds.pass_ms=120", "bounds.retry_after_s=0",
            "bounds.stall_ms=1500", "bounds.hold_max_ms=20000",
            "bounds.free_ms=4000", "bounds.max_idle_ms=9000",
            "bounds.ttl_max_s=5", f"platform.address={w.store.address}",
            "platform.form=kv", "platform.writes_per_s=400",
            "platform.reads_per_s=2000", "platform.history_s=20",
            "platform.value_bytes=1048576", "platform.min_ttl_ms=1000"]
        self.settings = w.folder / f"{self.name}.conf"
        self.settings.write_text("\n".join(lines) + "\n")

    @property
    def front(self):
        return self.ip, self.world.ports["front"]

    def start(self):
        log = open(self.world.folder / f"{self.name}.log", "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["POLLENSTREAM_NODE_FILE"] = str(self.settings)
        self.process = subprocess.Popen(
            self.world.command, cwd=ROOT, env=env, stdout=log,
            stderr=subprocess.STDOUT)
        log.close()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                call((self.ip, self.world.ports["ready"]), "GET",
                     "/v1/readiness", []), 1)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    """What a consumer got; `whole` is False if the channel ended before."""

    def __init__(self, status, headers, body, whole):
        self.status, self.headers = status, headers
        self.body, self.whole = body, whole

    def __str__(self):
        if self.status is None:
            return "channel closed without an answer"
        text = self.body[:60].decode("latin-1").strip().replace("\n", "|")
        return (f"{self.status} seal={self.headers.get('server-seal', 'none')}"
                f" {'whole' if self.whole else 'broken off'} {text!r}")


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return Answer(None, {}, b"", False)
    status = int(head[0].split(" ")[1])
    body = await read_body(reader, head[1])
    return Answer(status, head[1], body or b"", body is not None)


class Channel:
    """A consumer's kept channel."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    async def ask(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        try:
            await self.writer.drain()
            return await read_answer(self.reader)
        except OSError:
            return Answer(None, {}, b"", False)

    def close(self):
        if self.writer:
            self.writer.close()


async def call(address, method, path, headers, body=b""):
    channel = Channel(address)
    await channel.open()
    try:
        return await channel.ask(method, path, headers, body)
    finally:
        channel.close()


ENGINE = {"slots": 16, "kv_capacity": 450000, "kv_token_bytes": 327680,
          "link_mbps": 400000.0, "stride": 46, "models": [{"name": "m"}],
          "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
          "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048,
          "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8,
          "delays": [], "usual": {"prompt": 13239, "answer": 1540},
          "hop_ms": 0.1}


class World:
    """The store, the runners and the gateways of one case."""

    def __init__(self, folder):
        self.folder = folder
        self.net = random.randrange(2, 250)
        self.runs, self.lines, self.tasks = {}, [], []
        self.runners, self.gateways = [], []
        self.began = time.monotonic()
        self.last_id = 0
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["gateway"]["run"].split()
        self.version = 6

    def note(self, *what):
        at = time.monotonic() - self.began
        self.lines.append(f"{at:8.3f} s  " + "  ".join(str(w) for w in what))

    def new_id(self):
        self.last_id += 1
        return f"{random.getrandbits(40):010x}{self.last_id:06x}"

    def background(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def pick_ports(self):
        first = 20000 + 20 * random.randrange(500)
        names = ("front", "ready", "control", "directory")
        self.ports = {name: first + i for i, name in enumerate(names)}
        self.ports["peer"] = first + len(names)

    async def configure(self, routes, engine_services=(), plain_services=()):
        self.version += random.randrange(1, 4)
        services = [{"name": name, "health_check_path": "/health",
                     "max_connections": 400, "protocol": "h1", "tls": False,
                     "inference_engine": ENGINE} for name in engine_services]
        services += [{"name": name, "health_check_path": "/health",
                      "max_connections": 100, "protocol": "h1", "tls": False}
                     for name in plain_services]
        config = {"version": self.version, "routes": routes,
                  "services": services,
                  "limits": {"max_header_bytes": 16384,
                             "max_body_bytes": 4194304,
                             "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000},
                  "tenants": [{"name": TENANT, "api_keys": [KEY],
                               "priority": 1}]}
        await self.store.put("op/config", json.dumps(config).encode())

    async def start_store(self):
        self.store = Store()
        await self.store.start()

    async def add_runner(self, runner):
        await runner.start()
        self.runners.append(runner)
        self.background(runner.beat())
        return runner

    async def start_gateways(self, count):
        self.pick_ports()
        self.gateways = [Gateway(self, i + 1) for i in range(count)]
        seeds = [g.ip for g in self.gateways][:3]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
            gateway.start()
        limit = time.monotonic() + 15
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > limit or not gateway.is_running():
                    raise RuntimeError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
        # Past the warm-up of the coordinators and the stable window.
        await asyncio.sleep(3.5)

    def request_headers(self, attempt, deadline_ms, extra=()):
        return [("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms),
                ("Api-Key", KEY), *extra]

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        for runner in self.runners:
            runner.stop()
        if hasattr(self, "store"):
            self.store.stop()


def route(name, prefix, kind, service, **more):
    settings = {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
                "timeout_ms": 10000, "target_latency_ms": 300, "priority": 1,
                "service": service, "max_attempts": 2, "public": False}
    return {**settings, **more}


async def play(case, folder, record):
    world = World(folder)
    broken, outcome = [], 2
    try:
        await world.start_store()
        broken = await asyncio.wait_for(case(world), 100)
        outcome = 1 if broken else 0
    except Exception:
        world.note("the case could not run:", traceback.format_exc())
    finally:
        world.stop()
    verdict = {0: "held", 1: "BROKEN", 2: "could not run"}[outcome]
    lines = [f"trouble: {TROUBLE}", *world.lines,
             *(f"broken: {b}" for b in broken), f"outcome: {verdict}"]
    record.write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-12:]))
    return outcome


def main(case, script):
    """Plays `case` and exits with 1 if the rule was broken, 0 if it held and 2
    if the case could not run."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    record = pathlib.Path(script).resolve().parent / "record.txt"
    try:
        outcome = asyncio.run(play(case, folder, record))
        if os.environ.get("KEEP"):
            print("logs in", folder)
    finally:
        if not os.environ.get("KEEP"):
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(outcome)
