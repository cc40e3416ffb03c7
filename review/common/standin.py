"""Stand-ins of the platform for the cases of this review.

A store, workers ("minions"), the service that takes machines down, and callers.
All of them follow PROTOCOL.md; where it is silent they behave like a sound
server. The daemons under test run as separate processes with the command and
the settings template of the deploy file. Standard library only.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "queue.example"
HEARTBEAT_S = 1.5
PAGE_ITEMS = 500
STOP_S = 0.05
LASTING_STARTUP_S = 0.4

# The bounds of the site piskdag, as far as the settings template reads them.
BOUNDS = {
    "lease_ms": 3000, "maintenance_s": 2, "max_hold_ms": 10000,
    "contact_ms": 3000, "grace_s": 6, "status_s": 120,
}
CANCEL_S, STOP_BOUND_S, CONTACT_S = 3.0, 0.4, 3.0


class Record:
    """Writes what was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, who, what, **fields):
        at = self.now()
        text = " ".join(f"{k}={json.dumps(v)}" for k, v in fields.items())
        self.file.write(f"{at:8.3f} {who:10s} {what} {text}\n")
        self.file.flush()
        return at


# --- HTTP ---

NO_ANSWER = object()


async def read_message(reader):
    """First line, headers and body of a request or an answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """An HTTP server on a free loopback port; keeps connections open."""

    def __init__(self, handler, name=""):
        self.handler, self.name = handler, name
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=4 << 20)
        self.address = "127.0.0.1:%d" % (
            self.server.sockets[0].getsockname()[1])
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                try:
                    data = json.loads(body) if body else {}
                except ValueError:
                    data = {}
                answer = await self.handler(
                    method, path, parse_query(query), headers, data)
                if answer is NO_ANSWER:
                    # Nothing further comes on this connection.
                    await asyncio.sleep(3600)
                status, out = answer
                text = json.dumps(out).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        self.server.close()
        self.reset_connections()


def parse_query(text):
    out = {}
    for part in text.split("&"):
        name, _, value = part.partition("=")
        out[name] = re.sub("%([0-9A-Fa-f]{2})",
                           lambda m: chr(int(m.group(1), 16)), value)
    return out


async def call(method, address, path, body=None, headers=None, timeout=3.0):
    """Status and JSON body of an answer; status 0 for none in time."""
    async def talk():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            text = json.dumps(body).encode() if body is not None else b""
            head = {"Host": HOST, "Content-Length": str(len(text)),
                    "Connection": "close", **(headers or {})}
            if text:
                head["Content-Type"] = "application/json"
            writer.write(f"{method} {path} HTTP/1.1\r\n".encode() + b"".join(
                f"{k}: {v}\r\n".encode() for k, v in head.items()) +
                b"\r\n" + text)
            await writer.drain()
            first, _, answer = await read_message(reader)
            try:
                out = json.loads(answer) if answer else {}
            except ValueError:
                out = {}
            return int(first.split(" ")[1]), out
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}


# --- the store ---

class Store:
    """The platform's store; each daemon has a door (port) of its own."""

    def __init__(self, record):
        self.record = record
        self.items, self.leases = {}, {}
        self.history, self.revision, self.compacted = [], 100, 100
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.down = None  # None, "busy" or "silent"
        self.latency_s = 0.004
        self.pause_leases = False
        self.cut = set()  # doors that are cut off
        self.late = None  # (door, delay): a write's answer is lost
        self.doors = {}
        self.pages = []  # (time, door) of each first page
        self.deaf = False  # watches hear nothing

    async def door(self, name):
        async def handle(method, path, query, headers, body):
            return await self.handle(name, method, path, query, body)
        self.doors[name] = await Server(handle, name).start()
        return self.doors[name].address

    def note(self, key, row):
        self.history.append((self.revision, key, row))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        row = {"key": key, "value": value, "revision": self.revision,
               "created": old["created"] if old else self.revision,
               "lease": lease}
        self.items[key] = row
        self.note(key, row)

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def get_json(self, key):
        row = self.items.get(key)
        return json.loads(base64.b64decode(row["value"])) if row else None

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.note(key, {"key": key, "revision": self.revision,
                        "deleted": True})

    def compact(self):
        """Drops the history; watches that wait are cut."""
        self.compacted = self.revision
        self.history = []
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, r in self.items.items() if r["lease"] == lease]:
            self.remove(key)
        return True

    async def run_leases(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.pause_leases:
                for lease in self.leases.values():
                    lease["until"] += now - last
            last = now
            for number, lease in list(self.leases.items()):
                if now > lease["until"]:
                    self.end_lease(number)

    async def handle(self, door, method, path, query, body):
        if door in self.cut or self.down == "silent":
            return NO_ANSWER
        if self.down == "busy":
            return 503, {}
        call_name = path.rsplit("/curranttack/", 1)[-1]
        if call_name == "kv-txn" and self.late and self.late[0] == door:
            delay = self.late[1]
            self.record("store", "write held back", door=door, s=delay)
            asyncio.get_running_loop().call_later(
                delay, self.apply_late, door, body)
            return NO_ANSWER
        if call_name == "kv-watch":
            return await self.watch(door, query)
        answer = self.execute(door, method, call_name, query, body)
        await asyncio.sleep(self.latency_s)
        return answer

    def apply_late(self, door, body):
        status, _ = self.txn(body)
        self.record("store", "late write", door=door, status=status,
                    keys=[p["key"] for p in body.get("set_keys", [])])

    def execute(self, door, method, name, query, body):
        if name == "kv-range":
            return self.range(door, query)
        if name == "kv-key":
            row = self.items.get(query.get("key"))
            if row is None:
                return 404, {"as_of": self.revision}
            return 200, {**row, "as_of": self.revision}
        if name == "kv-txn":
            return self.txn(body)
        if name == "kv-lease":
            self.next_lease += 1
            ttl_ms = body["ttl_ms"]
            self.leases[self.next_lease] = {
                "ttl": ttl_ms / 1000,
                "until": time.monotonic() + ttl_ms / 1000}
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        kind, _, number = name.partition("/")
        if kind == "kv-keep":
            lease = self.leases.get(int(number))
            if lease is None:
                return 404, {}
            lease["until"] = time.monotonic() + lease["ttl"]
            return 200, {"ttl_ms": int(lease["ttl"] * 1000)}
        if kind == "kv-lease-end" and method == "DELETE":
            return (200 if self.end_lease(int(number)) else 404), {}
        return 400, {}

    def range(self, door, query):
        prefix, after = query.get("prefix", ""), query.get("after")
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and (not after or k > after))
        page = keys[:PAGE_ITEMS]
        if len(keys) > len(page) or after:
            self.record("store", "page read", door=door, prefix=prefix,
                        after=after, items=len(page))
        if prefix == "" and not after:
            self.pages.append((time.monotonic(), door))
        return 200, {"items": [self.items[k] for k in page],
                     "has_more": len(keys) > len(page),
                     "as_of": self.revision}

    async def watch(self, door, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if self.down or door in self.cut:
                return NO_ANSWER
            if after < self.compacted:
                self.record("store", "watch refused: history lost",
                            door=door, prefix=prefix)
                await asyncio.sleep(self.latency_s)
                return 410, {}
            events = [row for revision, key, row in self.history
                      if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if self.deaf and left <= 0:
                return NO_ANSWER
            if not self.deaf and (events or left <= 0):
                answer = {"events": events, "as_of": self.revision}
                await asyncio.sleep(self.latency_s)
                return 200, answer
            try:
                await asyncio.wait_for(self.changed.wait(), max(left, 0.01))
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        expected = body.get("expected") or []
        puts = body.get("set_keys") or []
        removes = body.get("remove") or []
        if any((self.items[e["key"]]["revision"]
                if e["key"] in self.items else 0) != e["revision"]
               for e in expected):
            items = [self.items.get(e["key"], {"key": e["key"], "revision": 0})
                     for e in expected]
            return 412, {"items": items}
        if any(p.get("lease") and p["lease"] not in self.leases
               for p in puts):
            return 404, {}
        # One revision for the whole change.
        self.revision += 1
        at = self.revision
        for p in puts:
            old = self.items.get(p["key"])
            row = {"key": p["key"], "value": p["value"], "revision": at,
                   "created": old["created"] if old else at,
                   "lease": p.get("lease", 0)}
            self.items[p["key"]] = row
            self.history.append((at, p["key"], row))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append((at, key, {
                    "key": key, "revision": at, "deleted": True}))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"revision": at}


# --- workers ---

class Worker:
    """A minion. A task's spec is JSON and tells how its runs behave:
    "ms": work; "fails": runs end failed; "lasts": they never end."""

    def __init__(self, cell, number, service, machine, cpu=4000, zone="a"):
        self.cell, self.record, self.store = cell, cell.record, cell.store
        self.name = f"w{number}"
        self.id = f"i-{number:010x}"
        self.service, self.machine, self.cpu = service, machine, cpu
        self.zone, self.rack = zone, f"r-{number}"
        self.up = True
        self.cut_from_store = False
        self.cut_from_daemons = False
        self.late_grant_s = None  # delay of the next renewal of its lease
        self.listed_until = 0
        # Workers don't write their entries all at the same moment.
        self.first_beat_s = (number % 8) * HEARTBEAT_S / 8
        self.begin_life()

    def begin_life(self):
        self.born = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.fence = 0
        self.deadline_ms = 0
        self.runs, self.seen, self.ends = {}, {}, []
        self.next_end = 1
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.born) * 1000)

    async def start(self):
        self.server = await Server(self.handle, self.name).start()
        asyncio.create_task(self.tick())
        asyncio.create_task(self.beat())
        return self

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": self.server.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 64000, "gpu": 0},
                "labels": ["a", self.rack], "machine": self.machine,
                "born": self.born_ms, "clock_ms": self.clock_ms(),
                "seq": self.seq}

    async def beat(self):
        self.store.put_json(f"servers/{self.id}", self.entry())
        self.listed_until = time.monotonic() + 3 * HEARTBEAT_S
        await asyncio.sleep(self.first_beat_s)
        while True:
            if self.up and not self.cut_from_store and not self.store.down:
                self.store.put_json(f"servers/{self.id}", self.entry())
                self.listed_until = time.monotonic() + 3 * HEARTBEAT_S
            elif (time.monotonic() > self.listed_until and
                  not self.store.down):
                self.store.remove(f"servers/{self.id}")
            await asyncio.sleep(HEARTBEAT_S if self.up else 0.1)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.runs and self.clock_ms() > self.deadline_ms:
                for task in list(self.runs):
                    self.end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if now >= run["until"]:
                    self.end(task, run["how"])

    def end(self, task, how):
        run = self.runs.pop(task)
        self.seen[task] = max(self.seen.get(task, 0), run["run"])
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        at = self.record(self.name, "end", task=task, run=run["run"], how=how)
        self.cell.events.append({"at": at, "what": "end", "worker": self.name,
                                 "task": task, "run": run["run"], "how": how})
        self.changed.set()
        self.changed = asyncio.Event()

    def crash(self):
        """All that runs is gone; connections end; nothing is remembered."""
        self.up = False
        at = self.record(self.name, "crash", lost=list(self.runs))
        for task, run in self.runs.items():
            self.cell.events.append({
                "at": at, "what": "end", "worker": self.name, "task": task,
                "run": run["run"], "how": "crash"})
        self.runs = {}
        self.server.reset_connections()

    def come_back(self, new_id=None):
        if new_id:
            self.store.remove(f"servers/{self.id}")
            self.id = new_id
        self.begin_life()
        self.up = True
        self.store.put_json(f"servers/{self.id}", self.entry())
        self.listed_until = time.monotonic() + 3 * HEARTBEAT_S
        self.record(self.name, "begins a life", id=self.id)

    def extend(self, body):
        wanted = body.get("deadline_ms")
        if wanted is None:
            return
        wanted = min(wanted, self.clock_ms() + BOUNDS["max_hold_ms"])
        self.deadline_ms = max(self.deadline_ms, wanted)

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def grant_late(self, body):
        """Carries out a renewal whose answer was lost."""
        if not self.up or body.get("fencing_token", 0) < self.fence:
            return
        self.extend(body)
        self.record(self.name, "late renewal carried out",
                    asked_ms=body["deadline_ms"], clock_ms=self.clock_ms(),
                    lease_until_ms=self.deadline_ms)

    async def handle(self, method, path, query, headers, body):
        if not self.up or self.cut_from_daemons:
            return NO_ANSWER
        if (path.endswith("/hold") and self.late_grant_s and
                "deadline_ms" in body):
            delay, self.late_grant_s = self.late_grant_s, None
            self.record(self.name, "renewal held back", s=delay,
                        deadline_ms=body["deadline_ms"])
            asyncio.get_running_loop().call_later(
                delay, self.grant_late, body)
            return NO_ANSWER
        if headers.get("x-curranttack-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        name = path.rsplit("/", 1)[-1]
        if name == "run-start":
            return self.run_start(body)
        if name == "run-stop":
            return self.run_stop(body)
        if name == "pace":
            return 200, {"clock_ms": self.clock_ms()}
        if name == "hold":
            return await self.hold(body)
        return 400, {"clock_ms": self.clock_ms()}

    def run_start(self, body):
        task, number = body["task"], body["run"]
        if body.get("deadline_ms", 0) < self.clock_ms():
            return self.refuse("late")
        running = self.runs.get(task)
        if running is not None and running["run"] == number:
            self.extend(body)
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.seen.get(task, 0) or (
                running is not None and number < running["run"]):
            self.extend(body)
            return self.refuse("old")
        self.extend(body)
        spec = json.loads(body["spec"])
        now = time.monotonic()
        lasts = spec.get("lasts", False)
        self.runs[task] = {
            "run": number, "began": now, "lasts": lasts,
            "until": float("inf") if lasts else now + spec["ms"] / 1000,
            "how": "failed" if spec.get("fails") else "done",
            "ms": spec.get("ms", 1000)}
        at = self.record(self.name, "start", task=task, run=number,
                         fence=body.get("fencing_token", 0))
        self.cell.events.append({"at": at, "what": "start",
                                 "worker": self.name, "task": task,
                                 "run": number})
        return 200, {"clock_ms": self.clock_ms()}

    def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.seen[task] = max(self.seen.get(task, 0), number)
        running = self.runs.get(task)
        if running is not None and running["run"] <= number:
            self.record(self.name, "stop", task=task, run=number)
            running["until"] = min(running["until"],
                                   time.monotonic() + STOP_S)
            running["how"] = "stopped"
        return 200, {"clock_ms": self.clock_ms()}

    def percent(self, run):
        spent = time.monotonic() - run["began"]
        if run["lasts"]:
            return 100 if spent >= LASTING_STARTUP_S else 0
        return min(99, int(spent * 100000 / run["ms"]))

    async def hold(self, body):
        life = self.born
        acked = body.get("acked", 0)
        self.ends = [e for e in self.ends if e[0] > acked]
        if acked:
            self.record(self.name, "ends acknowledged", up_to=acked)
        self.extend(body)
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if not self.up or self.born != life or self.cut_from_daemons:
            return NO_ANSWER
        return 200, {
            "clock_ms": self.clock_ms(), "born": self.born_ms,
            "running": [[t, r["run"], "", self.percent(r), 0]
                        for t, r in self.runs.items()],
            "finished": self.ends[:500]}


# --- the service that takes machines down ---

class Cloud:
    def __init__(self, cell):
        self.cell, self.record = cell, cell.record
        self.fences, self.done, self.orders = {}, set(), []

    async def start(self):
        self.server = await Server(self.handle, "cloud").start()
        return self

    async def handle(self, method, path, query, headers, body):
        machine = body.get("machine")
        workers = [w for w in self.cell.workers if w.machine == machine]
        if not path.endswith("machine-upkeep") or not workers:
            return 400, {}
        fence = int(headers.get("x-curranttack-fencing-token", 0))
        holder = headers.get("x-curranttack-duty-holder")
        at = self.record("cloud", "order", machine=machine,
                         wave=body.get("wave"), holder=holder, fence=fence)
        self.orders.append({"at": at, "machine": machine, "holder": holder,
                            "fence": fence})
        if fence < self.fences.get(machine, 0):
            return 409, {"reason": "fence"}
        self.fences[machine] = fence
        wave = self.cell.store.get_json(f"op/wave/{body.get('wave')}")
        if wave is None or machine not in wave["machines"]:
            return 409, {"reason": "wave"}
        if (machine, body["wave"]) in self.done:
            return 200, {}
        worker = workers[0]
        if not worker.up:
            return 409, {"reason": "busy"}
        self.done.add((machine, body["wave"]))
        at = self.record("cloud", "upkeep", machine=machine,
                         worker=worker.name, running=list(worker.runs),
                         holder=headers.get("x-curranttack-duty-holder"))
        self.cell.events.append({
            "at": at, "what": "upkeep", "worker": worker.name,
            "running": {t: worker.percent(r)
                        for t, r in worker.runs.items()}})
        worker.crash()
        worker.store.remove(f"servers/{worker.id}")
        asyncio.get_running_loop().call_later(
            BOUNDS["maintenance_s"], worker.come_back, worker.id + "b")
        return 200, {}


# --- the daemons ---

def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def render(template, values):
    """The part of the template language that the deploy file uses."""
    def find(name, here):
        if name == ".":
            return here
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(m):
        value = find(m.group(1), None)
        if value in (None, False, ""):
            return ""
        return re.sub(r"\{\{\.\}\}", str(value), m.group(2))
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(find(m.group(1), None) or ""), text)


class Daemon:
    def __init__(self, cell, number, store_address):
        self.cell, self.name = cell, f"edge-{number}"
        self.callers = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        values = {
            "node_name": self.name, "zone": "a", "ip": "127.0.0.1",
            "port_range": [free_port()],
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "listen": {"front": self.callers, "ready": self.ready,
                       "control": f"127.0.0.1:{free_port()}"},
            "platform": {"address": store_address},
            "cloud": {"address": cell.cloud.server.address},
            "bounds": BOUNDS, "heartbeat_ms": int(HEARTBEAT_S * 1000),
        }
        with open(os.path.join(ROOT, "deploy/settings.template.toml"),
                  encoding="utf-8") as f:
            text = render(f.read(), values)
        self.settings = os.path.join(cell.folder, f"{self.name}.toml")
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)
        self.log = os.path.join(cell.folder, f"{self.name}.log")
        self.process = None

    def start(self):
        # The command of the deploy file, in the repository's root.
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                ["target/curranttackd/curranttackd"], cwd=ROOT, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""),
                     "CURRANTTACK_SETTINGS": self.settings})
        self.cell.record(self.name, "started")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.cell.record(self.name, "killed")

    def log_has(self, text):
        with open(self.log, encoding="utf-8") as f:
            return text in f.read()


class Unable(Exception):
    """The case could not run."""


class Cell:
    """Daemons, store and workers of a small deployment."""

    def __init__(self, folder, daemons=3):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.daemon_count = daemons
        self.events, self.workers, self.daemons = [], [], []

    async def start(self, services, workers, routes, up_before_s=0.0):
        """workers: (service, machine) rows; routes: rows of the config."""
        self.store = Store(self.record)
        asyncio.create_task(self.store.run_leases())
        self.cloud = await Cloud(self).start()
        for number, (service, machine) in enumerate(workers):
            self.workers.append(
                await Worker(self, number, service, machine).start())
            self.workers[-1].born -= up_before_s
            self.workers[-1].born_ms -= int(up_before_s * 1000)
        self.store.put_json("op/config", {
            "version": 7, "limits": {"max_body_bytes": 262144},
            "services": [{"name": s} for s in services],
            "routes": [{"host": HOST, "kind": "unsafe", "timeout_ms": 3000,
                        "target_latency_ms": 1000, "priority": 1,
                        "stretch_factor": 2.0, **r} for r in routes]})
        for number in range(self.daemon_count):
            name = f"edge-{number}"
            self.daemons.append(
                Daemon(self, number, await self.store.door(name)))
        for d in self.daemons:
            d.start()
        for d in self.daemons:
            await self.wait(lambda d=d: self.is_ready(d), 15, "daemons ready")
        for s in services:
            await self.wait(lambda s=s: self.owner(s), 10, f"owner of {s}")
        await asyncio.sleep(2.0)

    async def is_ready(self, d):
        status, _ = await call("GET", d.ready, "/curranttack/readiness",
                               timeout=1)
        return status == 200

    def owner(self, service):
        """The daemon whose entry stands at the pool's key."""
        row = self.store.items.get(f"ct/owner/{service}")
        if row is None:
            return None
        value = base64.b64decode(row["value"])
        for d in self.daemons:
            if d.name.encode() in value:
                return d
        return None

    async def wait(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)
        raise Unable(f"{what}: not within {seconds} s")

    async def ask(self, method, daemon, path, body=None, timeout=3.0):
        self.record("client", f"{method} {path}", to=daemon.name,
                    **({"body": body} if body else {}))
        status, out = await call(
            method, daemon.callers, path, body,
            {"X-Curranttack-Deadline-Remaining": str(int(timeout * 1000))},
            timeout)
        at = self.record("client", f"answer to {method} {path}",
                         status=status, body=out)
        return status, out, at

    def starts(self, job):
        return [e for e in self.events
                if e["what"] == "start" and e["task"].startswith(job)]

    def ends(self, job, how):
        return [e for e in self.events if e["what"] == "end" and
                e["task"].startswith(job) and e["how"] == how]

    def stop(self):
        for d in self.daemons:
            d.kill()


def run_case(main, daemons=3, limit_s=110):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        cell = Cell(folder, daemons)
        try:
            broken = await asyncio.wait_for(main(cell, trouble), limit_s)
            cell.record("verdict", "broken" if broken else "held",
                        why=broken or "")
            print(f"{'broken: ' + broken if broken else 'held'}")
            return 1 if broken else 0
        except (Unable, OSError, asyncio.TimeoutError) as e:
            cell.record("verdict", "could not run", why=repr(e))
            print(f"could not run: {e!r}")
            return 2
        finally:
            cell.stop()
    code = asyncio.run(play())
    sys.stdout.flush()
    os._exit(code)
