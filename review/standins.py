"""Stand-ins of the platform for the review's scripts: the metadata store, the
runners, the consumers, a TCP proxy, and the control of gateway processes.

Only the standard library is used. Everything listens on loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN = ["target/pollenstream-gateway", "--metrics-port=9464"]  # deploy/system.toml
STARTED = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{now():9.3f} {what} {text}\n")
        self.file.flush()


# --- HTTP ------------------------------------------------------------------

class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_body(reader, message):
    if message.get("Transfer-Encoding").lower() == "chunked":
        body = b""
        async for piece in read_chunks(reader):
            body += piece
        return body
    return await reader.readexactly(int(message.get("Content-Length", "0")))


async def read_chunks(reader):
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield piece[:-2]


def encode(first, headers, body=b""):
    lines = [first] + [f"{k}: {v}" for k, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP/1.1 server with keep-alive; `handle(message, connection)`."""

    def __init__(self, ip="127.0.0.1", port=0):
        self.ip, self.port = ip, port
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                message = await read_head(reader)
                message.body = await read_body(reader, message)
                await self.handle(message, connection)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            connection.closed = True
            writer.close()

    async def stop(self):
        """As a process that is killed: no listener, all connections closed."""
        if self.server:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.writer.transport.abort()


class Connection:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.closed = False

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def reply(self, status, headers=(), body=b""):
        await self.send(encode(f"HTTP/1.1 {status} X",
                               [*headers, ("Content-Length", len(body))], body))


# --- the store -------------------------------------------------------------

class Store(Server):
    """The platform's metadata store: items, watches, leases."""

    PAGE = 500

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}          # key: (value, revision, created, lease)
        self.events = []         # (revision, key, item or None)
        self.revision = 100
        self.changed = asyncio.Event()
        self.leases = {}         # id: (ttl, ends)
        self.last_lease = 0

    def put(self, key, value, lease=0):
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append((self.revision, key, self.items[key]))
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append((self.revision, key, None))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        ended = [i for i, (_, ends) in self.leases.items() if ends < now()]
        for lease in ended:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.remove(key)

    @staticmethod
    def as_json(key, item):
        value, revision, created, lease = item
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}

    async def handle(self, message, connection):
        self.expire()
        method, target, _ = message.first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        body = json.loads(message.body) if message.body else {}
        status, answer = await self.call(method, url.path, query, body)
        await connection.reply(status, [("Content-Type", "application/json")],
                               json.dumps(answer).encode())

    async def call(self, method, path, query, body):
        if path == "/v1/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {}
            return 200, {**self.as_json(key, self.items[key]),
                         "at": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            page = keys[:self.PAGE]
            return 200, {"items": [self.as_json(k, self.items[k]) for k in page],
                         "has_more": len(keys) > len(page), "at": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.change(body)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = body["ttl_ms"]
            self.leases[self.last_lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = now() + int(query["wait_ms"]) / 1000
        while True:
            found = [e for e in self.events
                     if e[0] > after and e[1].startswith(prefix)]
            left = end - now()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        events = [self.as_json(key, item) if item else
                  {"key": key, "revision": revision, "tombstone": True}
                  for revision, key, item in found]
        return 200, {"events": events, "at": self.revision}

    def change(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for put in body.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]),
                     put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


# --- runners ---------------------------------------------------------------

class Runner(Server):
    """One runner. It drops a request when its channel closes."""

    def __init__(self, record, store, name, service, zone="hall", slots=16,
                 read_per_s=256000.0, memory=450000, gap_s=0.05,
                 pairs_per_m=0.0):
        super().__init__()
        self.record, self.store = record, store
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.read_per_s, self.memory, self.gap_s = read_per_s, memory, gap_s
        self.pairs_per_m = pairs_per_m
        self.proxy = None        # if others reach it through one
        self.lives = 0
        self.id = None
        self.running = 0
        self.runs = []           # (time, id, attempt, ...)
        self.tickets = {}        # id: {tokens, ends, users}
        self.reserved = set()    # ids of all tickets so far
        self.shared = []         # (time, ticket, attempts): used by two at once
        self.held = {}           # attempt: tokens that it holds here
        self.state = "ready"
        self.listed = False

    async def begin(self):
        """A new lifetime, with a new id, at the same address."""
        self.lives += 1
        self.id = f"i-{self.name}-{self.lives}"
        self.tickets = {}
        self.state = "ready"
        await self.start()
        self.register()

    def entry(self):
        address = self.proxy.address if self.proxy else self.address
        return {"service": self.service, "address": address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0, "sequence": 1}

    def names(self):
        return {self.address, self.proxy.address if self.proxy else ""}

    def register(self):
        self.listed = True
        self.store.put(f"servers/{self.id}", self.entry())

    def unlist(self):
        self.listed = False
        self.store.remove(f"servers/{self.id}")

    async def crash(self):
        """The process ends; nothing says so but its closed connections."""
        self.record("runner_crashes", id=self.id, running=self.running)
        await self.stop()

    async def handle(self, message, connection):
        method, path, _ = message.first.split(" ")
        expected = message.get("Expect-Instance")
        attempt = message.get("Attempt-Id")
        own = [("Instance-Id", self.id)]
        if expected and expected != self.id:
            return await connection.reply(421, own)
        if path == "/v1/order":
            return await self.order(json.loads(message.body), connection)
        if path == "/health":
            return await connection.reply(200, own)
        if self.running >= self.slots * 3:
            return await connection.reply(503, [*own, ("Not-Executed", "1")])
        own.append(("Attempt-Id", attempt))
        self.running += 1
        run = {"at": now(), "attempt": attempt, "id": self.id, "path": path,
               "tenant": message.get("Tenant"), "end": None}
        self.runs.append(run)
        self.record("run", runner=self.id, attempt=attempt, path=path,
                    helpers=message.get("Helpers") or "-")
        tickets = self.take_tickets(message, attempt)
        try:
            await self.check_memory(tickets)
            await self.work(message, connection, attempt, own)
            run["end"] = "answered"
        except (OSError, asyncio.CancelledError, ConnectionError):
            run["end"] = "dropped"
            raise
        finally:
            self.running -= 1
            self.return_tickets(tickets, attempt)
            self.record("run_ends", runner=self.id, attempt=attempt,
                        how=run["end"])

    async def work(self, message, connection, attempt, own):
        usage = message.get("Token-Usage")
        if not usage:
            await self.pause(connection, 0.02)
            body = f"{attempt} {self.id}".encode()
            return await connection.reply(
                200, [*own, ("Server-Seal", "s." + attempt)], body)
        prompt, _ = (int(n) for n in usage.split(","))
        helpers = [h for h in message.get("Helpers").split(",") if h]
        lists_own = any(h.split("/")[0] in self.names() for h in helpers)
        parts = len(helpers) + (0 if lists_own else 1)
        pairs_s = self.pairs_per_m * prompt * prompt / 2e9
        read_s = (prompt / self.read_per_s + pairs_s) / parts
        await self.pause(connection, read_s + 0.05)
        first = int(message.get("Last-Event-Id") or 0) + 1
        await connection.send(encode("HTTP/1.1 200 OK", [
            *own, ("Server-Seal", "s." + attempt),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        for number in range(first, 13):
            data = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            await connection.send(b"%x\r\n%s\r\n" % (len(data), data))
            await self.pause(connection, self.gap_s)
        await connection.send(b"0\r\n\r\n")

    async def pause(self, connection, seconds):
        """Works for that time; drops the request if its channel closes."""
        end = now() + seconds
        while now() < end:
            if connection.reader.at_eof() or connection.writer.is_closing():
                raise ConnectionError("the caller has left")
            await asyncio.sleep(min(0.02, max(0.0, end - now())))

    # Memory that is set aside.

    async def order(self, body, connection):
        name = body["id"]
        for ended in [t for t, v in self.tickets.items() if v["ends"] < now()]:
            del self.tickets[ended]
        self.record("order", runner=self.id, operation=body["operation"],
                    ticket=name, known=name in self.tickets)
        if body["operation"] == "release":
            self.tickets.pop(name, None)
            return await connection.reply(200, (), b'{"free_slots":0}')
        tokens, hold = body["token_count"], body["hold_ms"] / 1000
        self.reserved.add(name)
        if name in self.tickets:
            self.tickets[name]["ends"] = now() + hold
        else:
            used = sum(t["tokens"] for t in self.tickets.values())
            if used + tokens > self.memory:
                return await connection.reply(409, (), b"{}")
            self.tickets[name] = {"tokens": tokens, "ends": now() + hold,
                                  "users": set()}
        await connection.reply(200, (), b'{"free_slots":1}')

    def take_tickets(self, message, attempt):
        taken = []
        for helper in message.get("Helpers").split(","):
            address, _, name = helper.strip().partition("/")
            if not name:
                continue
            runner = self.by_address.get(address, self)
            ticket = runner.tickets.get(name)
            if ticket is None:
                continue
            taken.append((runner, name, ticket))
            runner.held[attempt] = ticket["tokens"]
            ticket["users"].add(attempt)
            if len(ticket["users"]) > 1:
                self.shared.append((now(), runner.id, name,
                                    sorted(ticket["users"])))
                self.record("TICKET_SHARED", runner=runner.id, ticket=name,
                            attempts=",".join(sorted(ticket["users"])))
        return taken

    @staticmethod
    async def check_memory(taken):
        """A runner crashes if the requests that it holds exceed its memory."""
        for runner, _, _ in taken:
            if sum(runner.held.values()) > runner.memory:
                runner.record("memory_exceeded", runner=runner.id,
                              held=sum(runner.held.values()),
                              memory=runner.memory)
                await runner.crash()

    @staticmethod
    def return_tickets(taken, attempt):
        for runner, _, ticket in taken:
            ticket["users"].discard(attempt)
            runner.held.pop(attempt, None)

    by_address = {}


# --- proxy -----------------------------------------------------------------

class Proxy:
    """Passes connections on to one address. `power_off()` makes the present
    ones as those of a machine without power: no byte and no end passes. Once
    the machine is back (`power_on`), it resets a channel that it no longer
    knows as soon as something arrives on it."""

    def __init__(self, target):
        self.target = target
        self.open = []
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def power_off(self):
        self.lost = [c for c in self.open if not c["lost"]]
        for channel in self.lost:
            channel["lost"] = True

    def power_on(self):
        for channel in self.lost:
            channel["resets"] = True
            if channel["unread"]:
                channel["runner"].transport.abort()

    async def serve(self, reader, writer):
        host, port = self.target.split(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        channel = {"lost": False, "resets": False, "unread": False,
                   "runner": to_writer}
        self.open.append(channel)
        try:
            await asyncio.gather(self.to_runner(reader, to_writer, channel),
                                 self.to_gateway(to_reader, writer, channel))
        except asyncio.CancelledError:
            pass        # the script ends
        self.open.remove(channel)

    @staticmethod
    async def to_runner(reader, writer, channel):
        try:
            while True:
                data = await reader.read(65536)
                if channel["lost"]:
                    return
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            if not channel["lost"]:
                writer.transport.abort()

    @staticmethod
    async def to_gateway(reader, writer, channel):
        try:
            while True:
                data = await reader.read(65536)
                if channel["lost"]:
                    channel["unread"] = True
                    if channel["resets"]:
                        channel["runner"].transport.abort()
                        return
                    if not data:
                        return
                    continue
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            if not channel["lost"]:
                writer.transport.abort()


# --- consumers -------------------------------------------------------------

class Answer:
    def __init__(self):
        self.status = None       # none: no answer
        self.headers = []
        self.body = b""
        self.complete = False
        self.sent_at = self.ended_at = 0.0


async def ask(address, method, path, headers, body=b"", limit=10.0):
    """Sends one request on a new channel and reads its answer."""
    answer = Answer()
    answer.sent_at = now()
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = [*headers, ("Content-Length", len(body))]
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            await writer.drain()
            head = await read_head(reader)
            answer.status = int(head.first.split(" ")[1])
            answer.headers = head.headers
            if head.get("Transfer-Encoding").lower() == "chunked":
                async for piece in read_chunks(reader):
                    answer.body += piece
            else:
                answer.body = await read_body(reader, head)
            answer.complete = True
        await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    answer.ended_at = now()
    return answer


# --- gateways --------------------------------------------------------------

def free_ports(ip, count):
    """Ports that are free at `ip` now."""
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((ip, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Gateway:
    """One gateway process with the command of the deploy file."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"frontend-hall-{number}"
        self.ip = f"127.{fleet.net}.0.{number}"
        self.child = None
        self.path = pathlib.Path(fleet.folder) / f"{self.name}.conf"
        self.log = pathlib.Path(fleet.folder) / f"{self.name}.log"

    def address(self, what):
        return f"{self.ip}:{self.fleet.ports[what]}"

    def settings(self):
        fleet = self.fleet
        seeds = ",".join(f"127.{fleet.net}.0.{n}:{fleet.ports['control']}"
                         for n in (1, 2, 3))
        lines = [
            f"node_name={self.name}", "role=gateway",
            "machine_class=frontend",
            "serves=frontend,control_plane,directory",
            f"ip_address={self.ip}", "zone=hall", "region=north",
            "zones.hall=north",
            *(f"listen_addresses.{w}={self.address(w)}"
              for w in ("front", "ready", "control", "directory")),
            f"internal_port_range={fleet.ports['internal']},"
            f"{fleet.ports['internal']}",
            f"seed_nodes={seeds}", "bootstrap=true",
            "limits.cpu_share=0.25", "limits.cpu_cores=1",
            "limits.memory_mb=260", "limits.file_descriptors=4100",
            "heartbeat_interval_ms=1200",
            f"platform.address={fleet.store.address}", "platform.form=kv",
            "platform.writes_per_s=400", "platform.reads_per_s=2000",
            "platform.history_s=20", "platform.value_bytes=1048576",
            "platform.min_ttl_ms=1000",
            *(f"bounds.{k}={v}" for k, v in BOUNDS.items())]
        return "\n".join(lines) + "\n"

    def start(self):
        self.path.write_text(self.settings())
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                RUN, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": str(self.fleet.folder),
                     "LANG": "C", "POLLENSTREAM_NODE_FILE": str(self.path)})
        self.fleet.record("gateway_starts", name=self.name)

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.fleet.record("gateway_signal", name=self.name,
                              signal=signal.Signals(number).name)
            os.kill(self.child.pid, number)
            if number == signal.SIGKILL:
                self.child.wait()

    async def is_ready(self):
        answer = await ask(self.address("ready"), "GET", "/v1/readiness",
                           [("Host", self.ip)], limit=1.0)
        return answer.status == 200

    async def metrics(self):
        answer = await ask(f"{self.ip}:9464", "GET", "/metrics",
                           [("Host", self.ip)], limit=2.0)
        return answer.body.decode()


# The bounds of sites/steinacher-pollen.toml.
BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "stable_window_ms": 3000,
          "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 2000,
          "grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "max_stretch_ms": 5000,
          "strict_revocation": "false", "revoke_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10,
          "retry_budget_slack": 106, "recovery_s": 12, "pass_ms": 120,
          "retry_after_s": 0, "stall_ms": 1500, "hold_max_ms": 20000,
          "free_ms": 4000, "max_idle_ms": 9000, "ttl_max_s": 5}

ENGINE = {"slots": 16, "kv_capacity": 450000, "stride": 46, "step_ms": 0.925,
          "per_seq_ms": 0.00483, "context_per_k": 0.00254,
          "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048,
          "report_lag_ms": 200.0, "hop_ms": 0.1,
          "usual": {"prompt": 13227, "answer": 1541}}


class Fleet:
    """The store and some gateways."""

    def __init__(self, folder, record, gateways):
        self.folder, self.record = folder, record
        self.net = random.SystemRandom().randint(20, 250)
        names = ("front", "ready", "control", "directory", "internal")
        self.ports = dict(zip(names, free_ports(f"127.{self.net}.0.1", 5)))
        self.store = Store(record)
        self.gateways = [Gateway(self, n + 1) for n in range(gateways)]

    async def start(self):
        await self.store.start()

    async def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    async def wait_ready(self, gateway, limit=15.0):
        end = now() + limit
        while now() < end:
            if await gateway.is_ready():
                return
            await asyncio.sleep(0.02)
        raise TimeoutError(f"{gateway.name} is not ready")

    def configure(self, version, routes, services, tenants):
        self.store.put("op/config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants})
        self.record("config_acked", version=version, at=self.store.revision)

    def stop(self):
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)


def route(name, prefix, kind, service, timeout_ms=10000, aim_ms=300,
          gap_ms=200, attempts=2, resumption=False):
    return {"name": name, "host": "desk.example", "prefix": prefix,
            "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": aim_ms, "target_gap_ms": gap_ms,
            "priority": 1, "service": service, "max_attempts": attempts,
            "public": False, "session_affinity": kind == "streaming",
            "stream_resumption": resumption}


def llm(name, capacity=450000):
    return {"name": name, "health_check_path": "/health",
            "max_connections": 204,
            "inference_engine": {**ENGINE, "kv_capacity": capacity}}


def plain(name):
    return {"name": name, "health_check_path": "/health",
            "max_connections": 52}
