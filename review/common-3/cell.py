"""A small cell of real daemons beside a stand-in of the platform, for review cases.

Starts the program of the deploy file with settings that its template renders,
on loopback addresses. record.txt gets what is sent, answered and run.
"""

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
import tomllib
import urllib.error
import urllib.request

from platform_standin import Platform

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HOST = "cell.example"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be played."""


# Cases that run beside each other don't meet: each has its own loopback address.
HOST_IP = "127.{}.{}.1".format(1 + os.getpid() % 250, os.getpid() // 250 % 250)


given_ports = set()


def free_address():
    while True:
        with socket.socket() as s:
            s.bind((HOST_IP, 0))
            port = s.getsockname()[1]
        if port not in given_ports:
            given_ports.add(port)
            return f"{HOST_IP}:{port}"


def http(method, url, body=None, timeout_s=3, headers=None):
    """Status and JSON body of an answer; status 0 for none."""
    data = json.dumps(body).encode() if body is not None else b""
    head = {"Host": HOST, "Content-Type": "application/json"}
    head.update(headers or {})
    request = urllib.request.Request(url, data, head, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            text, status = answer.read(), answer.status
    except urllib.error.HTTPError as error:
        text, status = error.read(), error.code
    except OSError:
        return 0, {}
    try:
        return status, json.loads(text or b"{}")
    except ValueError:
        return status, {}


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def render(template, fields):
    """The part of the template language that this project's file uses."""
    def section(m):
        value = lookup(fields, m.group(1))
        if value is None or value is False:
            return ""
        return m.group(2).replace("{{.}}", str(value))
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(lookup(fields, m.group(1)) or ""), text)


class Daemon:
    def __init__(self, cell, number):
        self.cell, self.number, self.process = cell, number, None
        self.callers, self.ready = free_address(), free_address()
        self.peers, self.control = free_address(), free_address()
        self.log = os.path.join(cell.folder, f"vm-{number}.log")
        self.settings = os.path.join(cell.folder, f"vm-{number}.toml")

    def start(self, bounds=None):
        fields = {
            "node_name": f"edge-{self.number}", "zone": "a",
            "ip": HOST_IP, "heartbeat_ms": 1500,
            "advice": self.cell.advice,
            "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
            "listen": {"front": self.callers, "ready": self.ready,
                       "control": self.control},
            "port_range": [int(self.peers.split(":")[1])],
            "platform": {"address": self.cell.store},
            "cloud": {"address": self.cell.duties},
            "bounds": {"lease_ms": 3000, "maintenance_s": 2,
                       "max_hold_ms": 10000, "contact_ms": 3000,
                       "grace_s": 6, "status_s": 120},
        }
        fields["bounds"].update(bounds or {})
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(render(self.cell.template, fields))
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                self.cell.run, cwd=ROOT, stdout=log, stderr=log,
                env={"CURRANTTACK_SETTINGS": self.settings,
                     "PATH": os.environ.get("PATH", "")})
        self.cell.note(f"{self.name()} started")

    def name(self):
        return f"edge-{self.number}"

    def send(self, sig):
        self.cell.note(f"{self.name()} gets {signal.Signals(sig).name}")
        self.process.send_signal(sig)

    def is_ready(self):
        return http("GET", f"http://{self.ready}/curranttack/readiness")[0] == 200

    def log_text(self):
        with open(self.log, encoding="utf-8", errors="replace") as f:
            return f.read()

    def rss_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as f:
            for line in f:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0


class Cell:
    """Daemons beside the platform; ends all of them on exit."""

    def __init__(self, folder_of_case, minions, daemons=3, bounds=None,
                 **options):
        """@bounds replace those of the settings, @options those of Platform."""
        self.minions, self.bounds, self.options = minions, bounds, options
        self.tmp = tempfile.TemporaryDirectory()
        self.folder = self.tmp.name
        self.record = open(os.path.join(folder_of_case, "record.txt"), "w",
                           encoding="utf-8")
        self.begun = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.count, self.daemons, self.p = daemons, [], None
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            role = next(iter(tomllib.load(f)["roles"].values()))
        self.run = role["run"].split()
        self.run[0] = os.path.join(ROOT, self.run[0])
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            self.template = f.read()

    def __enter__(self):
        # Whoever ends the script ends the daemons, too.
        signal.signal(signal.SIGTERM, self.on_terminated)
        if not os.access(self.run[0], os.X_OK):
            raise NotRun(f"{os.path.relpath(self.run[0], ROOT)} is not built")
        self.p = Platform(self.minions, free_address, **self.options)
        self.store, self.advice = self.p.store_address, self.p.advice_address
        self.duties = self.p.cloud_address
        self.add_daemons(self.count)
        return self

    def on_terminated(self, *_):
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        sys.exit(NOT_RUN)

    def add_daemons(self, count):
        for n in range(count):
            self.daemons.append(Daemon(self, n))
            self.daemons[-1].start(self.bounds)

    def __exit__(self, *_):
        for d in self.daemons:
            if d.process is not None and d.process.poll() is None:
                d.process.kill()
                d.process.wait()
        if self.p is not None:
            self.note_events()
        self.record.close()
        self.tmp.cleanup()

    def note(self, text):
        line = f"{time.monotonic() - self.begun:8.3f} {text}"
        self.record.write(line + "\n")
        self.record.flush()
        print(line, flush=True)

    def note_events(self):
        shift = self.p.begun - self.begun
        for at, kind, fields in sorted(self.p.events, key=lambda e: e[0]):
            text = " ".join(f"{k}={v}" for k, v in fields.items())
            self.record.write(f"{at + shift:8.3f} seen: {kind} {text}\n")

    def operate(self, key, value):
        self.note(f"operator writes {key} {json.dumps(value)}")
        self.p.call(self.p.operate, key, value)

    def submit(self, daemon, job, body):
        """Steps may have _work_ms and _fails, which only the minions know."""
        self.p.jobs[job] = body
        sent = dict(body, steps=[
            {k: v for k, v in s.items() if not k.startswith("_")}
            for s in body["steps"]])
        sent = {k: v for k, v in sent.items() if not k.startswith("_")}
        return self.call("POST", daemon, f"/q/{job}", sent)[0]

    def cancel(self, daemon, job):
        status = self.call("DELETE", daemon, f"/q/{job}")[0]
        if status in (200, 410):
            self.p.cancelled[job] = time.monotonic()
        return status

    def owner(self, pool="batch"):
        """The daemon that the store names as the owner of a pool."""
        def read():
            item = self.p.store.items.get(f"ct/owner/{pool}")
            return base64.b64decode(item["value"]) if item else b""
        value = self.p.call(read)
        for d in self.daemons:
            if d.name().encode() in value:
                return d
        return None

    def wait(self, condition, what, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.1)
        raise NotRun(f"{what}: not within {limit_s} s")

    def configure(self, routes, services=("batch",)):
        config = {"version": 1, "limits": {}, "routes": routes,
                  "services": [{"name": name} for name in services]}
        self.operate("op/config", config)
        for d in self.daemons:
            self.wait(d.is_ready, f"{d.name()} is ready")

    def call(self, method, daemon, path, body=None, timeout_s=3):
        status, answer = http(method, f"http://{daemon.callers}{path}", body,
                              timeout_s,
                              {"X-Curranttack-Deadline-Remaining": "3000"})
        shown = json.dumps(answer)
        self.note(f"{method} {path} at {daemon.name()}: {status or 'no answer'}"
                  f" {shown if len(shown) < 300 else ''}")
        return status, answer


def play(folder_of_case, function, **sizes):
    """Exit code: 1 if the rule was broken, 0 if it held, 2 if it was not run."""
    try:
        with Cell(folder_of_case, **sizes) as cell:
            try:
                broken = function(cell)
            except NotRun as error:
                cell.note(f"not run: {error}")
                return NOT_RUN
            cell.note("the rule was broken" if broken else "the rule held")
            return BROKEN if broken else HELD
    except NotRun as error:
        print(f"not run: {error}")
        return NOT_RUN
