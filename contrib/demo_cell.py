"""Runs three daemons of the cell beside the platform's stand-in.

Jobs go in through every daemon, the pool's owner is killed, and a wave of
maintenance takes all VMs down in turn. Exits 0 only if every job completes and
no task ran twice.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

HOST = "cell.example"
DAEMONS = 3
JOBS = 24
WAIT_S = 40


def call(method, url, body=None):
    """Status and JSON body of an answer; status 0 for none."""
    data = json.dumps(body).encode() if body is not None else b""
    request = urllib.request.Request(url, data, {"Host": HOST}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=3) as answer:
            text, status = answer.read(), answer.status
    except urllib.error.HTTPError as error:
        text, status = error.read(), error.code
    except OSError:
        return 0, {}
    try:
        return status, json.loads(text or b"{}")
    except ValueError:
        return status, {}


def free_address():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{s.getsockname()[1]}"


def wait_for(condition, what):
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.1)
    raise SystemExit(f"demo: {what}: not within {WAIT_S} s")


class Daemon:
    def __init__(self, build, folder, number, platform):
        self.callers, self.ready = free_address(), free_address()
        self.log = os.path.join(folder, f"vm-{number}.log")
        settings = os.path.join(folder, f"vm-{number}.toml")
        with open(settings, "w", encoding="utf-8") as f:
            f.write(f'[vm]\nid = "vm-{number}"\ndomain = "a"\n'
                    f'[listen]\ncallers = "{self.callers}"\n'
                    f'ready = "{self.ready}"\npeers = "{free_address()}"\n'
                    f'[cell]\nstore = "{platform[0]}"\n'
                    f'advice = "{platform[1]}"\nduties = "{platform[3]}"\n'
                    'maintenance = "800ms"\n')
        program = os.path.join(build, "curranttackd/curranttackd")
        with open(self.log, "w", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [program, "--config", settings], stdout=log, stderr=log)

    def owns_pool(self):
        with open(self.log, encoding="utf-8") as f:
            return "event=owner " in f.read()


def play(build, folder):
    program = os.path.join(build, "tests/standins/standin-platform")
    platform = subprocess.Popen([program, "4", "4000"], text=True,
                                stdout=subprocess.PIPE)
    daemons = []
    try:
        addresses = [word for word in platform.stdout.readline().split()
                     if ":" in word]
        control = f"http://{addresses[2]}"
        daemons = [Daemon(build, folder, n, addresses)
                   for n in range(DAEMONS)]
        call("POST", f"{control}/_config", {
            "version": 1, "services": [{"name": "batch"}], "limits": {},
            "routes": [{"name": "q", "host": HOST, "prefix": "/q/",
                        "service": "batch", "max_attempts": 2}]})
        for d in daemons:
            wait_for(lambda d=d: call(
                "GET", f"http://{d.ready}/curranttack/readiness")[0] == 200,
                "a daemon is ready")
        step = {"count": 2, "cpu": 1000, "mem_mb": 10, "estimate_ms": 500}
        for n in range(JOBS):
            status, _ = call(
                "POST", f"http://{daemons[n % DAEMONS].callers}/q/{n:016x}",
                {"spec": "500 1000", "steps": [step]})
            print(f"job {n:016x}: {status}")
        owner = next(d for d in daemons if d.owns_pool())
        owner.process.send_signal(signal.SIGKILL)
        print("the pool's owner is killed")
        call("POST", f"{control}/_wave", {
            "wave": 1, "machines": ["m-0", "m-1", "m-2", "m-3"],
            "duration_s": 20, "maximum": 2})
        left = next(d for d in daemons if d is not owner)
        for n in range(JOBS):
            wait_for(lambda n=n: call(
                "GET", f"http://{left.callers}/q/{n:016x}")[1].get(
                    "state") == "completed", f"job {n:016x} completes")
        wait_for(lambda: call("GET", f"{control}/_report")[1].get(
            "maintained") == 4, "all VMs are maintained")
        report = call("GET", f"{control}/_report")[1]
        print("the workers saw:", report)
        return report["twice"] == 0 and report["over"] == 0
    finally:
        for d in daemons:
            d.process.kill()
            d.process.wait()
        platform.kill()
        platform.wait()


def main():
    with tempfile.TemporaryDirectory() as folder:
        right = play(sys.argv[1], folder)
    print("cell:", "right" if right else "WRONG")
    return 0 if right else 1


if __name__ == "__main__":
    sys.exit(main())
