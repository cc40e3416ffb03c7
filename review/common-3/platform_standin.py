"""A small platform for review cases: store, minions, machines, advice.

It follows the published protocol and runs in a thread of the script. What its
minions have seen is checked as the rules are written, and kept in `broken`.
"""

import asyncio
import base64
import bisect
import json
import random
import threading
import time
from urllib.parse import parse_qs, unquote, urlsplit

MAX_HOLD_MS = 10000
HISTORY = 20000
PAGE = 500


class Reply(Exception):
    def __init__(self, status, body):
        super().__init__(status)
        self.status, self.body = status, body


class Run:
    def __init__(self, task, run, now):
        self.task, self.run, self.began = task, run, now
        self.ends_at = self.stops_at = None
        self.checkpoint, self.ordered = "", False
        self.was_at_work, self.alone_at, self.saved = False, None, now
        self.pace = 100


class Minion:
    """One machine's minion; `life` counts its incarnations."""

    def __init__(self, platform, number, spec):
        self.p, self.number = platform, number
        self.id, self.machine = f"i-{number}", f"m-{number}"
        self.service = spec.get("service", "batch")
        self.cpu, self.mem = spec.get("cpu", 4000), spec.get("mem_mb", 100000)
        self.gpu = spec.get("gpu", 0)
        self.labels = spec.get("labels", ["a", "r1"])
        self.address, self.server, self.conns = None, None, set()
        self.up, self.draining, self.life = False, False, 0
        self.seq, self.waves, self.upkeep, self.duty_fence = 0, set(), None, 0
        self.reset()

    def reset(self):
        self.life += 1
        self.born_ms = int(time.time() * 1000)
        self.clock0 = time.monotonic() - random.uniform(1, 5000)
        self.fence, self.lease_until = 0, 0
        self.runs, self.seen, self.ends, self.next_end = {}, {}, [], 0
        self.changed = asyncio.Event()
        self.saved_at = 0

    def clock_ms(self):
        return int((time.monotonic() - self.clock0) * 1000)

    def percent(self, r, now):
        step = self.p.step_of(r.task)
        if step.get("long_running"):
            return 100 if now - r.began >= self.p.startup_s else 0
        work = self.p.work_s(r.task)
        return min(99, int(100 * (now - r.began) / work)) if work else 99

    def at_work(self, task):
        r = self.runs.get(task)
        return r is not None and self.up and not r.ordered and \
            self.percent(r, time.monotonic()) >= 100

    # --- calls ---

    def check_fence(self, body):
        token = body.get("fencing_token", 0)
        if token < self.fence:
            raise Reply(409, {"clock_ms": self.clock_ms(), "reason": "fence"})
        self.fence = token

    def extend(self, body):
        until = min(body.get("deadline_ms", 0), self.clock_ms() + MAX_HOLD_MS)
        self.lease_until = max(self.lease_until, until)

    def start(self, body):
        task, run = body["task"], body["run"]
        self.check_fence(body)
        if body["deadline_ms"] < self.clock_ms():
            raise Reply(409, {"clock_ms": self.clock_ms(), "reason": "late"})
        self.extend(body)
        known = self.runs.get(task)
        if known is None or known.run != run:
            if run <= self.seen.get(task, 0):
                raise Reply(409, {"clock_ms": self.clock_ms(), "reason": "old"})
            self.begin(task, run, body)
        return {"clock_ms": self.clock_ms()}

    def begin(self, task, run, body):
        now = time.monotonic()
        if task in self.runs:
            self.end(self.runs[task], "stopped")
        r = Run(task, run, now)
        work = self.p.work_s(task)
        gang = self.p.step_of(task).get("gang")
        if not self.p.step_of(task).get("long_running") and work is not None \
                and not gang:
            r.ends_at = now + work
        self.seen[task] = run
        r.checkpoint = body.get("checkpoint", "")
        self.p.on_begin(self, r, body)
        self.runs[task] = r
        if gang:
            self.p.on_member(self, r)

    def stop(self, body):
        self.check_fence(body)
        task, run = body["task"], body["run"]
        r = self.runs.get(task)
        if r is not None and r.run <= run and r.stops_at is None:
            self.p.on_ordered_end(self, r, "stop")
            r.stops_at = time.monotonic() + self.p.stop_s
        self.seen[task] = max(self.seen.get(task, 0), run)
        return {"clock_ms": self.clock_ms()}

    async def hold(self, body):
        self.check_fence(body)
        self.extend(body)
        acked = body.get("acked", 0)
        for e in self.ends:
            if e[0] <= acked:
                self.p.on_acked(e)
        self.ends = [e for e in self.ends if e[0] > acked]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        life = self.life
        if wait > 0 and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if life != self.life or not self.up:
            return None
        now = time.monotonic()
        rows = [[r.task, r.run, r.checkpoint, self.percent(r, now), 0]
                for r in self.runs.values()]
        return {"clock_ms": self.clock_ms(), "born": self.born_ms,
                "running": rows, "finished": self.ends[:500]}

    async def serve(self, method, path, query, headers, body):
        if method == "GET":
            return 200, {}
        expected = headers.get("x-curranttack-expect-instance", self.id)
        if expected != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        verb = path.rsplit("/", 1)[-1]
        if random.random() < self.p.late_orders:
            self.p.execute_late(self, verb, body)
            return 0, None
        delay = self.p.delay_of(self, verb)
        if delay:
            await asyncio.sleep(delay)
        if verb == "run-start":
            answer = self.start(body)
        elif verb == "run-stop":
            answer = self.stop(body)
        elif verb == "hold":
            answer = await self.hold(body)
        elif verb == "pace":
            self.check_fence(body)
            answer = {"clock_ms": self.clock_ms()}
        else:
            return 404, {}
        if answer is not None:
            answer["born"] = self.born_ms
        return (200, answer) if answer is not None else (0, None)

    # --- time ---

    def end(self, r, how):
        if self.runs.get(r.task) is not r:
            return
        del self.runs[r.task]
        self.next_end += 1
        self.ends.append([self.next_end, r.task, r.run, how, r.checkpoint])
        self.p.on_end(self, r, how)
        self.changed.set()
        if self.p.step_of(r.task).get("gang") and how != "done":
            self.p.on_broken(r)

    def tick(self, now):
        if not self.up:
            return
        lapsed = self.clock_ms() > self.lease_until
        for r in list(self.runs.values()):
            if lapsed:
                self.end(r, "lapsed")
            elif r.stops_at is not None and now >= r.stops_at:
                self.end(r, "stopped")
            elif r.ends_at is not None and now >= r.ends_at:
                self.end(r, "failed" if self.p.fails(r.task) else "done")
            elif r.alone_at is not None and now >= r.alone_at:
                self.end(r, "alone")
            elif self.p.step_of(r.task).get("checkpointing") and \
                    now - r.saved >= 1:
                r.saved = now
                self.p.on_checkpoint(r, self.percent(r, now))

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": self.address, "zone": "a",
                "version": "1", "slots": 8, "cold_left_ms": 0, "seq": self.seq,
                "state": "draining" if self.draining else "ready",
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem,
                             "gpu": self.gpu},
                "labels": self.labels, "machine": self.machine,
                "born": self.born_ms, "clock_ms": self.clock_ms(),
                "remaining_ms": 0}

    async def begin_life(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(
            lambda r, w: self.p.connection(r, w, self.serve, self.conns),
            host, int(port), reuse_address=True)
        self.up = True

    def end_life(self, how):
        """All that runs is gone, and its connections are reset."""
        for r in list(self.runs.values()):
            self.p.on_end(self, r, how)
        self.up = False
        if self.server is not None:
            self.server.close()
        for w in list(self.conns):
            w.transport.abort()
        self.changed.set()
        self.reset()


class Store:
    def __init__(self):
        self.items, self.keys = {}, []
        self.revision, self.next_lease = 1, 1
        self.leases, self.history, self.forgotten = {}, [], 0
        self.watchers = set()

    def put(self, key, value, lease=0):
        old = self.items.get(key)
        if old is None:
            bisect.insort(self.keys, key)
        self.items[key] = {
            "key": key, "value": value, "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease}
        self.note(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        del self.keys[bisect.bisect_left(self.keys, key)]
        self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        if len(self.history) > 2 * HISTORY:
            self.forgotten = self.history[HISTORY]["revision"]
            del self.history[:HISTORY]
        for w in self.watchers:
            w.set()

    def write(self, key, value):
        self.revision += 1
        text = json.dumps(value).encode()
        self.put(key, base64.b64encode(text).decode())

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self.revision += 1
        for k in keys:
            self.remove(k)

    def tick(self, now):
        for lease, (until, _) in list(self.leases.items()):
            if now > until:
                self.end_lease(lease)

    def range(self, prefix, after):
        i = bisect.bisect_left(self.keys, prefix)
        if after:
            i = max(i, bisect.bisect_right(self.keys, after))
        rows = []
        while i < len(self.keys) and self.keys[i].startswith(prefix) and \
                len(rows) < PAGE:
            rows.append(self.items[self.keys[i]])
            i += 1
        more = i < len(self.keys) and self.keys[i].startswith(prefix)
        return {"items": rows, "has_more": more, "as_of": self.revision}

    def txn(self, body):
        rows = [self.items.get(e["key"], {"key": e["key"], "revision": 0})
                for e in body.get("expected", [])]
        if any(e["revision"] != r["revision"]
               for e, r in zip(body.get("expected", []), rows)):
            return 412, {"items": rows}
        for p in body.get("set_keys", []):
            if p.get("lease", 0) and p["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for p in body.get("set_keys", []):
            self.put(p["key"], p["value"], p.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        changed = asyncio.Event()
        self.watchers.add(changed)
        try:
            while True:
                if after < self.forgotten:
                    return 410, {}
                changed.clear()
                i = bisect.bisect_right(self.history, after,
                                        key=lambda e: e["revision"])
                events = [e for e in self.history[i:]
                          if e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watchers.discard(changed)

    async def serve(self, method, path, query, headers, body):
        now = time.monotonic()
        verb = path.split("/curranttack/")[-1]
        if verb == "kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, as_of=self.revision)) if item else \
                (404, {"as_of": self.revision})
        if verb == "kv-range":
            return 200, self.range(query.get("prefix", ""),
                                   query.get("after", ""))
        if verb == "kv-watch":
            return await self.watch(query.get("prefix", ""),
                                    int(query.get("after", 0)),
                                    int(query.get("wait_ms", 0)) / 1000)
        if verb == "kv-txn":
            return self.txn(body)
        if verb == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(1000, min(body["ttl_ms"], 600000))
            self.leases[lease] = (now + ttl / 1000, ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if verb.startswith("kv-keep/"):
            lease = int(verb.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now + ttl, ttl)
            return 200, {}
        if verb.startswith("kv-lease-end/"):
            self.end_lease(int(verb.split("/")[1]))
            return 200, {}
        return 404, {}


class Platform:
    """@minions: a list of dicts with service, cpu, mem_mb, gpu, labels."""

    def __init__(self, minions, free_address, stop_ms=200, startup_ms=400,
                 maintenance_s=2.0, notice_ms=4500, heartbeat_ms=1500):
        self.stop_s, self.startup_s = stop_ms / 1000, startup_ms / 1000
        self.maintenance_s, self.notice_s = maintenance_s, notice_ms / 1000
        self.heartbeat_s = heartbeat_ms / 1000
        self.store, self.jobs, self.broken, self.events = Store(), {}, [], []
        self.away, self.done, self.live = {}, {}, {}
        self.cancelled, self.failed, self.waves = {}, {}, {}
        self.store_mode = self.cloud_mode = ""  # silent, busy, slow or none
        self.delays, self.checkpoints, self.gang_saved = {}, {}, {}
        self.late_orders = self.lost_writes = self.late_writes = 0.0
        self.store_address, self.cloud_address = free_address(), free_address()
        self.advice_address = free_address()
        self.minions = [Minion(self, n, m) for n, m in enumerate(minions)]
        for m in self.minions:
            m.address = free_address()
        self.begun = time.monotonic()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.main, daemon=True)
        self.ready = threading.Event()
        self.thread.start()
        self.ready.wait(5)

    # --- thread ---

    def main(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self.open())
        self.loop.create_task(self.ticks())
        self.ready.set()
        self.loop.run_forever()

    async def open(self):
        for address, serve in ((self.store_address, self.serve_store),
                               (self.cloud_address, self.serve_cloud),
                               (self.advice_address, self.serve_advice)):
            host, port = address.split(":")
            await asyncio.start_server(
                lambda r, w, s=serve: self.connection(r, w, s, set()),
                host, int(port))
        for m in self.minions:
            await m.begin_life()
            self.store.write(f"servers/{m.id}", m.entry())

    async def ticks(self):
        beat = {m: time.monotonic() for m in self.minions}
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            self.store.tick(now)
            for m in self.minions:
                m.tick(now)
                if m.up and now >= beat[m] and not self.store_mode:
                    beat[m] = now + self.heartbeat_s
                    self.store.write(f"servers/{m.id}", m.entry())

    def call(self, function, *args):
        """Runs a function in the platform's thread and waits for it."""
        async def run():
            result = function(*args)
            return await result if asyncio.iscoroutine(result) else result
        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(10)

    # --- HTTP ---

    async def connection(self, reader, writer, serve, conns):
        conns.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {k.strip().lower(): v.strip() for k, _, v in
                           (line.partition(":") for line in lines[1:] if line)}
                raw = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                try:
                    status, body = await serve(
                        method, unquote(url.path), query, headers,
                        json.loads(raw) if raw else {})
                except Reply as r:
                    status, body = r.status, r.body
                if status == 0:
                    await asyncio.sleep(3600)
                data = json.dumps(body, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            conns.discard(writer)
            writer.close()

    async def serve_store(self, *call):
        if self.store_mode == "silent":
            return 0, None
        if self.store_mode == "busy":
            return 503, {}
        if call[0] == "POST" and call[1].endswith("kv-txn"):
            if random.random() < self.late_writes:
                self.loop.call_later(random.uniform(1, 6), self.store.txn,
                                     call[4])
                return 0, None
            if random.random() < self.lost_writes:
                self.store.txn(call[4])
                return 0, None
        return await self.store.serve(*call)

    async def serve_advice(self, method, path, query, headers, body):
        return 200, {"good": [[w, "ticket"] for w in body.get("workers", [])]}

    async def serve_cloud(self, method, path, query, headers, body):
        if self.cloud_mode == "silent":
            return 0, None
        if self.cloud_mode == "busy":
            return 503, {}
        if path.endswith("/machines"):
            return 200, {"machines": [], "next_token": ""}
        m = next((m for m in self.minions if m.machine == body["machine"]), None)
        wave = body["wave"]
        if m is None:
            return 400, {}
        holder = headers.get("x-curranttack-duty-holder")
        token = int(headers.get("x-curranttack-fencing-token", 0))
        status, answer = self.upkeep(m, wave, token)
        self.note("order", machine=m.machine, wave=wave, holder=holder,
                  fence=token, status=status, reason=answer.get("reason", ""))
        return status, answer

    def upkeep(self, m, wave, token):
        if token < m.duty_fence:
            return 409, {"reason": "fence"}
        m.duty_fence = token
        if wave in m.waves:
            return 200, {}
        if m.machine not in self.waves.get(wave, {}).get("machines", []):
            return 409, {"reason": "wave"}
        if not m.up:
            return 409, {"reason": "busy"}
        m.waves.add(wave)
        for r in list(m.runs.values()):
            self.on_ordered_end(m, r, "upkeep")
        self.note("upkeep", machine=m.machine, wave=wave)
        down = [x.machine for x in self.minions if x.upkeep == wave]
        if len(down) >= self.waves[wave]["maximum"]:
            self.break_rule("LIMIT", f"upkeep of {m.machine} beside {down}")
        m.end_life("upkeep")
        m.upkeep = wave
        self.loop.create_task(self.come_back(m, self.maintenance_s))
        return 200, {}

    async def come_back(self, m, after_s, new_id=True):
        if new_id:
            self.loop.call_later(0.2, self.unlist, m.id)
        await asyncio.sleep(after_s)
        if new_id:
            m.id = f"{m.id.split('+')[0]}+{m.life}"
        await m.begin_life()
        m.upkeep = None
        if not self.store_mode:
            self.store.write(f"servers/{m.id}", m.entry())
        self.note("up", minion=m.id, machine=m.machine)

    def unlist(self, key):
        self.store.revision += 1
        self.store.remove(f"servers/{key}")

    # --- disruptions, called through call() ---

    def crash(self, number, for_s, new_id=False):
        m = self.minions[number]
        self.note("crash", minion=m.id)
        m.end_life("crash")
        self.loop.create_task(self.come_back(m, for_s, new_id))

    async def leave(self, number, drain_s, away_s):
        """A minion drains and leaves; later another one comes on its machine."""
        m = self.minions[number]
        m.draining = True
        self.note("draining", minion=m.id)
        self.store.write(f"servers/{m.id}", m.entry())
        await asyncio.sleep(drain_s)
        m.end_life("left")
        m.draining = False
        self.unlist(m.id)
        self.note("left", minion=m.id)
        await asyncio.sleep(away_s)
        m.id = f"{m.id.split('+')[0]}+{m.life}"
        await m.begin_life()
        self.store.write(f"servers/{m.id}", m.entry())
        self.note("up", minion=m.id, machine=m.machine)

    def begin_leave(self, number, drain_s, away_s):
        self.loop.create_task(self.leave(number, drain_s, away_s))

    def operate(self, key, value):
        if key.startswith("op/wave/"):
            self.waves[value["wave"]] = value
        self.store.write(key, value)

    def delay_of(self, m, verb):
        return self.delays.get((m.number, verb), 0)

    # --- what the minions see ---

    def note(self, kind, **fields):
        self.events.append((time.monotonic() - self.begun, kind, fields))

    def break_rule(self, rule, text):
        self.broken.append((rule, text))
        self.note("BROKEN", rule=rule, text=text)

    def split(self, task):
        job, k, step, index = task.split(".")
        return job, int(k), int(step), int(index)

    def step_of(self, task):
        job, _, step, _ = self.split(task)
        return self.jobs.get(job, {"steps": []})["steps"][step] \
            if job in self.jobs else {}

    def work_s(self, task):
        work = self.step_of(task).get("_work_ms")
        return None if work is None else work / 1000

    def fails(self, task):
        return self.step_of(task).get("_fails", False)

    def on_begin(self, m, r, body):
        job, k, number, index = self.split(r.task)
        spec, step = self.jobs.get(job), self.step_of(r.task)
        now = time.monotonic()
        self.note("start", task=r.task, run=r.run, minion=m.id,
                  fence=body["fencing_token"])
        if spec is None or body["spec"] != spec["spec"]:
            self.break_rule("UNASKED", f"{r.task} was not sent")
            return
        self.check_checkpoint(r, body.get("checkpoint", ""), step.get("gang"))
        other = self.live.get(r.task)
        if other is not None and not step.get("speculative"):
            self.break_rule("TWICE", f"{r.task} run {r.run} on {m.id} beside "
                                     f"run {other[1].run} on {other[0].id}")
        if self.done.get(r.task) == "acked" and not step.get("speculative"):
            self.break_rule("TWICE", f"{r.task} run {r.run} after its end")
        for earlier in step.get("after", []):
            for i in range(spec["steps"][earlier]["count"]):
                if f"{job}.{k}.{earlier}.{i}" not in self.done and \
                        not spec["steps"][earlier].get("gang"):
                    self.break_rule("ORDER", f"{r.task} before step {earlier}")
        if spec.get("repeat_count"):
            due = spec.get("initial_delay_ms", 0) + \
                k * spec.get("interval_ms", 0)
            if time.time() * 1000 < due - 250:
                self.break_rule("ORDER", f"{r.task} "
                                f"{due - time.time() * 1000:.0f} ms early")
        label = step.get("requirements")
        if label and label not in m.labels:
            self.break_rule("ROUTE", f"{r.task} on {m.id} without {label}")
        if step.get("anti_affinity"):
            same = [t for t in m.runs if self.split(t)[:3] == (job, k, number)]
            if len(same) >= step["anti_affinity"]:
                self.break_rule("ROUTE", f"{r.task} beside {same}")
        used = [self.step_of(t) for t in m.runs] + [step]
        cpu = sum(0 if s.get("fills") else s.get("cpu", 0) for s in used)
        if cpu > m.cpu or sum(s.get("gpu", 0) for s in used) > m.gpu or \
                sum(s.get("mem_mb", 0) for s in used) > m.mem:
            self.break_rule("LIMIT", f"{r.task} on {m.id}: {cpu} of {m.cpu}")
        if job in self.cancelled and now > self.cancelled[job] + 3:
            self.break_rule("UNASKED", f"{r.task} after its cancel")
        if not step.get("long_running") and spec.get("_max_attempts") and \
                self.failed.get(r.task, 0) >= spec["_max_attempts"]:
            self.break_rule("BUDGET", f"{r.task} run {r.run}")
        self.live[r.task] = (m, r)

    def members(self, r):
        job, k, number, _ = self.split(r.task)
        return [f"{job}.{k}.{number}.{i}"
                for i in range(self.step_of(r.task)["count"])]

    def on_member(self, m, r):
        """A gang works from when all of one run are there."""
        rows = [self.live.get(t) for t in self.members(r)]
        if all(x is not None and x[1].run == r.run for x in rows):
            for _, other in rows:
                other.alone_at = None
                other.ends_at = time.monotonic() + self.work_s(r.task)
        else:
            r.alone_at = time.monotonic() + 3

    def on_broken(self, r):
        for t in self.members(r):
            x = self.live.get(t)
            if x is not None and x[1].run == r.run and x[0].up:
                x[0].end(x[1], "broken")

    def on_checkpoint(self, r, percent):
        key = r.task
        if self.step_of(r.task).get("gang"):
            key = r.task.rsplit(".", 1)[0]
        r.checkpoint = f"{abs(hash((key, r.run, percent, time.time()))):016x}"
        self.checkpoints.setdefault(key, set()).add(r.checkpoint)

    def check_checkpoint(self, r, value, gang):
        key = r.task.rsplit(".", 1)[0] if gang else r.task
        if value and value not in self.checkpoints.get(key, ()):
            self.break_rule("UNASKED", f"checkpoint of {r.task}")
        if gang:
            first = self.gang_saved.setdefault((key, r.run), value)
            if first != value:
                self.break_rule("UNASKED", f"checkpoints of run {r.run} of "
                                           f"{key} differ")

    def execute_late(self, m, verb, body):
        number, minion_id = m.number, m.id

        def run():
            if m.id != minion_id or not m.up:
                return
            try:
                if verb == "run-start":
                    m.start(body)
                elif verb == "run-stop":
                    m.stop(body)
                elif verb == "hold":
                    m.check_fence(body)
                    m.extend(body)
                    m.ends = [e for e in m.ends
                              if e[0] > body.get("acked", 0)]
            except Reply:
                pass
        self.loop.call_later(random.uniform(2, 8), run)

    def on_end(self, m, r, how):
        self.note("end", task=r.task, run=r.run, minion=m.id, how=how)
        if self.live.get(r.task, (None, None))[1] is r:
            del self.live[r.task]
        if how == "stopped" and r.ordered:
            self.check_away(m, r, how)
        self.away[r.task] = (time.monotonic(),
                             r.ordered or how in ("upkeep", "lapsed"))
        if how == "done":
            self.done.setdefault(r.task, "listed")
        if how == "failed":
            self.failed[r.task] = self.failed.get(r.task, 0) + 1

    def on_acked(self, end):
        if end[3] == "done":
            self.done[end[1]] = "acked"

    def is_away(self, task, now):
        """Ended by an order, or not at work for notice_ms."""
        live = self.live.get(task)
        if live is not None and live[0].up and \
                live[0].percent(live[1], now) >= 100:
            return False
        since, ordered = self.away.get(task, (None, False))
        return ordered or (since is not None and now - since >= self.notice_s)

    def on_ordered_end(self, m, r, how):
        at_work = m.at_work(r.task)
        self.note("ordered", task=r.task, run=r.run, minion=m.id, how=how,
                  at_work=at_work)
        r.ordered, r.was_at_work = True, at_work and not m.draining
        if how == "upkeep":
            self.check_away(m, r, how)

    def check_away(self, m, r, how):
        """A task that was at work ends by an order."""
        step, now = self.step_of(r.task), time.monotonic()
        job, k, number, index = self.split(r.task)
        if not step.get("may_miss") or not r.was_at_work or \
                job in self.cancelled:
            return
        away = [i for i in range(step["count"]) if i != index and
                self.is_away(f"{job}.{k}.{number}.{i}", now)]
        if len(away) >= step["may_miss"]:
            self.break_rule("AVAIL", f"{how} of {r.task} on {m.id} while "
                                     f"{away} are away")
