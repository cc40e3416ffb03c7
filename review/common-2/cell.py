"""A small deployment on loopback for the scripts of this review.

It starts the project's daemons with the command of deploy/system.toml and
settings rendered from the deploy file's template, beside stand-ins of the
platform's store and of minions. The stand-ins do what the users' pages say and
nothing else; all of them run in this process. KEEP_LOGS names a folder into
which the daemons' logs are copied.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "cell.example"

BOUNDS = {
    "contact_ms": 3000, "grace_s": 6, "lease_ms": 3000, "max_hold_ms": 10000,
    "maintenance_s": 2, "status_s": 120,
}
HEARTBEAT_MS = 1500
STOP_S = 0.1


# Below the range from which Linux takes the ports of outgoing connections.
PORTS = range(20000, 32000)
ports_taken = set()


def free_port():
    """A free port of the loopback interface that was not given out before."""
    while True:
        port = random.choice(PORTS)
        if port in ports_taken:
            continue
        ports_taken.add(port)
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def note(self, who, what, **fields):
        words = " ".join(f"{k}={v}" for k, v in fields.items())
        at = time.monotonic() - self.began
        self.file.write(f"{at:8.3f} {who:12s} {what} {words}\n")
        self.file.flush()


# --- HTTP ---


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """HTTP/1.1 on a loopback port; @handle returns (status, object) or None."""

    def __init__(self, handle, port=None):
        self.handle = handle
        self.port = port or free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 24)

    async def stop(self):
        """As a machine that lost power: no listener, connections are gone."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                answer = await self.handle(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, obj = answer
                text = json.dumps(obj).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(method, address, path, body=None, host=HOST, timeout_s=3.0):
    """Status and object of an answer; status 0 without one."""
    host_name, port = address.split(":")
    try:
        return await asyncio.wait_for(
            call_once(method, host_name, int(port), path, body, host, timeout_s),
            timeout_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        return 0, {}


async def call_once(method, host_name, port, path, body, host, timeout_s):
    reader, writer = await asyncio.open_connection(host_name, port)
    try:
        text = json.dumps(body).encode() if body is not None else b""
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Curranttack-Deadline-Remaining: {int(timeout_s * 1000)}\r\n"
            f"Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()
        line, headers = await read_head(reader)
        size = int(headers.get("content-length", "0"))
        data = await reader.readexactly(size) if size else b"{}"
        return int(line.split(" ")[1]), json.loads(data or b"{}")
    finally:
        writer.close()


# --- the platform's store ---


class Store:
    """Keys with revisions, leases, watches; nothing is lost or late."""

    def __init__(self, value_bytes=1 << 20):
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 100
        self.next_lease = 1
        self.value_bytes = value_bytes
        self.changed = asyncio.Event()
        self.refused_writes = 0
        self.down = False

    def row(self, key):
        item = self.items[key]
        return {"key": key, "value": item["value"], "revision": item["revision"],
                "created": item["created"], "lease": item["lease"]}

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease):
        old = self.items.get(key)
        self.items[key] = {
            "value": value, "revision": self.revision, "lease": lease,
            "created": old["created"] if old else self.revision}
        self.history.append((self.revision, key, self.row(key)))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.revision, key, {
                "key": key, "revision": self.revision, "deleted": True}))

    def write_text(self, key, text):
        """A write of the operator or of a worker."""
        self.revision += 1
        self.put(key, base64.b64encode(text.encode()).decode(), 0)
        self.wake()

    def delete_key(self, key):
        self.revision += 1
        self.remove(key)
        self.wake()

    def end_lease(self, lease):
        self.revision += 1
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)
        del self.leases[lease]
        self.wake()

    async def expire_leases(self):
        while True:
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if now > until:
                    self.end_lease(lease)
            await asyncio.sleep(0.02)

    def txn(self, body):
        for row in body.get("set_keys", []):
            if len(base64.b64decode(row["value"])) > self.value_bytes:
                self.refused_writes += 1
                return 400, {"error": "value too large"}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        held = True
        found = []
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            held &= (item["revision"] if item else 0) == row["revision"]
            found.append(self.row(row["key"]) if item else
                         {"key": row["key"], "revision": 0})
        if not held:
            return 412, {"items": found}
        self.revision += 1
        for row in body.get("set_keys", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        self.wake()
        return 200, {"revision": self.revision}

    def range(self, query):
        rows, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(query.get("prefix", "")) or \
                    key <= query.get("after", ""):
                continue
            size += len(self.items[key]["value"])
            if len(rows) == 500 or (rows and size > 1 << 20):
                more = True
                break
            rows.append(self.row(key))
        return 200, {"items": rows, "has_more": more, "as_of": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = []
            for revision, key, row in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(query.get("prefix", "")):
                    events.append(row)
            left = until - time.monotonic()
            if events or left <= 0:
                events.reverse()
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def grant(self, body):
        lease = self.next_lease
        self.next_lease += 1
        ttl_s = body["ttl_ms"] / 1000
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}

    def keep(self, lease, end):
        if lease not in self.leases:
            return 404, {}
        if end:
            self.end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    async def handle(self, req):
        if self.down:
            return 503, {}
        path = req.path.removeprefix("/curranttack/")
        if path == "kv-key":
            if req.query["key"] not in self.items:
                return 404, {"as_of": self.revision}
            return 200, self.row(req.query["key"]) | {"as_of": self.revision}
        if path == "kv-range":
            return self.range(req.query)
        if path == "kv-watch":
            return await self.watch(req.query)
        if path == "kv-txn":
            return self.txn(req.json())
        if path == "kv-lease":
            return self.grant(req.json())
        name, _, lease = path.partition("/")
        if name in ("kv-keep", "kv-lease-end"):
            return self.keep(int(lease), name == "kv-lease-end")
        return 404, {}


class Door:
    """The way of one daemon to the store, with trouble of its own.

    mode: "ok", "busy" (503), "silent" (nothing is done and nothing answered) or
    "lost" (a share of the writes is done and not answered).
    """

    def __init__(self, store):
        self.store = store
        self.mode = "ok"
        self.lost_share = 0.35
        self.server = Server(self.handle)

    async def handle(self, req):
        if self.mode == "busy":
            return 503, {}
        if self.mode == "silent":
            return None
        answer = await self.store.handle(req)
        if self.mode == "silent":
            return None
        if self.mode == "lost" and req.method == "POST" and \
                random.random() < self.lost_share:
            return None
        return answer


# --- workers ---


class Run:
    def __init__(self, worker, name, run, demand, checkpoint):
        self.worker = worker
        self.name = name
        self.run = run
        self.demand = demand
        self.checkpoint = checkpoint
        self.began = time.monotonic()
        spread = demand.get("spread", 0)
        self.work_s = demand["ms"] / 1000 * (1 + random.uniform(-spread, spread))
        self.stops_at = None


def read_demand(spec):
    """What a spec text says of the work; other texts are short work."""
    try:
        return {"ms": 100} | json.loads(spec)
    except (ValueError, TypeError):
        return {"ms": 100}


class Worker:
    """A minion. A spec text is JSON: ms of work, by how much tasks vary (spread),
    whether they last until they are stopped (lasts), or fail (fails).
    """

    def __init__(self, cell, number, service, rack, machine=None, cpu=4000):
        self.cell = cell
        self.id = f"w-{number}"
        self.service = service
        self.rack = rack
        self.machine = machine or f"m-{number}"
        self.cpu = cpu
        self.server = Server(self.handle)
        self.address = self.server.address
        self.up = False
        # Cut off: it runs on and nothing reaches it.
        self.cut = False
        # Share of the orders that get no answer and are carried out late, the
        # delays between which one is drawn, and whether holds are among them.
        self.late_share = 0.0
        self.late_s = (2.0, 12.0)
        self.late_holds = False
        # A worker's clock begins anywhere.
        self.first_clocks_ms = (1000, 1000)
        self.new_life()

    def new_life(self):
        self.born_ms = int(time.time() * 1000)
        self.clock_from = time.monotonic()
        self.first_clock_ms = random.randint(*self.first_clocks_ms)
        self.fence = 0
        self.lease_until = 0.0
        self.runs = []
        self.ends = []
        self.next_end = 0
        self.highest = {}
        self.changed = asyncio.Event()
        self.seq = 0

    def clock_ms(self):
        return int((time.monotonic() - self.clock_from) * 1000) + self.first_clock_ms

    def note(self, what, **fields):
        self.cell.record.note(self.id, what, **fields)

    async def begin(self):
        await self.server.start()
        self.up = True
        self.list()

    def list(self):
        self.seq += 1
        self.cell.store.write_text(f"servers/{self.id}", json.dumps({
            "service": self.service, "address": self.address, "zone": "dar-a",
            "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "seq": self.seq, "capacity": {"cpu": self.cpu, "mem_mb": 16000, "gpu": 0},
            "labels": ["a", self.rack], "machine": self.machine,
            "born": self.born_ms, "clock_ms": self.clock_ms()}))

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            if self.up and not self.cut and not self.cell.store.down:
                self.list()

    async def crash(self):
        """All that runs is gone; nothing answers until restart()."""
        self.up = False
        for r in self.runs:
            self.note("run-lost", task=r.name, run=r.run,
                      lived_s=f"{time.monotonic() - r.began:.2f}")
            self.cell.on_end(r, "crashed")
        self.runs = []
        self.note("crash")
        await self.server.stop()

    async def restart(self):
        """The minion starts again under its id and knows nothing of before."""
        self.new_life()
        await self.begin()
        self.note("restart", born=self.born_ms)

    def end_run(self, r, how):
        self.runs.remove(r)
        self.next_end += 1
        self.ends.append([self.next_end, r.name, r.run, how, r.checkpoint])
        self.note("run-end", task=r.name, run=r.run, how=how)
        self.cell.on_end(r, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for r in list(self.runs):
                if now > self.lease_until:
                    self.end_run(r, "lapsed")
                elif r.stops_at is not None and now >= r.stops_at:
                    self.end_run(r, "stopped")
                elif not r.demand.get("lasts") and now >= r.began + r.work_s:
                    self.end_run(r, "failed" if r.demand.get("fails") else "done")

    def extend(self, body):
        if "deadline_ms" not in body:
            return
        until = self.clock_from + (body["deadline_ms"] - self.first_clock_ms) / 1000
        until = min(until, time.monotonic() + BOUNDS["max_hold_ms"] / 1000)
        self.lease_until = max(self.lease_until, until)

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def accept(self):
        return 200, {"clock_ms": self.clock_ms()}

    def percent(self, r):
        if r.demand.get("lasts"):
            return 100 if time.monotonic() - r.began > 0.2 else 0
        return min(99, int(100 * (time.monotonic() - r.began) / max(r.work_s, 0.001)))

    def start(self, body):
        name, run = body["task"], body["run"]
        if body["deadline_ms"] < self.clock_ms():
            return self.refuse("late")
        self.extend(body)
        if any(r.name == name and r.run == run for r in self.runs):
            return self.accept()
        if run <= self.highest.get(name, 0):
            return self.refuse("old")
        self.highest[name] = run
        r = Run(self, name, run, read_demand(body["spec"]), body.get("checkpoint", ""))
        self.runs.append(r)
        self.note("run-start", task=name, run=run, fence=self.fence)
        self.cell.on_start(r)
        return self.accept()

    def stop(self, body):
        self.highest[body["task"]] = max(
            self.highest.get(body["task"], 0), body["run"])
        for r in self.runs:
            if r.name == body["task"] and r.run <= body["run"] and r.stops_at is None:
                r.stops_at = time.monotonic() + STOP_S
        return self.accept()

    async def hold(self, body):
        self.extend(body)
        acked = body.get("acked", 0)
        for e in self.ends:
            if e[0] <= acked:
                self.cell.on_noted(e[1], e[2], e[3])
        self.ends = [e for e in self.ends if e[0] > acked]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        return 200, {
            "clock_ms": self.clock_ms(), "born": self.born_ms,
            "running": [[r.name, r.run, r.checkpoint, self.percent(r), 0]
                        for r in self.runs],
            "finished": self.ends[:500]}

    async def handle(self, req):
        if req.headers.get("x-curranttack-expect-instance", self.id) != self.id:
            return 421, {}
        if self.cut:
            return None
        body = req.json()
        kind = req.path.removeprefix("/curranttack/")
        if (kind != "hold" or self.late_holds) and \
                random.random() < self.late_share:
            self.cell.run_in_background(self.carry_out_late(kind, body))
            return None
        return await self.execute(kind, body)

    async def carry_out_late(self, kind, body):
        life = self.born_ms
        await asyncio.sleep(random.uniform(*self.late_s))
        # What a minion held back is gone with that life of it.
        if self.up and self.born_ms == life:
            _, answer = await self.execute(kind, body)
            self.note("late", call=kind, task=body.get("task"), run=body.get("run"),
                      refused=answer.get("reason", ""))

    async def execute(self, kind, body):
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if kind == "run-start":
            return self.start(body)
        if kind == "run-stop":
            return self.stop(body)
        if kind == "hold":
            return await self.hold(body)
        if kind == "pace":
            return self.accept()
        return 404, {}


# --- daemons ---


def render(template, fields):
    """The part of the platform's template language that the project uses."""

    def value(name, scope):
        for part in name.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)]
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
            if scope is None:
                return None
        return scope

    def section(match):
        found = value(match[1], fields)
        if not found:
            return ""
        return match[2].replace("{{.}}", str(found))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(value(m[1], fields)), text)


class Daemon:
    def __init__(self, cell, number, zone):
        ports = [free_port() for _ in range(4)]
        self.cell = cell
        self.door = Door(cell.store)
        self.name = f"edge-{zone}-{number}"
        self.front, self.ready, self.control, self.peers = (
            f"127.0.0.1:{p}" for p in ports)
        self.fields = {
            "node_name": self.name, "zone": zone, "ip": "127.0.0.1",
            "port_range": [ports[3], ports[3]],
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "listen": {"front": self.front, "ready": self.ready,
                       "control": self.control},
            "platform": {"address": self.door.server.address},
            "advice": cell.advice.address if cell.advice else None,
            "cloud": {"address": cell.cloud.address if cell.cloud else None},
            "bounds": BOUNDS, "heartbeat_ms": HEARTBEAT_MS}
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            role = tomllib.load(f)["roles"]["cell"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            text = render(f.read(), self.fields)
        settings = os.path.join(self.cell.folder, self.name + ".toml")
        with open(settings, "w", encoding="utf-8") as f:
            f.write(text)
        self.log = os.path.join(self.cell.folder, self.name + ".log")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "CURRANTTACK_SETTINGS": settings})
        self.cell.record.note(self.name, "start", pid=self.process.pid)

    def send(self, sig):
        self.cell.record.note(self.name, "signal", signal=sig.name)
        self.process.send_signal(sig)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Cell:
    """Three daemons in as many zones, a store and workers."""

    def __init__(self, record_path, daemons=3):
        self.record = Record(record_path)
        self.folder_object = tempfile.TemporaryDirectory()
        self.folder = self.folder_object.name
        self.store = Store()
        self.workers = []
        self.daemons = []
        self.daemon_count = daemons
        self.advice = None
        self.cloud = None
        self.tasks = []
        self.starts = []
        self.finished = []

    def add_worker(self, service, rack, **fields):
        w = Worker(self, len(self.workers), service, rack, **fields)
        self.workers.append(w)
        return w

    def on_start(self, run):
        self.starts.append((time.monotonic(), run.name, run.run, run.worker.id))

    def on_end(self, run, how):
        self.finished.append((time.monotonic(), run.name, run.run, how))

    def on_noted(self, name, run, how):
        """The system has taken note of an end."""

    def run_in_background(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def begin(self, config):
        self.run_in_background(self.store.expire_leases())
        self.store.write_text("op/config", json.dumps(config))
        for w in self.workers:
            await w.begin()
            self.run_in_background(w.beat())
            self.run_in_background(w.tick())
        zones = ["dar-a", "dar-b", "moro-c"]
        for n in range(self.daemon_count):
            d = Daemon(self, n + 1, zones[n % 3])
            self.daemons.append(d)
            await d.door.server.start()
            d.start()
        for d in self.daemons:
            await self.until(10, lambda d=d: self.is_ready(d))

    async def is_ready(self, d):
        status, _ = await call("GET", d.ready, "/curranttack/readiness")
        return status == 200

    async def until(self, limit_s, condition):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def ask(self, method, daemon, path, body=None, who="client", host=HOST):
        status, answer = await call(method, daemon.front, path, body, host)
        self.record.note(who, method, path=path, at=daemon.name, status=status,
                         answer=json.dumps(answer))
        return status, answer

    def owner(self, pool):
        """The daemon that the store names as the owner of a pool."""
        item = self.store.items.get(f"ct/owner/{pool}")
        value = base64.b64decode(item["value"]) if item else b""
        for d in self.daemons:
            if d.name.encode() in value:
                return d
        return None

    async def end(self):
        for d in self.daemons:
            d.end()
        for t in self.tasks:
            t.cancel()
        for w in self.workers:
            await w.server.stop()
        for d in self.daemons:
            await d.door.server.stop()
        if os.environ.get("KEEP_LOGS"):
            for d in self.daemons:
                shutil.copy(d.log, os.environ["KEEP_LOGS"])
        self.folder_object.cleanup()


def route(name, prefix, service, **fields):
    return {"name": name, "host": HOST, "prefix": prefix, "service": service,
            "timeout_ms": 3000, "priority": 0, "max_attempts": 4,
            "stretch_factor": 4.0, "target_latency_ms": 3000} | fields


def config(services, routes, version=1):
    return {"version": version, "limits": {"max_body_bytes": 262144},
            "services": [{"name": s, "constraints": False} for s in services],
            "routes": routes}


def play(scenario):
    """Runs a scenario; exit code 1 if a rule was broken, 0 if not, 2 if neither."""
    folder = os.path.dirname(os.path.abspath(scenario.__code__.co_filename))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        cell = Cell(os.path.join(folder, "record.txt"))
        try:
            return await asyncio.wait_for(scenario(cell, trouble), 110)
        except Exception as error:  # the case could not run
            cell.record.note("script", "error", error=repr(error))
            print("error:", repr(error))
            return 2
        finally:
            await cell.end()

    raise SystemExit(asyncio.run(whole()))
